package logbook

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// BenchmarkLine measures the time that a request's goroutine spends on logging
// one decision.
func BenchmarkLine(b *testing.B) {
	book := New(io.Discard)
	defer book.Close()

	log := zerolog.New(book).With().Timestamp().Str("node", "frontend-centro-a-1").Logger()

	for b.Loop() {
		log.Info().Str("id", "9e975d5aefb0ac5a").Str("key", "goka45a/timi682002/a30").Str("target", "i-9643e10ce0").Int("own", 2).
			Int("running", 12).Int("slots", 48).Dur("age", time.Second).Msg("target chosen")
	}
}
