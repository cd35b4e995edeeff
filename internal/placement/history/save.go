package history

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"
)

// formatVersion is the version of the saved format.
const formatVersion = 1

// header is the start of the saved format.
type header struct {
	Version uint32
	Models  uint32
	Pooled  [gapBuckets]float32
}

// savedModel is one model in the saved format, after its name.
type savedModel struct {
	Gaps  [gapBuckets]float32
	Slots [dayKinds][daySlots]uint8
	Today [daySlots]bool
	Day   int64
	// Last is in Unix milliseconds; zero means never.
	Last int64
}

// FormatError reports that saved data cannot be read.
type FormatError struct{ Reason string }

func (e *FormatError) Error() string { return "history: " + e.Reason }

// Save returns the registry as bytes, about 400 per model.
func (r *Registry) Save() []byte {
	var buf bytes.Buffer

	write := func(v any) { _ = binary.Write(&buf, binary.LittleEndian, v) }
	write(header{Version: formatVersion, Models: uint32(len(r.models)), Pooled: r.pooled}) //nolint:gosec // Bounded.

	for _, name := range slices.Sorted(maps.Keys(r.models)) {
		m := r.models[name]
		write(uint16(len(name))) //nolint:gosec // Names are checked to be short.
		buf.WriteString(name)

		s := savedModel{Gaps: m.gaps, Slots: m.slots, Today: m.today, Day: m.day}
		if !m.last.IsZero() {
			s.Last = m.last.UnixMilli()
		}

		write(s)
	}

	return buf.Bytes()
}

// Restore adds the saved models that the registry does not contain, and adds
// the saved pooled gaps to its own.
func (r *Registry) Restore(data []byte) error {
	reader := bytes.NewReader(data)

	var h header
	if err := binary.Read(reader, binary.LittleEndian, &h); err != nil {
		return &FormatError{Reason: err.Error()}
	}

	if h.Version != formatVersion {
		return &FormatError{Reason: fmt.Sprintf("unsupported version %d", h.Version)}
	}

	models := make(map[string]*usage)

	for range h.Models {
		name, m, err := readModel(reader)
		if err != nil {
			return &FormatError{Reason: err.Error()}
		}

		models[name] = m
	}

	maps.Copy(models, r.models)
	r.models = models

	for i := range h.Pooled {
		r.pooled[i] += h.Pooled[i]
	}

	return nil
}

func readModel(r *bytes.Reader) (string, *usage, error) {
	var n uint16
	if err := binary.Read(r, binary.LittleEndian, &n); err != nil {
		return "", nil, err
	}

	name := make([]byte, n)
	if err := binary.Read(r, binary.LittleEndian, name); err != nil {
		return "", nil, err
	}

	var s savedModel
	if err := binary.Read(r, binary.LittleEndian, &s); err != nil {
		return "", nil, err
	}

	m := &usage{gaps: s.Gaps, slots: s.Slots, today: s.Today, day: s.Day}
	if s.Last != 0 {
		m.last = time.UnixMilli(s.Last)
	}

	return string(name), m, nil
}
