// Package operator maps the operators' interface, which the screen and the
// command line use, to JSON.
package operator

import (
	"encoding/json"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// Paths of the interface.
const (
	PathBoard       = "/api/board"
	PathBoardEvents = "/api/board/events"
	PathLists       = "/api/lists/"
	PathHistory     = "/api/history"
	PathTimeline    = "/api/timeline"
)

// Meta says how an entry came by the board that it shows.
type Meta struct {
	Entry string `json:"entry"`
	AgeMs int64  `json:"ageMs"`
	Stale bool   `json:"stale"`
}

// BoardReply is the newest board.
type BoardReply struct {
	Meta  Meta            `json:"meta"`
	Board json.RawMessage `json:"board"`
}

// Outcome is what became of a put.
type Outcome string

// The outcomes of a put.
const (
	Accepted Outcome = "accepted"
	// Conflict means that another edit came first; nothing was changed.
	Conflict Outcome = "conflict"
	// Strands means that the edit needs the force flag; nothing was changed.
	Strands Outcome = "strands"
	// Invalid means that the document has faults; nothing was changed.
	Invalid Outcome = "invalid"
	// NotAccepted means that the store could not be asked; nothing was
	// changed.
	NotAccepted Outcome = "notAccepted"
	// Unknown means that the store did not say. Putting again with the same
	// write id tells.
	Unknown Outcome = "unknown"
)

// PutReply answers a put.
type PutReply struct {
	Outcome Outcome `json:"outcome"`
	Version uint64  `json:"version,omitempty"`
	WriteID string  `json:"writeId,omitempty"`
	Changes int     `json:"changes,omitempty"`
	// InForce is on how many of the Entries the version is in force.
	InForce  int           `json:"inForce,omitempty"`
	Entries  int           `json:"entries,omitempty"`
	Since    []record.Edit `json:"since,omitempty"`
	Stranded []string      `json:"stranded,omitempty"`
	Faults   []string      `json:"faults,omitempty"`
}

// HistoryReply lists edits.
type HistoryReply struct {
	Edits []record.Edit `json:"edits"`
}

// Event is an event of the time line.
type Event struct {
	At       time.Time `json:"at"`
	Stamp    uint64    `json:"stamp"`
	Instance string    `json:"instance"`
	Process  string    `json:"process"`
	Number   uint64    `json:"number"`
	Kind     string    `json:"kind"`
	Request  string    `json:"request,omitempty"`
	Model    string    `json:"model,omitempty"`
	Target   string    `json:"target,omitempty"`
	Customer string    `json:"customer,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

// Gap says that events are missing.
type Gap struct {
	Instance string `json:"instance"`
	Process  string `json:"process"`
	From     uint64 `json:"from"`
	To       uint64 `json:"to"`
}

// TimelineReply is a part of the time line.
type TimelineReply struct {
	Events    []Event  `json:"events"`
	Gaps      []Gap    `json:"gaps"`
	Unreached []string `json:"unreached"`
}

// FromStory maps a part of the time line.
func FromStory(events []timeline.Event, gaps []timeline.Gap, unreached []instance.ID) TimelineReply {
	out := TimelineReply{Events: make([]Event, len(events)), Gaps: []Gap{}, Unreached: []string{}}

	for i, e := range events {
		out.Events[i] = Event{
			At:       e.At.Time(),
			Stamp:    uint64(e.At),
			Instance: string(e.Instance),
			Process:  e.Process,
			Number:   e.Number,
			Kind:     string(e.Kind),
			Request:  e.Request,
			Model:    e.Model,
			Target:   string(e.Target),
			Customer: e.Customer,
			Detail:   e.Detail,
		}
	}

	for _, g := range gaps {
		out.Gaps = append(out.Gaps, Gap{Instance: string(g.Instance), Process: g.Process, From: g.From, To: g.To})
	}

	for _, id := range unreached {
		out.Unreached = append(out.Unreached, string(id))
	}

	return out
}
