// Package queue holds the requests that wait for one model. It is fair
// between customers, keeps deadlines in order and is bounded. It does no I/O
// and reads no clock.
package queue

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Item is one waiting request.
type Item[T any] struct {
	Customer string
	// Weight is the customer's share, at least 1.
	Weight   int
	Deadline time.Time
	Value    T

	line  *line[T]
	index int
}

// FullError says that the queue takes no more.
type FullError struct{ Waiting int }

func (e *FullError) Error() string { return fmt.Sprintf("queue: full with %d waiting", e.Waiting) }

// Queue orders waiting requests by start-time fair queueing over customers
// and by deadline within a customer. The zero value is unbounded; set Limit
// before use. It is not safe for concurrent use.
type Queue[T any] struct {
	// Limit bounds the waiting requests; zero means none.
	Limit int

	lines map[string]*line[T]
	// clock is the virtual time: the tag of the line served last. It never
	// decreases.
	clock float64
	// past keeps the tags of customers that have nothing waiting. All are
	// above the clock when they are put in.
	past map[string]float64
	n    int
}

// line is one customer's waiting requests, a heap by deadline.
type line[T any] struct {
	customer string
	items    []*Item[T]
	// tag is the virtual time at which the line is next served. Lines with
	// more weight advance less for each request.
	tag float64
}

func (l *line[T]) Len() int           { return len(l.items) }
func (l *line[T]) Less(i, j int) bool { return l.items[i].Deadline.Before(l.items[j].Deadline) }

func (l *line[T]) Swap(i, j int) {
	l.items[i], l.items[j] = l.items[j], l.items[i]
	l.items[i].index, l.items[j].index = i, j
}

// Push implements heap.Interface.
func (l *line[T]) Push(x any) {
	it, _ := x.(*Item[T])
	it.index = len(l.items)
	l.items = append(l.items, it)
}

// Pop implements heap.Interface.
func (l *line[T]) Pop() any {
	last := len(l.items) - 1
	it := l.items[last]
	l.items[last] = nil
	l.items = l.items[:last]

	return it
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return q.n }

// Customers returns how many customers have requests waiting.
func (q *Queue[T]) Customers() int { return len(q.lines) }

// Waiting returns how many requests of the customer wait.
func (q *Queue[T]) Waiting(customer string) int {
	if l := q.lines[customer]; l != nil {
		return l.Len()
	}

	return 0
}

// Push adds it. When the queue is full, a customer below its even share of
// the queue displaces the latest request of the longest line, which Push
// returns; any other customer gets a *FullError. So a customer that floods
// the queue cannot keep others out.
func (q *Queue[T]) Push(it *Item[T]) (*Item[T], error) {
	var displaced *Item[T]

	if q.Limit > 0 && q.n >= q.Limit {
		longest := q.longest()
		if q.Waiting(it.Customer)+1 >= longest.Len() {
			return nil, &FullError{Waiting: q.n}
		}

		displaced = latest(longest)
		q.Remove(displaced)
	}

	q.add(it)

	return displaced, nil
}

func (q *Queue[T]) add(it *Item[T]) {
	if q.lines == nil {
		q.lines = make(map[string]*line[T])
	}

	l := q.lines[it.Customer]
	if l == nil {
		l = &line[T]{customer: it.Customer, tag: max(q.clock, q.past[it.Customer])}
		q.lines[it.Customer] = l
	}

	it.line = l
	heap.Push(l, it)

	q.n++
}

func (q *Queue[T]) longest() *line[T] {
	var longest *line[T]

	for _, l := range q.lines {
		if longest == nil || l.Len() > longest.Len() ||
			l.Len() == longest.Len() && l.customer < longest.customer {
			longest = l
		}
	}

	return longest
}

func latest[T any](l *line[T]) *Item[T] {
	last := l.items[0]
	for _, it := range l.items {
		if it.Deadline.After(last.Deadline) {
			last = it
		}
	}

	return last
}

// Pop removes and returns the request that is served next, or nil.
func (q *Queue[T]) Pop() *Item[T] {
	return q.PopFunc(func(*Item[T]) bool { return true })
}

// PopFunc removes and returns the first request that accept takes, or nil. It
// offers one request of each customer, in the order in which they are to be
// served, and leaves those that accept declines in their places.
func (q *Queue[T]) PopFunc(accept func(*Item[T]) bool) *Item[T] {
	for _, l := range q.inOrder() {
		it := l.items[0]
		if !accept(it) {
			continue
		}

		q.clock = max(q.clock, l.tag)
		l.tag += 1 / float64(max(1, it.Weight))
		q.Remove(it)

		return it
	}

	return nil
}

func (q *Queue[T]) inOrder() []*line[T] {
	lines := make([]*line[T], 0, len(q.lines))
	for _, l := range q.lines {
		lines = append(lines, l)
	}

	slices.SortFunc(lines, func(a, b *line[T]) int {
		return cmp.Or(
			cmp.Compare(a.tag, b.tag),
			a.items[0].Deadline.Compare(b.items[0].Deadline),
			strings.Compare(a.customer, b.customer),
		)
	})

	return lines
}

// Remove takes it out of the queue. It reports whether it was still there.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	l := it.line
	if l == nil {
		return false
	}

	heap.Remove(l, it.index)

	it.line = nil
	q.n--

	if l.Len() == 0 {
		q.forget(l)
	}

	return true
}

// forget drops an empty line but keeps its tag while that lies ahead of the
// clock. Without it, a customer that sends its next request only after its
// last one was served would start at the clock each time and starve the
// customers that wait.
func (q *Queue[T]) forget(l *line[T]) {
	delete(q.lines, l.customer)

	if q.n == 0 {
		q.clock = 0
		clear(q.past)

		return
	}

	if q.past == nil {
		q.past = make(map[string]float64)
	}

	for customer, tag := range q.past {
		if tag <= q.clock {
			delete(q.past, customer)
		}
	}

	if l.tag > q.clock {
		q.past[l.customer] = l.tag
	}
}

// Hopeless removes and returns the requests that would start later than
// their deadline if they started at start.
func (q *Queue[T]) Hopeless(start time.Time) []*Item[T] {
	var out []*Item[T]

	for _, l := range q.lines {
		for l.Len() > 0 && l.items[0].Deadline.Before(start) {
			it := l.items[0]
			q.Remove(it)

			out = append(out, it)
		}
	}

	return out
}

// Each calls f for every waiting request.
func (q *Queue[T]) Each(f func(*Item[T])) {
	for _, l := range q.lines {
		for _, it := range l.items {
			f(it)
		}
	}
}
