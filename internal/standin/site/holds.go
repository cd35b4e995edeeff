package site

import (
	"context"
	"io"
	"net/http"
	"regexp"
)

var holdsLease = regexp.MustCompile(`(?m)^\w+_holds_lease 1$`)

// Holds reports whether an entry holds the lease, by its metrics.
func (s *Site) Holds(ctx context.Context, e *Entry) (bool, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Metrics.String()+"/metrics", nil)
	if err != nil {
		return false, err
	}

	resp, err := s.client().Do(r)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()

	page, err := io.ReadAll(resp.Body)

	return holdsLease.Match(page), err
}
