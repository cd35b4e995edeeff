package relay

import (
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
)

// answerHead is the head of an answer as it arrived on a connection to a target.
type answerHead struct {
	status int
	info   AnswerInfo
	// process is the target's process at the time the connection was opened.
	process statement.Process
	// stray says that the answer belongs to an earlier request.
	stray bool
}

// hear heeds what a target states in the head of an answer. sentAt is when the request
// was sent.
func (d *delivery) hear(t *router.Target, head answerHead, sentAt time.Time) {
	heard, own := head.heard(t.ID)
	if !own {
		return
	}

	if d.Reach != nil {
		d.Reach.Answered(d.service, d.newConn)
	}

	heard.At = clock.Now()
	heard.SentAt = heard.At.Add(-time.Since(sentAt))

	if t.Info().Incarnation == head.process.Incarnation {
		d.apply(t, &heard)
	}

	if d.OnStatement != nil {
		d.OnStatement(heard)
	}
}

// apply applies a statement of the target's present process.
func (d *delivery) apply(t *router.Target, heard *statement.Heard) {
	if heard.Leaving {
		t.MarkLeaving()
	}

	if heard.Rest > 0 {
		heard.RestUntil = router.RestEnd(time.Now(), heard.Rest, d.Dispatcher.Entries())
		t.Rest(heard.RestUntil)
	}

	if heard.Works {
		t.Accepted(time.Now())
	}

	if heard.Brittle || heard.Works {
		t.StateBrittle(heard.Brittle, heard.Rejections)
	}
}

// heard returns what the head states. It returns false if another instance than the
// target has sent it.
func (h answerHead) heard(target instance.ID) (statement.Heard, bool) {
	if from := h.info.Instance; from != "" && from != target {
		return statement.Heard{}, false
	}

	heard := statement.Heard{Statement: h.info.Statement, Process: h.process}
	heard.Works = !h.stray && h.info.Signed && !h.info.NotRun && h.status < http.StatusInternalServerError

	if !h.info.Signed && !h.info.NotRun {
		// It may come from something else at the target's address. Only a rest is
		// heeded, which ends by itself.
		heard.Statement = statement.Statement{Rest: h.info.Statement.Rest}
	}

	return heard, true
}

// NotSentError reports that a request was not sent to the target that was chosen for it,
// because the target has said meanwhile that it accepts none.
type NotSentError struct {
	Target instance.ID
	Reason router.Reason
}

func (e *NotSentError) Error() string {
	return "target " + string(e.Target) + ": not sent, " + e.Reason.String()
}
