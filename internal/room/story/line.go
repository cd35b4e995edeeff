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
	// At is when the line was written: the process's monotonic clock, set to the
	// time of day by the median of the process's lines.
	At      time.Time
	Node    string
	Message string
	// Request is the id of the request that the line is about, or empty.
	Request string
	// Target is the target that the line is about, or empty.
	Target string
	// Key names service, model and adapter that a request needs.
	Key string
	// Load, Model and Adapter are what an order loads, and Unload is what it
	// unloads first.
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
	// Left is how long the client allowed, Waited how long the request had no
	// target, First the time to its first byte, Took the time from its arrival to
	// its end, and Quiet the time since the last event of its stream.
	Left, Waited, First, Took, Quiet time.Duration
	// RetryAfter is the time after which a refused client was told to retry.
	RetryAfter time.Duration
	// Predicted is the wait by which a client was refused, WaitingAll the number of
	// requests that were queued for the model on all entries, and StartsPerSecond the rate
	// at which they started.
	Predicted       time.Duration
	WaitingAll      int
	StartsPerSecond float64
	Events, Dropped int
	// Holders is the number of targets that held the model when the request began
	// to wait. The others count those of them that accepted no requests, by reason.
	Holders, Full, Leaving, Dead, Resting, Ejected, Limited int
	// Calls are the numbers of calls to the store that the process had made, by
	// purpose and cause. Bytes are the bytes that it had exchanged with other
	// entries, by kind of message.
	Calls, Bytes map[string]int
	// Details are all fields as text.
	Details string

	// up is the process's uptime, by its monotonic clock.
	up time.Duration
	// process is the number of the process among those of its node, in the order
	// in which their lines were read.
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
	Resting int             `json:"resting"`
	Ejected int             `json:"ejected"`
	Limited int             `json:"limited"`
	First   float64         `json:"first"`
	Took    float64         `json:"took"`
	Quiet   float64         `json:"quiet"`
	Retry   float64         `json:"retryAfter"`

	Predicted       float64 `json:"predicted"`
	WaitingAll      int     `json:"waitingAll"`
	StartsPerSecond float64 `json:"startsPerSecond"`

	Events  int            `json:"events"`
	Dropped int            `json:"dropped"`
	Calls   map[string]int `json:"calls"`
	Bytes   map[string]int `json:"bytes"`
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// parse parses one line. It skips what stands before the first brace, where log
// collectors add a prefix.
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
		Quiet: millis(t.Quiet), RetryAfter: millis(t.Retry), Events: t.Events, Dropped: t.Dropped, Predicted: millis(t.Predicted), WaitingAll: t.WaitingAll, StartsPerSecond: t.StartsPerSecond, Calls: t.Calls, Bytes: t.Bytes,
		Holders: t.Holders, Full: t.Full, Leaving: t.Leaving, Dead: t.Dead, Resting: t.Resting, Ejected: t.Ejected, Limited: t.Limited,
		Details: details(text[at:]), up: millis(t.Up),
	}

	// The line of an adapter's load has one name there, that of a swap a list.
	var one string
	if json.Unmarshal(t.Unload, &l.Unload) != nil && json.Unmarshal(t.Unload, &one) == nil && one != "" {
		l.Unload = []string{one}
	}

	return l, true
}

// shown are the fields that Details omits, because other fields of Line have them.
var shown = []string{"time", "up", "node", "message", "level", "id"}

// details returns the other fields of a line, in their order.
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
	// maxLine limits the length of a line. The longest contain errors of a few
	// kilobytes.
	maxLine = 1 << 20
	// startMessage is the first line of every process.
	startMessage = "started"
)

// Read appends the log lines of r to lines. It skips all other text.
func Read(lines []Line, r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)

	// The logs of several processes of one node follow one another.
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
// A clock that is set while its process runs would move the process's lines by
// seconds. So the distances between the lines of a process are those of its
// monotonic clock, and its start is the median of what its lines state.
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
