// Package screen is the page that the room's screens show. It is one embedded
// file without a build step.
package screen

import (
	_ "embed"
	"net/http"
)

//go:embed screen.html
var page []byte

// policy lets the page load nothing from elsewhere.
const policy = "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'"

// Handler serves the page.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/" {
			http.NotFound(w, r)

			return
		}

		h := w.Header()
		h.Set("Content-Type", "text/html; charset=utf-8")
		h.Set("Content-Security-Policy", policy)

		_, _ = w.Write(page)
	})
}
