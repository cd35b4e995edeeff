// Package logbook writes a process's log lines without blocking the requests
// that log them.
package logbook

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the capacity of the queue of unwritten lines. A line has
	// about 300 bytes, so a full queue takes about 150 KiB.
	queueSize = 512
	// linesPerSecond is the rate limit: in each window of one second, lines after
	// the first linesPerSecond are dropped. It allows three lines for each
	// request at the highest request rate of an entry with 0.4 cores.
	linesPerSecond = 400
)

// Book is an io.Writer that never blocks on its output. Lines above the rate
// limit, and lines that arrive while the queue is full, are dropped and counted.
// Create it with New.
//
// The queue decouples requests from a full pipe: if the reader of the output
// stops, a direct write would block the request that logs.
type Book struct {
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, and done when all lines of before are written.
	closing, done chan struct{}

	mu sync.Mutex
	// windowStart is when the current window of the rate limit began.
	windowStart time.Time
	// windowLines counts the lines of the window, dropped ones included.
	windowLines int
}

// New returns a book that writes to w from its own goroutine. After Close, the
// goroutine ends when all queued lines are written; while a write to w blocks,
// it remains, even if Close has returned.
func New(w io.Writer) *Book {
	b := &Book{lines: make(chan []byte, queueSize), closing: make(chan struct{}), done: make(chan struct{})}

	go b.run(w)

	return b
}

// Write queues a copy of line, or drops and counts it. It always reports
// success. Lines that are written after Close may be lost.
func (b *Book) Write(line []byte) (int, error) {
	if !b.allow(time.Now()) {
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

// allow counts a line and reports whether it is within the rate limit.
func (b *Book) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if now.Sub(b.windowStart) >= time.Second {
		b.windowStart, b.windowLines = now, 0
	}

	b.windowLines++

	return b.windowLines <= linesPerSecond
}

// Dropped returns the number of lines dropped and of failed writes. Lines still
// queued when Close times out are not counted.
func (b *Book) Dropped() int64 { return b.dropped.Load() }

// closeWait limits how long Close waits for the queued lines to be written.
const closeWait = 200 * time.Millisecond

// Close waits until the queued lines are written, for closeWait at most. It
// must be called only once. Goroutines that still log go on unharmed.
func (b *Book) Close() {
	close(b.closing)

	select {
	case <-b.done:
	case <-time.After(closeWait):
	}
}

// run writes the lines until Close, and then those that are queued.
func (b *Book) run(w io.Writer) {
	defer close(b.done)

	reported := int64(0)

	for {
		select {
		case line := <-b.lines:
			reported = b.write(w, line, reported)

			continue
		case <-b.closing:
		}

		break
	}

	for range len(b.lines) {
		reported = b.write(w, <-b.lines, reported)
	}
}

// write writes a line. When lines were dropped since the last report, it appends a report of
// their number. It returns the number of dropped lines that have been reported.
func (b *Book) write(w io.Writer, line []byte, reported int64) int64 {
	if n := b.dropped.Load(); n > reported {
		line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", n-reported)...)
		reported = n
	}

	if _, err := w.Write(line); err != nil {
		// The log itself has failed, so the error is only counted.
		b.dropped.Add(1)
	}

	return reported
}
