package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Class says what granting a request a target soon is worth. Lower classes go first.
type Class int

// The classes, in their order.
const (
	// Held is a request that has waited for half of the time from its arrival to its
	// deadline. It is no longer overtaken.
	Held Class = iota
	// GoalReachable is a request whose goal has not passed, or that has none.
	GoalReachable
	// DeadlineReachable is a request that has missed its goal.
	DeadlineReachable
)

// heldShare is the share of its time after which a request is no longer overtaken.
const heldShare = 0.5

// typicalTokens are the tokens of a request that states none.
const typicalTokens = 1700

// Class returns the request's class.
func (it *Item[T]) Class(now time.Time) Class {
	held := it.Since.Add(time.Duration(heldShare * float64(it.Deadline.Sub(it.Since))))

	switch {
	case it.Returned, !it.Since.IsZero() && !now.Before(held):
		return Held
	case it.Goal.IsZero() || now.Before(it.Goal):
		return GoalReachable
	}

	return DeadlineReachable
}

// work returns the request's part in the share of its customer.
func (it *Item[T]) work() float64 {
	tokens := it.Tokens
	if tokens <= 0 {
		tokens = typicalTokens
	}

	return float64(tokens) / typicalTokens
}

// ranked is a request with what its place depends on.
type ranked[T any] struct {
	*Item[T]

	class Class
	// start is the virtual time at which the request is served if its customer's requests
	// are served in their order.
	start float64
}

// compareOwn orders the requests of one customer.
func (r ranked[T]) compareOwn(o ranked[T]) int {
	if r.class != o.class || r.class == Held {
		return cmp.Or(cmp.Compare(r.class, o.class), r.Since.Compare(o.Since))
	}

	return cmp.Or(-cmp.Compare(r.Priority, o.Priority), r.Since.Compare(o.Since))
}

// compare orders the requests of all customers.
func (r ranked[T]) compare(o ranked[T]) int {
	if r.class != o.class || r.class == Held {
		return cmp.Or(cmp.Compare(r.class, o.class), r.Since.Compare(o.Since), strings.Compare(r.Customer, o.Customer))
	}

	return cmp.Or(cmp.Compare(r.start, o.start), -cmp.Compare(r.Priority, o.Priority), r.Since.Compare(o.Since), strings.Compare(r.Customer, o.Customer))
}

// Order returns the queued requests in the order in which they are served from now on:
// by class, and within a class fair between customers by their tokens, in proportion to
// their weights. The requests of one customer go by priority and then by queueing time.
// Held requests go by queueing time alone.
//
// PushOrdered and PopOrdered use this order. A queue must not be used with them and with
// Push and Pop unless it was empty in between.
func (q *Queue[T]) Order(now time.Time) []*Item[T] {
	all := make([]ranked[T], 0, q.length)

	for _, c := range q.byCustomer {
		first := len(all)
		for _, it := range c.items {
			all = append(all, ranked[T]{Item: it, class: it.Class(now)})
		}

		own := all[first:]
		slices.SortStableFunc(own, ranked[T].compareOwn)

		start := c.tag
		for i := range own {
			own[i].start = start
			start += own[i].work() / float64(max(1, own[i].Weight))
		}
	}

	slices.SortStableFunc(all, ranked[T].compare)

	out := make([]*Item[T], len(all))
	for i := range all {
		out[i] = all[i].Item
	}

	return out
}

// PushOrdered enqueues item. If the queue is full, it displaces and returns the last
// request, by Order, of the customer whose queued requests have most tokens, the new one
// included. If that is the new request itself, it returns a *FullError.
func (q *Queue[T]) PushOrdered(item *Item[T], now time.Time) (*Item[T], error) {
	q.add(item)

	if q.Limit <= 0 || q.length <= q.Limit {
		return nil, nil //nolint:nilnil // Usually nothing is displaced.
	}

	heaviest := q.heaviest()

	var last *Item[T]

	for _, it := range q.Order(now) {
		if it.owner == heaviest {
			last = it
		}
	}

	q.Remove(last)

	if last == item {
		return nil, &FullError{Waiting: q.length}
	}

	return last, nil
}

// heaviest returns the customer whose queued requests have most tokens.
func (q *Queue[T]) heaviest() *customerQueue[T] {
	var (
		heaviest *customerQueue[T]
		most     float64
	)

	for _, c := range q.byCustomer {
		work := 0.0
		for _, it := range c.items {
			work += it.work()
		}

		if heaviest == nil || work > most || work == most && c.customer < heaviest.customer {
			heaviest, most = c, work
		}
	}

	return heaviest
}

// PopOrdered removes and returns the first request by Order for which accept returns
// true, or nil.
func (q *Queue[T]) PopOrdered(now time.Time, accept func(*Item[T]) bool) *Item[T] {
	for _, it := range q.Order(now) {
		if !accept(it) {
			continue
		}

		c := it.owner
		q.virtualTime = max(q.virtualTime, c.tag)
		c.tag += it.work() / float64(max(1, it.Weight))
		q.Remove(it)

		return it
	}

	return nil
}
