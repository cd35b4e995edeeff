package node

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
)

func TestPacked(t *testing.T) {
	var p packedConfig

	first, err := p.compressed(1, []byte("one"))
	assert.NilError(t, err)

	text, err := frame.Unpack(first)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "one")

	second, err := p.compressed(2, []byte("two"))
	assert.NilError(t, err)

	text, err = frame.Unpack(second)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "two")

	_, err = frame.Unpack([]byte("no such thing"))
	assert.Assert(t, err != nil)
}

// TestUnpackIsBounded guards against a peer's message that decompresses to more
// memory than the machine has.
func TestUnpackIsBounded(t *testing.T) {
	data, err := frame.Pack(make([]byte, frame.MaxFrame+1))
	assert.NilError(t, err)

	_, err = frame.Unpack(data)

	var long *frame.SizeError

	assert.Assert(t, errors.As(err, &long))
}

// BenchmarkPack compresses a configuration of 1,700 routes and reports both
// sizes.
func BenchmarkPack(b *testing.B) {
	var text bytes.Buffer
	for i := range 1700 {
		_, _ = fmt.Fprintf(&text, `{"name":"r-%07x","host":"ficu95.example","prefix":"/%07x/","type":"streaming","timeout_ms":15000,"goal_ms":600,"priority":1,"service":"huvo11a","max_attempts":2},`, i*7919, i*104729)
	}

	var data []byte

	for b.Loop() {
		data, _ = frame.Pack(text.Bytes())
	}

	b.ReportMetric(float64(text.Len()), "bytes")
	b.ReportMetric(float64(len(data)), "packed")
}
