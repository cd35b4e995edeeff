// Package queue holds the queued requests of one model. The queue is fair
// between customers, ordered by deadline within a customer, and bounded. The
// package does no I/O and reads no clock.
package queue

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Item is one queued request.
type Item[T any] struct {
	Customer string
	// Weight is the relative share that the customer is given for this request,
	// at least 1.
	Weight   int
	Deadline time.Time
	// Goal, Since, Priority, Tokens and Returned are for Order. Goal is when a first token
	// is late; zero means that there is no goal. Since is when the request arrived, Tokens
	// its work, and Returned says that it was refused before and comes back at the time
	// that its client was told.
	Goal, Since      time.Time
	Priority, Tokens int
	Returned         bool
	Value            T

	owner *customerQueue[T]
	index int
}

// FullError says that the queue is full.
type FullError struct{ Waiting int }

func (e *FullError) Error() string { return fmt.Sprintf("queue: full with %d waiting", e.Waiting) }

// Queue orders requests by start-time fair queueing between customers and by
// deadline within a customer. The zero value is unbounded; set Limit before
// use. It is not safe for concurrent use.
type Queue[T any] struct {
	// Limit bounds the number of queued requests. Zero means no limit.
	Limit int

	byCustomer map[string]*customerQueue[T]
	// virtualTime is the greatest start tag at which a customer was served since
	// the queue was last empty. It is reset to zero when the queue becomes empty.
	virtualTime float64
	// idleTags keeps the start tags of customers without queued requests. Each
	// is greater than virtualTime when it is added.
	idleTags map[string]float64
	length   int
}

// customerQueue holds one customer's queued requests, as a heap by deadline.
type customerQueue[T any] struct {
	customer string
	items    []*Item[T]
	// tag is the virtual time at which the customer is served next. Each
	// request advances it by the inverse of its weight.
	tag float64
}

func (c *customerQueue[T]) Len() int { return len(c.items) }
func (c *customerQueue[T]) Less(i, j int) bool {
	return c.items[i].Deadline.Before(c.items[j].Deadline)
}

func (c *customerQueue[T]) Swap(i, j int) {
	c.items[i], c.items[j] = c.items[j], c.items[i]
	c.items[i].index, c.items[j].index = i, j
}

// Push implements heap.Interface.
func (c *customerQueue[T]) Push(x any) {
	it, _ := x.(*Item[T])
	it.index = len(c.items)
	c.items = append(c.items, it)
}

// Pop implements heap.Interface.
func (c *customerQueue[T]) Pop() any {
	last := len(c.items) - 1
	it := c.items[last]
	c.items[last] = nil
	c.items = c.items[:last]

	return it
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.length }

// Customers returns the number of customers with queued requests.
func (q *Queue[T]) Customers() int { return len(q.byCustomer) }

// Waiting returns the number of the customer's queued requests.
func (q *Queue[T]) Waiting(customer string) int {
	if c := q.byCustomer[customer]; c != nil {
		return c.Len()
	}

	return 0
}

// Push enqueues item. If the queue is full, a request of the customer with the most
// queued requests is displaced: the one with the latest deadline, which Push
// returns. This happens only if that customer has more queued requests than the
// new request's customer, counting the new request; otherwise Push returns a
// *FullError. A customer that floods the queue can therefore not keep others out.
func (q *Queue[T]) Push(item *Item[T]) (*Item[T], error) {
	var displaced *Item[T]

	if q.Limit > 0 && q.length >= q.Limit {
		longest := q.longest()
		if q.Waiting(item.Customer)+1 >= longest.Len() {
			return nil, &FullError{Waiting: q.length}
		}

		displaced = latest(longest)
		q.Remove(displaced)
	}

	q.add(item)

	return displaced, nil
}

