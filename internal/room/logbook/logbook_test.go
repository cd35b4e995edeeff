package logbook

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFullPipe: whoever reads the output has stopped, and the pipe is full. A
// request that logs must not wait; what is dropped is told once the pipe moves
// again.
func TestFullPipe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		b := New(w)
		began := time.Now()

		for range 5 {
			for range perSecond {
				_, err := b.Write([]byte("line\n"))
				assert.NilError(t, err)
			}

			time.Sleep(time.Second)
		}

		assert.Equal(t, time.Since(began), 5*time.Second, "a line waited for the output")
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
		assert.Assert(t, len(lines) <= waiting+5)
		assert.Assert(t, strings.Contains(out.String(), `"dropped":`))
		assert.Assert(t, strings.Contains(out.String(), "last\n"))
	})
}

// TestBurst: lines that come too fast are dropped and counted, and a second
// later there is room again.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer

		b := New(&out)

		for range 3 * perSecond {
			_, _ = b.Write([]byte("x\n"))

			synctest.Wait()
		}

		assert.Equal(t, b.Dropped(), int64(2*perSecond))
		time.Sleep(time.Second)

		_, _ = b.Write([]byte("y\n"))
		b.Close()
		assert.Assert(t, strings.Contains(out.String(), "y\n"))
	})
}
