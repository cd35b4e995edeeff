package logbook

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFullPipe checks that Write does not block while the reader of the output
// has stopped and the pipe is full, and that the number of dropped lines is
// reported after reading resumes.
func TestFullPipe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		b := New(w)
		began := time.Now()

		for range 5 {
			for range linesPerSecond {
				_, err := b.Write([]byte("line\n"))
				assert.NilError(t, err)
			}

			time.Sleep(time.Second)
		}

		assert.Equal(t, time.Since(began), 5*time.Second, "Write blocked on the output")
		assert.Assert(t, b.Dropped() > 0)

		var out bytes.Buffer

		go func() { _, _ = io.Copy(&out, r) }()

		time.Sleep(time.Second)

		_, _ = b.Write([]byte("last\n"))
		b.Close()
		synctest.Wait()
		assert.NilError(t, w.Close())
		synctest.Wait()

		lines := strings.Split(out.String(), "\n")
		assert.Assert(t, len(lines) <= queueSize+5)
		assert.Assert(t, strings.Contains(out.String(), `"dropped":`))
		assert.Assert(t, strings.Contains(out.String(), "last\n"))
	})
}

// TestBurst checks that lines above the rate limit are dropped and counted, and
// that lines are accepted again a second later.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer

		b := New(&out)

		for range 3 * linesPerSecond {
			_, _ = b.Write([]byte("x\n"))

			synctest.Wait()
		}

		assert.Equal(t, b.Dropped(), int64(2*linesPerSecond))
		time.Sleep(time.Second)

		_, _ = b.Write([]byte("y\n"))
		b.Close()
		assert.Assert(t, strings.Contains(out.String(), "y\n"))
	})
}

// TestWritesAfterClose guards against a panic that ends a process while goroutines that have not ended still log.
func TestWritesAfterClose(t *testing.T) {
	for range 200 {
		b := New(io.Discard)

		var writers sync.WaitGroup

		for range 4 {
			writers.Go(func() {
				for range 50 {
					_, err := b.Write([]byte("line\n"))
					assert.Check(t, err)
				}
			})
		}

		b.Close()
		writers.Wait()
	}
}
