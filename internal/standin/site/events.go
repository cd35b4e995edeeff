package site

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
)

// AskFor sends one request for a stream to an entry on a new connection, and closes the
// connection after so many events. Reply.Body holds these.
func AskFor(ctx context.Context, e *Entry, events int, path, body string, ask relay.RequestInfo) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	c := e.client
	if c == nil {
		c = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}

	resp, err := open(ctx, c, e.Callers, path, body, ask, true)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()

	r := Reply{Status: resp.StatusCode, Header: resp.Header}
	lines := bufio.NewReader(resp.Body)

	for len(Events(r.Body)) < events {
		line, err := lines.ReadString('\n')
		r.Body += line

		if err == io.EOF {
			r.Whole = resp.StatusCode == http.StatusOK

			return r, nil
		}

		if err != nil {
			return r, err
		}
	}

	return r, nil
}

// Event is an event of a stream that a client received.
type Event struct {
	Number int
	// By is the software that made it.
	By instance.Software
}

// Events returns the whole events in a body.
func Events(body string) []Event {
	var out []Event

	for whole, rest, ended := strings.Cut(body, "\n\n"); ended; whole, rest, ended = strings.Cut(rest, "\n\n") {
		id, data, ok := strings.Cut(whole, "\ndata: ")
		number, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		_, by, named := strings.Cut(data, " by ")

		if ok && named && err == nil {
			out = append(out, Event{Number: number, By: instance.Software(by)})
		}
	}

	return out
}

// Mixed reports whether events were made by several versions of the software.
func Mixed(events []Event) bool {
	return slices.ContainsFunc(events, func(e Event) bool { return e.By != events[0].By })
}
