// Package screen serves the page for the screens that everyone in the room
// sees. The page is one embedded file without a build step.
package screen

import (
	_ "embed"
	"net/http"
)

//go:embed screen.html
var page []byte

// securityPolicy is the Content-Security-Policy. It allows inline scripts and
// styles and connections to the page's own origin, and no other sources.
const securityPolicy = "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'"

// Handler returns a handler that serves the page at / and answers 404 for every
// other path.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/" {
			http.NotFound(w, r)

			return
		}

		h := w.Header()
		h.Set("Content-Type", "text/html; charset=utf-8")
		h.Set("Content-Security-Policy", securityPolicy)

		_, _ = w.Write(page)
	})
}
