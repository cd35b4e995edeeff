package caller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

func TestDecodeChat(t *testing.T) {
	c, err := DecodeChat([]byte(`{"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":[{"type":"text","text":"b"}]}],"temperature":1}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, c, Call{Model: "m", Prompt: "user: a\nuser: b\n", MaxTokens: defaultMaxTokens, Chat: true})
}

func TestRefusalRoundTrip(t *testing.T) {
	r := request.Refusal{Code: request.Limited, Run: request.NotRun, RetryAfter: 1500 * time.Millisecond, Message: "x"}
	got, ok := DecodeRefusal(EncodeRefusal(&r))
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, r)
}

// FuzzDecode: whatever a caller sends, it is decoded or refused, and what is
// decoded keeps its bounds.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","prompt":"x","n":1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, decode := range []func([]byte) (Call, error){DecodeChat, DecodeCompletion} {
			c, err := decode(data)
			if err == nil && (c.Model == "" || c.MaxTokens < 1 || c.MaxTokens > limitMaxTokens) {
				t.Fatalf("%+v", c)
			}
		}
	})
}

func BenchmarkChunk(b *testing.B) {
	a := Answer{ID: "cmpl-1", Model: "m", Created: time.Now(), Chat: true}

	var buf []byte

	b.ReportAllocs()

	for b.Loop() {
		buf = a.Chunk(buf[:0], "a token ", false)
	}
}
