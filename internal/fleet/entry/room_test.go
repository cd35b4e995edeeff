package entry_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/entry"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/standin/trial"
	"github.com/fulmarcross/fulmarcross/internal/wire/board"
	"github.com/fulmarcross/fulmarcross/internal/wire/operator"
)

// operate calls an entry's operators' side.
func operate(t *testing.T, e *entry.Entry, method, path string, body []byte) (int, []byte) {
	t.Helper()

	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+e.Operators().String()+path, bytes.NewReader(body))
	assert.NilError(t, err)
	req.SetBasicAuth("ana", trial.OperatorKey)

	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)

	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)

	return resp.StatusCode, data
}

// eventually waits until f holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()

	for range 1000 {
		if f() {
			return
		}

		time.Sleep(10 * time.Millisecond)
	}

	t.Fatalf("never: %s", what)
}

// TestListsEverywhere is the story of two operators at two screens who take
// the same list, edit it and put it: the first is accepted and in force on all
// entries, the second is told what the first changed. An edit that would
// strand waiting requests needs a flag, and the table's outage is told apart
// from a refusal.
func TestListsEverywhere(t *testing.T) {
	site := start(t)
	e := site.Entries()

	status, doc := operate(t, e[0], http.MethodGet, operator.PathLists+"allowances", nil)
	assert.Equal(t, status, http.StatusOK)

	put := func(at *entry.Entry, query string, doc []byte) operator.PutReply {
		_, data := operate(t, at, http.MethodPut, operator.PathLists+"allowances?"+query, doc)

		var reply operator.PutReply

		assert.NilError(t, json.Unmarshal(data, &reply), string(data))

		return reply
	}

	first := bytes.Replace(doc, []byte(`"draft-00",`), nil, 1)
	reply := put(e[0], "writeId=w1", first)
	assert.Equal(t, reply.Outcome, operator.Accepted)
	assert.Equal(t, reply.Version, uint64(2))

	second := put(e[1], "writeId=w2", bytes.Replace(doc, []byte(`"draft-01",`), nil, 1))
	assert.Equal(t, second.Outcome, operator.Conflict)
	assert.Equal(t, second.Since[0].Author, "ana")

	// The same put again, as after a lost answer, is harmless.
	assert.Equal(t, put(e[2], "writeId=w1", first).Version, uint64(2))

	for _, at := range e {
		eventually(t, "version 2 in force", func() bool {
			status, _ := call(t, http.MethodPost, at.Callers(), "/v1/completions", `{"model":"draft-00","max_tokens":1}`)

			return status == http.StatusNotFound
		})
	}

	faulty := put(e[0], "", bytes.Replace(first, []byte(`"models"`), []byte(`"modells"`), 1))
	assert.Equal(t, faulty.Outcome, operator.Invalid)
	assert.Assert(t, strings.HasPrefix(faulty.Faults[0], "allowances[0]"), faulty.Faults[0])

	site.Platform().SetFaults(platform.Faults{TableDown: true})
	assert.Equal(t, put(e[0], "", bytes.Replace(doc, []byte(`"version": 1`), []byte(`"version": 2`), 1)).Outcome, operator.NotAccepted)
	site.Platform().SetFaults(platform.Faults{})

	status, _ = operate(t, e[0], http.MethodGet, "/", nil)
	assert.Equal(t, status, http.StatusOK)

	resp, err := http.Get("http://" + e[0].Operators().String() + "/api/board")
	assert.NilError(t, err)

	defer resp.Body.Close()

	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
}

// TestSameBoard: at the same number all entries show the same bytes.
func TestSameBoard(t *testing.T) {
	site := start(t)
	shown := make(map[string]string)
	seen := 0

	for range 40 {
		for _, e := range site.Entries() {
			status, data := operate(t, e, http.MethodGet, operator.PathBoard, nil)
			if status != http.StatusOK {
				continue
			}

			var reply operator.BoardReply

			assert.NilError(t, json.Unmarshal(data, &reply))

			b, err := board.Decode(reply.Board)
			assert.NilError(t, err)
			assert.Assert(t, shown[b.Number] == "" || shown[b.Number] == string(reply.Board), "board %s differs", b.Number)

			shown[b.Number] = string(reply.Board)
			seen++
		}

		time.Sleep(100 * time.Millisecond)
	}

	assert.Assert(t, seen > 30 && len(shown) >= 3, "%d looks, %d boards", seen, len(shown))
}

// TestStoryOfTheDead is the story of an engineer who asks what became of a
// request after the entry that served it was killed: its last events must be
// there, from the copies that its peers hold.
func TestStoryOfTheDead(t *testing.T) {
	site := start(t)
	e := site.Entries()

	status, body := call(t, http.MethodPost, e[0].Callers(), "/v1/completions",
		`{"model":"draft-00","prompt":"x","max_tokens":2}`, "X-Request-Id", "the-last")
	assert.Equal(t, status, http.StatusOK, body)
	time.Sleep(3 * time.Second) // Copies go out every 250 ms; the rest is for a busy machine.
	site.Kill(e[0])

	s := e[1].Timeline(t.Context(), timeline.Filter{Request: "the-last"})

	kinds := make([]string, len(s.Events))
	for i, ev := range s.Events {
		kinds[i] = string(ev.Kind)
	}

	story := strings.Join(kinds, " ")
	for _, want := range []timeline.Kind{
		timeline.Admitted, timeline.LedgerWritten, timeline.LoadOrdered, timeline.LoadConfirmed, timeline.Sent, timeline.Answered,
	} {
		assert.Assert(t, strings.Contains(story, string(want)), "%s is missing in: %s", want, story)
	}
}
