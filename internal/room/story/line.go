// Package story tells what became of one request from the log lines of all
// processes.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one line of a process's log.
type Line struct {
	// At is when it was written, by the process's steady clock set against the
	// time of day that most of its lines agree on.
	At      time.Time
	Node    string
	Message string
	// Request is the id of the request that the line is about, or empty.
	Request string
	// Target is the target that the line is about, or empty.
	Target string
	// Key names service, model and adapter that a request needs.
	Key string
	// Load, Model and Adapter are what an order is about, and Unload what
	// makes way for it.
	Load, Model, Adapter string
	Unload               []string
	// Takes is how long a load was expected to take.
	Takes time.Duration
	Error string
	Why   string
	// Status is the answer's, or zero.
	Status int
	Sends  int
	Cold   bool
	// Goal is the time within which a first byte is on time, or zero.
	Goal time.Duration
	// Left is how much time its caller gave the request, Waited how long it had
	// no target, First how long its first
	// byte took, Took how long it was in hand, and Quiet how long ago the last
	// event of its stream had come.
	Left, Waited, First, Took, Quiet time.Duration
	Events, Dropped                  int
	// Holders is how many targets held the model when the request began to
	// wait, and how many of them took nothing for which reason.
	Holders, Full, Leaving, Dead, Ejected int
	// Calls are how many calls to the store the process had made, by what they
	// were for and why, and Bytes how many it had exchanged with other entries,
	// by the kind of message.
	Calls, Bytes map[string]int
	// Details are all fields as text.
	Details string

	// up is how long the process had run, by its steady clock.
	up time.Duration
	// process counts the processes of the node whose lines were read.
	process int
}

// lineText is a Line on the wire.
type lineText struct {
	Time    int64           `json:"time"`
	Up      float64         `json:"up"`
	Node    string          `json:"node"`
	Message string          `json:"message"`
	ID      string          `json:"id"`
	Target  string          `json:"target"`
	Key     string          `json:"key"`
	Load    string          `json:"load"`
	Model   string          `json:"model"`
	Adapter string          `json:"adapter"`
	Unload  json.RawMessage `json:"unload"`
	Takes   float64         `json:"takes"`
	Error   string          `json:"error"`
	Why     string          `json:"why"`
	Status  int             `json:"status"`
	Sends   int             `json:"sends"`
	Cold    bool            `json:"cold"`
	Left    float64         `json:"left"`
	Goal    float64         `json:"goal"`
	Waited  float64         `json:"waited"`
	Holders int             `json:"holders"`
	Full    int             `json:"full"`
	Leaving int             `json:"leaving"`
	Dead    int             `json:"dead"`
	Ejected int             `json:"ejected"`
	First   float64         `json:"first"`
	Took    float64         `json:"took"`
	Quiet   float64         `json:"quiet"`
	Events  int             `json:"events"`
	Dropped int             `json:"dropped"`
	Calls   map[string]int  `json:"calls"`
	Bytes   map[string]int  `json:"bytes"`
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// parse reads one line. What stands before its first brace is left out: tools
// that gather logs put their own stamp there.
func parse(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}

	var t lineText
	if json.Unmarshal(text[at:], &t) != nil || t.Message == "" {
		return Line{}, false
	}

	l := Line{
		At: time.UnixMilli(t.Time), Node: t.Node, Message: t.Message, Request: t.ID, Target: t.Target, Key: t.Key,
		Load: t.Load, Model: t.Model, Adapter: t.Adapter, Takes: millis(t.Takes), Error: t.Error, Why: t.Why,
		Status: t.Status, Sends: t.Sends, Cold: t.Cold, Left: millis(t.Left), Goal: millis(t.Goal), Waited: millis(t.Waited), First: millis(t.First), Took: millis(t.Took),
		Quiet: millis(t.Quiet), Events: t.Events, Dropped: t.Dropped, Calls: t.Calls, Bytes: t.Bytes,
		Holders: t.Holders, Full: t.Full, Leaving: t.Leaving, Dead: t.Dead, Ejected: t.Ejected,
		Details: details(text[at:]), up: millis(t.Up),
	}

	// An adapter's line names one that makes way, a swap's a list.
	var one string
	if json.Unmarshal(t.Unload, &l.Unload) != nil && json.Unmarshal(t.Unload, &one) == nil && one != "" {
		l.Unload = []string{one}
	}

	return l, true
}

// shown are the fields that a line shows in other ways.
var shown = []string{"time", "up", "node", "message", "level", "id"}

// details returns a line's fields in the order in which they were written.
func details(text []byte) string {
	var out []string

	dec := json.NewDecoder(bytes.NewReader(text))
	_, _ = dec.Token() // The opening brace of a line that was decoded before.

	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			break
		}

		var value json.RawMessage
		if dec.Decode(&value) != nil {
			break
		}

		if n, ok := name.(string); ok && !slices.Contains(shown, n) {
			out = append(out, n+"="+string(value))
		}
	}

	return strings.Join(out, " ")
}

const (
	// maxLine bounds a line; the longest are errors of some kilobytes.
	maxLine = 1 << 20
	// startMessage is the first line of every process.
	startMessage = "started"
)

// Read appends the lines of r to lines. Text that is no line of ours is passed
// over.
func Read(lines []Line, r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)

	// Gathered logs hold many processes, one after the other by node.
	process := make(map[string]int)
	for i := range lines {
		process[lines[i].Node] = max(process[lines[i].Node], lines[i].process)
	}

	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			continue
		}

		if l.Message == startMessage {
			process[l.Node]++
		}

		l.process = process[l.Node]
		lines = append(lines, l)
	}

	if err := s.Err(); err != nil {
		return lines, fmt.Errorf("read log: %w", err)
	}

	return lines, nil
}

// inOrder sorts the lines of all processes by time.
//
// It guards against clocks that are set while a process runs: its lines would
// stand seconds away from what they caused. Each process's own lines are kept
// apart as its steady clock says, and the time of day is the one that half of
// its lines agree on.
func inOrder(lines []Line) []Line {
	type process struct {
		node string
		n    int
	}

	starts := make(map[process][]time.Time)

	for _, l := range lines {
		if l.up > 0 {
			p := process{l.Node, l.process}
			starts[p] = append(starts[p], l.At.Add(-l.up))
		}
	}

	for _, all := range starts {
		slices.SortFunc(all, time.Time.Compare)
	}

	out := slices.Clone(lines)
	for i, l := range out {
		if all := starts[process{l.Node, l.process}]; l.up > 0 {
			out[i].At = all[len(all)/2].Add(l.up)
		}
	}

	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })

	return out
}
