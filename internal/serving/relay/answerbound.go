package relay

import (
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/memory"
)

// targetShare is the part of the memory for requests that the unfinished answers of one target may
// take together, if they do not state their lengths.
const targetShare = 0.125

// answerMemory counts, by target, what is held of answers that are being read. The zero value
// holds nothing.
type answerMemory struct {
	mu   sync.Mutex
	held map[instance.ID]int64
}

// grow adds n bytes to what is held of a target's answers, of which own belong to the answer that
// grows. It reports false, and adds nothing, if all of them exceed most. An answer that is the
// only one of its target may exceed it.
func (m *answerMemory) grow(id instance.ID, own, n, most int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if total := m.held[id]; total > own && total+n > most {
		return false
	}

	if m.held == nil {
		m.held = make(map[instance.ID]int64)
	}

	m.held[id] += n

	return true
}

// release subtracts n bytes.
func (m *answerMemory) release(id instance.ID, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.held[id] -= n; m.held[id] <= 0 {
		delete(m.held, id)
	}
}

// answerBound bounds the memory of one answer while it is read. The zero value has no bound.
type answerBound struct {
	memory *answerMemory
	target instance.ID
	// own is what is held of the answer, and most bounds all unfinished ones of the target.
	own, most int64
}

// boundAnswer returns the bound of an answer of a target, without one if the answer states its
// length or the memory has no limit.
//
// Bytes that are no answer may come without end and at full speed. Without this bound the answers
// of one such target take all memory, and the requests for others are refused.
func (d *delivery) boundAnswer(id instance.ID, a *answer) *answerBound {
	if d.Memory == nil || a.ContentLength >= 0 {
		return &answerBound{}
	}

	_, limit := d.Memory.Held()

	return &answerBound{memory: &d.answers, target: id, most: int64(targetShare * float64(limit))}
}

// grow counts n more bytes. It fails if the target's answers take too much memory.
func (b *answerBound) grow(n int) error {
	if b.memory == nil {
		return nil
	}

	if !b.memory.grow(b.target, b.own, int64(n), b.most) {
		return &InvalidAnswerError{Reason: "answers without length take too much memory"}
	}

	b.own += int64(n)

	return nil
}

// end counts the answer as read.
func (b *answerBound) end() {
	if b.memory != nil {
		b.memory.release(b.target, b.own)
		b.own = 0
	}
}

// ownHolding returns what is held for a request whose connection is not counted.
func (d *delivery) ownHolding() *memory.Holding {
	if d.Memory == nil {
		return nil
	}

	h := d.Memory.Open(0, func(time.Duration) {}) // No client of its own to disconnect.
	h.SetTeam(d.customer())

	return h
}
