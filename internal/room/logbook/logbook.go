// Package logbook writes a process's log lines without ever making a request
// wait for them.
package logbook

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// waiting bounds the lines that wait to be written, 512 of about 300
	// bytes.
	waiting = 512
	// perSecond bounds the lines of a second: three a request at the most that
	// an entry of 0.4 cores answers.
	perSecond = 400
)

// Book is an io.Writer of lines that never blocks: lines that come too fast,
// or that the output does not take, are dropped and counted. Open it with
// New.
//
// It guards against a full pipe: whoever reads the output may have stopped,
// and a request that logs would hang with it.
type Book struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	second time.Time
	n      int
}

// New returns a book that writes to w. Close ends it.
func New(w io.Writer) *Book {
	b := &Book{lines: make(chan []byte, waiting), done: make(chan struct{})}

	go b.run(w)

	return b
}

// Write implements io.Writer.
func (b *Book) Write(line []byte) (int, error) {
	if !b.take(time.Now()) {
		b.dropped.Add(1)

		return len(line), nil
	}

	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}

	return len(line), nil
}

func (b *Book) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if now.Sub(b.second) >= time.Second {
		b.second, b.n = now, 0
	}

	b.n++

	return b.n <= perSecond
}

// Dropped returns how many lines were not written.
func (b *Book) Dropped() int64 { return b.dropped.Load() }

// closeWait is how long Close waits for the output to take the last lines.
const closeWait = 200 * time.Millisecond

// Close writes what waits, as far as the output takes it at once.
func (b *Book) Close() {
	close(b.lines)

	select {
	case <-b.done:
	case <-time.After(closeWait):
	}
}

func (b *Book) run(w io.Writer) {
	defer close(b.done)

	told := int64(0)

	for line := range b.lines {
		if n := b.dropped.Load(); n > told {
			line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", n-told)...)
			told = n
		}

		if _, err := w.Write(line); err != nil {
			// There is nobody left to tell.
			b.dropped.Add(1)
		}
	}
}
