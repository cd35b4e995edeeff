package story

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ended(id, message string, at time.Duration, change func(*Line)) Line {
	l := Line{At: time.Unix(100, 0).Add(at), Node: "n", Message: message, Request: id, Key: "s/m", Sends: 1, Goal: time.Second, Took: 100 * time.Millisecond}
	if change != nil {
		change(&l)
	}

	return l
}

// TestSummarize holds that requests are counted once, by how they ended and
// why, and that the ids lead on to their stories.
func TestSummarize(t *testing.T) {
	cold := func(l *Line) { l.Sends, l.Error = 0, "refused: tooCold, notRun: it could not be answered" }
	late := func(l *Line) { l.First, l.Cold, l.Took = 3*time.Second, true, 4*time.Second }

	s := Summarize([]Line{
		{At: time.Unix(90, 0), Node: "n", Message: startMessage},
		ended("in-time", answered, 0, func(l *Line) { l.First = time.Millisecond }),
		ended("cold-1", refused, time.Second, cold),
		ended("late-1", answered, 2*time.Second, late),
		ended("cold-2", refused, 3*time.Second, cold),
		{At: time.Unix(103, 0), Node: "n", Message: waits, Request: "full", Holders: 2, Full: 2, Key: "s/m"},
		ended("full", refused, 4*time.Second, func(l *Line) { l.Sends = 0 }),
		{At: time.Unix(104, 0), Node: "n", Message: "target chosen", Request: "lost", Target: "t", Key: "s/m"},
	})

	assert.Equal(t, s.Requests, 6)
	assert.Equal(t, s.Late, 1)
	assert.Equal(t, s.Unserved, 4)

	var causes []string
	for _, g := range s.Groups {
		causes = append(causes, g.Cause)
	}

	assert.DeepEqual(t, causes, []string{
		"refused: its model could not be loaded in time",
		"no last line: the process ended, or its log",
		"refused after waiting: targets with its model were full",
		"late: waited for its model",
	})
	assert.DeepEqual(t, s.Groups[0].Requests, []string{"cold-1", "cold-2"})
	assert.DeepEqual(t, s.Groups[0].Models, map[string]int{"m": 2})
	assert.DeepEqual(t, s.Groups[0].Seconds, map[int]int{10: 1, 12: 1})
	assert.DeepEqual(t, s.Groups[1].Targets, map[string]int{"t": 1})

	assert.Equal(t, Summarize(nil).Requests, 0)
}
