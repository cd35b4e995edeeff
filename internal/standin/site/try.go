package site

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/standin/trial"
)

const (
	// tryCallers is the number of concurrent clients.
	tryCallers = 12
	tryEntries = 3
	// answerTokens is the number of events of a stream.
	answerTokens = 12
	// tryDeadline is the timeout of a request.
	tryDeadline = 8 * time.Second
	// mostMs is the largest value of the histograms.
	mostMs = 60_000
)

// ledger records the answers of a trial.
type ledger struct {
	mu     sync.Mutex
	report trial.Report
	first  *hdrhistogram.Histogram
	cold   *hdrhistogram.Histogram
}

// Try sends requests without faults for a time and reports what clients and targets
// recorded.
func Try(ctx context.Context, seed uint64, length time.Duration, log io.Writer) (trial.Report, error) {
	s, err := Start(ctx, Options{Entries: tryEntries, Log: log})
	if err != nil {
		return trial.Report{}, err
	}
	defer s.Close()

	if err := s.WaitReady(ctx); err != nil {
		return trial.Report{}, err
	}

	l := &ledger{
		first: hdrhistogram.New(1, mostMs, 3), cold: hdrhistogram.New(1, mostMs, 3), //nolint:mnd // Digits.
	}
	end := time.Now().Add(length)

	var wg sync.WaitGroup
	for i := range tryCallers {
		wg.Go(func() { s.call(ctx, l, i, rand.New(rand.NewPCG(seed, uint64(i))), end) }) //nolint:gosec // Small numbers.
	}

	wg.Wait()

	l.report.Overcommitted = int64(len(s.Broken()))
	l.report.FirstTokenP95 = time.Duration(l.first.ValueAtQuantile(95)) * time.Millisecond //nolint:mnd // As named.
	l.report.ColdStartP99 = time.Duration(l.cold.ValueAtQuantile(99)) * time.Millisecond   //nolint:mnd // As named.
	l.report.ColdStarts = l.cold.TotalCount()

	return l.report, ctx.Err()
}

// call sends one client's requests until end.
func (s *Site) call(ctx context.Context, l *ledger, caller int, draw *rand.Rand, end time.Time) {
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("try-%d-%d", caller, n)
		path, model := "/book/x", ""

		switch draw.IntN(4) { //nolint:mnd // The demo's routes.
		case 0:
			path = "/look/x"
		case 1:
			path, model = "/dossier/x", Model(draw.IntN(models))
		case 2: //nolint:mnd // See above.
			path, model = "/note/x", Model(draw.IntN(2)) //nolint:mnd // The busy models.
		}

		e := s.Entries[draw.IntN(len(s.Entries))]
		r, err := Ask(ctx, e, path, "text", relay.RequestInfo{ID: id, Timeout: tryDeadline, Model: model, TokensIn: 10, TokensOut: answerTokens})
		l.note(s.Runs(id), r, err, model)
	}
}

// note records one answer.
func (l *ledger) note(runs int, r Reply, err error, model string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.report.Requests++

	switch {
	case err != nil:
		l.report.Lost++
	case r.Status == http.StatusOK && !r.Whole:
		l.report.Truncated++
	case r.Status == http.StatusOK:
		l.report.Answered++
		l.time(r, model)

		if !proper(r, model) {
			l.report.Crossed++
		}

		if r.Took > tryDeadline {
			l.report.Late++
		}
	default:
		l.report.Refused++

		if r.Status == http.StatusServiceUnavailable && runs > 0 {
			l.report.UntrueRefusals++
		}
	}

	if runs > 1 {
		l.report.Doubled++
	}
}

// proper reports whether an answer belongs to its request.
func proper(r Reply, model string) bool {
	if model == "" {
		return strings.HasPrefix(r.Body, "done: ")
	}

	return strings.Count(r.Body, "data: ") == answerTokens
}

// time records the time to the first byte of an answer.
func (l *ledger) time(r Reply, model string) {
	if model == "" {
		return
	}

	// Larger values count as mostMs.
	ms := min(max(1, r.First.Milliseconds()), mostMs)
	_ = l.first.RecordValue(ms)

	if r.First >= cold/2 {
		_ = l.cold.RecordValue(ms)
	}
}
