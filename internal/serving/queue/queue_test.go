package queue

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(customer string, weight, deadline int) *Item[int] {
	return &Item[int]{
		Customer: customer, Weight: weight, Deadline: start.Add(time.Duration(deadline) * time.Second), Value: deadline,
	}
}

func TestDeadlineOrderWithinCustomer(t *testing.T) {
	var q Queue[int]
	for _, d := range []int{5, 1, 4, 2, 3} {
		_, err := q.Push(item("a", 1, d))
		assert.NilError(t, err)
	}

	for want := 1; want <= 5; want++ {
		assert.Equal(t, q.Pop().Value, want)
	}

	assert.Assert(t, q.Pop() == nil)
}

// TestNoCustomerStarves queues 1000 requests of one customer while two others send
// one request after another. The customers must be served in turn, with shares
// according to their weights.
func TestNoCustomerStarves(t *testing.T) {
	var q Queue[int]
	for i := range 1000 {
		_, _ = q.Push(item("flood", 1, i))
	}

	served := make(map[string]int)

	for range 300 {
		if q.Waiting("single") == 0 {
			_, _ = q.Push(item("single", 1, 0))
		}

		if q.Waiting("heavy") == 0 {
			_, _ = q.Push(item("heavy", 3, 0))
		}

		served[q.Pop().Customer]++
	}

	assert.Assert(t, served["flood"] >= 55 && served["flood"] <= 65, "%v", served)
	assert.Assert(t, served["single"] >= 55 && served["single"] <= 65, "%v", served)
	assert.Assert(t, served["heavy"] >= 170, "%v", served)
}

func TestFullQueue(t *testing.T) {
	q := Queue[int]{Limit: 4}
	for i := range 4 {
		_, _ = q.Push(item("flood", 1, i))
	}

	_, err := q.Push(item("flood", 1, 0))

	var full *FullError

	assert.Assert(t, errors.As(err, &full))

	// A request of another customer displaces the flood's request with the latest
	// deadline.
	out, err := q.Push(item("new", 1, 9))
	assert.NilError(t, err)
	assert.Equal(t, out.Value, 3)
	assert.Equal(t, q.Len(), 4)
}

func TestRemoveLate(t *testing.T) {
	var q Queue[int]
	for _, d := range []int{1, 5, 3} {
		_, _ = q.Push(item(fmt.Sprint(d), 1, d))
	}

	out := q.RemoveLate(start.Add(4 * time.Second))
	slices.SortFunc(out, func(a, b *Item[int]) int { return a.Value - b.Value })
	assert.Equal(t, len(out), 2)
	assert.Equal(t, out[0].Value, 1)
	assert.Equal(t, out[1].Value, 3)
	assert.Equal(t, q.Len(), 1)
}

// naive is a queue in a plain slice. It orders requests by deadline within a
// customer and ignores fairness.
type naive struct{ items []*Item[int] }

func (n *naive) first(customer string) *Item[int] {
	var best *Item[int]
	for _, it := range n.items {
		if it.Customer == customer && (best == nil || it.Deadline.Before(best.Deadline)) {
			best = it
		}
	}

	return best
}

func (n *naive) remove(it *Item[int]) {
	n.items = slices.DeleteFunc(n.items, func(o *Item[int]) bool { return o == it })
}

// TestAgainstNaive compares random steps with a plain slice: no request is lost
// or duplicated, within a customer the earliest deadline is first, and with
// equal weights a customer with queued requests is passed over only a bounded
// number of times.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			q      Queue[int]
			n      naive
			passed = make(map[string]int)
		)

		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				// Distinct deadlines, so that the order is determined.
				d := rapid.IntRange(0, 1000).Draw(t, "deadline")*1000 + step
				it := item(fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "customer")), 1, d)
				_, _ = q.Push(it)
				n.items = append(n.items, it)
			case 1:
				pop(t, &q, &n, passed)
			case 2:
				if len(n.items) > 0 {
					it := rapid.SampledFrom(n.items).Draw(t, "leaves")
					n.remove(it)

					if !q.Remove(it) || q.Remove(it) {
						t.Fatal("Remove failed, or removed an item twice")
					}
				}
			}

			if q.Len() != len(n.items) {
				t.Fatalf("%d waiting, naive %d", q.Len(), len(n.items))
			}
		}
	})
}

func pop(t *rapid.T, q *Queue[int], n *naive, passed map[string]int) {
	customers := q.Customers()
	it := q.Pop()

	if it == nil {
		if len(n.items) > 0 {
			t.Fatal("Pop returned nil although requests are queued")
		}

		return
	}

	if it != n.first(it.Customer) {
		t.Fatalf("popped %v, want %v", it.Value, n.first(it.Customer).Value)
	}

	n.remove(it)

	for _, c := range []string{"c0", "c1", "c2", "c3"} {
		if c == it.Customer || n.first(c) == nil {
			passed[c] = 0
		} else if passed[c]++; passed[c] > 2*customers+2 {
			t.Fatalf("%s was passed over %d times among %d customers", c, passed[c], customers)
		}
	}
}