func (q *Queue[T]) add(it *Item[T]) {
	if q.byCustomer == nil {
		q.byCustomer = make(map[string]*customerQueue[T])
	}

	c := q.byCustomer[it.Customer]
	if c == nil {
		c = &customerQueue[T]{customer: it.Customer, tag: max(q.virtualTime, q.idleTags[it.Customer])}
		q.byCustomer[it.Customer] = c
	}

	it.owner = c
	heap.Push(c, it)

	q.length++
}

func (q *Queue[T]) longest() *customerQueue[T] {
	var longest *customerQueue[T]

	for _, c := range q.byCustomer {
		if longest == nil || c.Len() > longest.Len() ||
			c.Len() == longest.Len() && c.customer < longest.customer {
			longest = c
		}
	}

	return longest
}

func latest[T any](c *customerQueue[T]) *Item[T] {
	last := c.items[0]
	for _, it := range c.items {
		if it.Deadline.After(last.Deadline) {
			last = it
		}
	}

	return last
}

// Pop removes and returns the next request, or returns nil if the queue is
// empty.
func (q *Queue[T]) Pop() *Item[T] {
	return q.PopFunc(func(*Item[T]) bool { return true })
}

// PopFunc removes and returns the first request for which accept returns true,
// or nil. It offers the first request of each customer, in the order in which
// customers are served next. Requests that accept declines keep their
// positions.
func (q *Queue[T]) PopFunc(accept func(*Item[T]) bool) *Item[T] {
	for _, c := range q.inServiceOrder() {
		it := c.items[0]
		if !accept(it) {
			continue
		}

		q.virtualTime = max(q.virtualTime, c.tag)
		c.tag += 1 / float64(max(1, it.Weight))
		q.Remove(it)

		return it
	}

	return nil
}

func (q *Queue[T]) inServiceOrder() []*customerQueue[T] {
	queues := make([]*customerQueue[T], 0, len(q.byCustomer))
	for _, c := range q.byCustomer {
		queues = append(queues, c)
	}

	slices.SortFunc(queues, func(a, b *customerQueue[T]) int {
		return cmp.Or(
			cmp.Compare(a.tag, b.tag),
			a.items[0].Deadline.Compare(b.items[0].Deadline),
			strings.Compare(a.customer, b.customer),
		)
	})

	return queues
}

// Remove removes item from the queue and reports whether it was still queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	c := item.owner
	if c == nil {
		return false
	}

	heap.Remove(c, item.index)

	item.owner = nil
	q.length--

	if c.Len() == 0 {
		q.removeCustomer(c)
	}

	return true
}

// removeCustomer removes a customer without queued requests, but keeps its tag
// while the tag is greater than the virtual time and other requests are queued.
// Without the kept tag, a customer that sends each request only after its last
// one was served would always restart at the virtual time and starve customers
// with queued requests.
func (q *Queue[T]) removeCustomer(c *customerQueue[T]) {
	delete(q.byCustomer, c.customer)

	if q.length == 0 {
		q.virtualTime = 0
		clear(q.idleTags)

		return
	}

	if q.idleTags == nil {
		q.idleTags = make(map[string]float64)
	}

	for customer, tag := range q.idleTags {
		if tag <= q.virtualTime {
			delete(q.idleTags, customer)
		}
	}

	if c.tag > q.virtualTime {
		q.idleTags[c.customer] = c.tag
	}
}

// RemoveLate removes and returns the requests whose deadline is before start,
// the earliest time at which they could start.
func (q *Queue[T]) RemoveLate(start time.Time) []*Item[T] {
	var out []*Item[T]

	for _, c := range q.byCustomer {
		for c.Len() > 0 && c.items[0].Deadline.Before(start) {
			it := c.items[0]
			q.Remove(it)

			out = append(out, it)
		}
	}

	return out
}

// Each calls f for every queued request.
func (q *Queue[T]) Each(f func(*Item[T])) {
	for _, c := range q.byCustomer {
		for _, it := range c.items {
			f(it)
		}
	}
}
