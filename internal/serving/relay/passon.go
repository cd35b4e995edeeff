package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// Neighbour is another entry, to which requests can be passed on.
type Neighbour struct {
	ID      instance.ID
	Address netip.AddrPort
}

// Reach knows which services this entry reaches, and the entries that may reach others.
type Reach interface {
	// CutOff reports whether this entry reaches no target of the service.
	CutOff(service string) bool
	// Check does the same after a connection could not be opened, or broke before an answer. If
	// that is not known yet, it tries some targets first.
	Check(ctx context.Context, service string) bool
	// CheckTarget does what Check does for the service of a target.
	CheckTarget(ctx context.Context, id instance.ID) bool
	// Answered records that a connection to a target of the service, perhaps a new one, carried an
	// answer.
	Answered(service string, newConn bool)
	// Silent reports whether no target of the service has answered lately.
	Silent(service string) bool
	// Dialing returns a context for opening a connection, which ends when this entry is
	// found to be cut off from the service. The caller cancels it.
	Dialing(ctx context.Context, service string) (context.Context, context.CancelFunc)
	// Neighbours returns the entries to which a request for the service may be passed on,
	// in order.
	Neighbours(service string) []Neighbour
	// Avoid records that a neighbour cannot be reached or does not reach the service.
	Avoid(service string, id instance.ID)
}

// The headers between two entries. Those of a request count only on the listener for
// entries.
const (
	// headerRuns is the number of attempts that may have run the request. In an answer it counts
	// those up to its head; afterwards the entry that has passed the request on retries it.
	headerRuns = "Fulmarcross-Runs"
	// headerCharged is set if the request has been charged to its team's limit.
	headerCharged = "Fulmarcross-Charged"
	// headerUnreached is set in an answer if the entry does not reach the service either,
	// so that the request has not run.
	headerUnreached = "Fulmarcross-Unreached"
)

// passed is what another entry says of a request that it passes on. The zero value is a
// client's own request.
type passed struct {
	on      bool
	runs    int
	charged bool
	// origin is the software that began the stream, as far as the other entry knows it.
	origin origin.Origin
}

type passedKey struct{}

// PassedOn returns the handler of requests that other entries pass on. They are not passed
// on again, so that none goes round.
func (s *Server) PassedOn() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs, err := strconv.Atoi(r.Header.Get(headerRuns))
		if err != nil || runs < 0 {
			w.WriteHeader(http.StatusBadRequest)

			return
		}

		p := passed{on: true, runs: runs, charged: r.Header.Get(headerCharged) != ""}

		if values := r.Header.Values(headerSoftware); len(values) == 1 {
			p.origin = origin.Of(instance.Software(values[0]))
		}

		for _, name := range []string{headerRuns, headerCharged, headerSoftware} {
			r.Header.Del(name)
		}

		s.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), passedKey{}, p)))
	})
}

func passedOf(ctx context.Context) passed {
	p, _ := ctx.Value(passedKey{}).(passed)

	return p
}

// cutOff reports whether this entry reaches no target of the request's service.
func (d *delivery) cutOff() bool { return d.Reach != nil && d.Reach.CutOff(d.service) }

// blamesSelf reports whether a connection to a target could not be opened because this
// entry is cut off, so that the failure says nothing about the target or the request.
func (d *delivery) blamesSelf(ctx context.Context) bool {
	return d.Reach != nil && d.Reach.Check(ctx, d.service)
}

// checkReach finds out whether connections that break before an answer are reset on their way, so
// that the next attempt is passed on.
func (d *delivery) checkReach(ctx context.Context) {
	if d.Reach != nil && ctx.Err() == nil && d.Reach.Silent(d.service) {
		d.Reach.Check(ctx, d.service)
	}
}

// passOnOnce passes the request on. It reports whether it may be passed on again.
func (d *delivery) passOnOnce(ctx context.Context) (again bool, err error) {
	err = d.passOn(ctx)
	if err == nil || !d.mayRetry(ctx, err) {
		return false, err
	}

	if retryErr := d.awaitRetry(ctx, err); retryErr != nil {
		return false, errors.Join(retryErr, err)
	}

	return true, nil
}

// passOn sends the request to another entry and forwards its answer.
//
// It guards against an entry that is partitioned from all targets while clients still reach
// it: its callers would be refused although any other entry could serve them.
func (d *delivery) passOn(ctx context.Context) error {
	d.passing = true

	if err := d.blocked(); err != nil {
		return err
	}

	if !d.passed.on {
		for _, nb := range d.Reach.Neighbours(d.service) {
			n := d.attemptLog.Begin()
			sent := time.Now()
			a, err := d.passTo(ctx, nb)

			switch {
			case provedNotSent(err), err == nil && a.Header.Get(headerUnreached) != "":
				d.attemptLog.Record(n, request.NotReached)
				d.Reach.Avoid(d.service, nb.ID)

				if a != nil {
					a.abandon()
				}

				continue
			case err != nil:
				d.countUnknownRuns()

				return err
			}

			d.Log.Info().Str("id", d.info.ID).Str("to", string(nb.ID)).Msg("request passed on")

			return d.deliverPassed(nb, n, a, sent)
		}
	}

	return request.Refuse(request.NoTarget, defaultRetryAfter, "no target of the service is reached from here")
}

// countUnknownRuns counts the runs of a neighbour that does not tell them any more. It may have used
// all attempts.
func (d *delivery) countUnknownRuns() { d.runs = max(d.runs+1, d.route.Attempts) }

// passTo sends the request to a neighbour and returns the head of its answer.
func (d *delivery) passTo(ctx context.Context, nb Neighbour) (*answer, error) {
	header := d.Protocol.Onward(d.r.Header, time.Until(d.deadline), d.lastEvent)
	header.Set(headerRuns, strconv.Itoa(d.runs))

	if d.charged {
		header.Set(headerCharged, "1")
	}

	if software, known := d.req.Origin.Known(); known {
		header.Set(headerSoftware, string(software))
	}

	c, err := d.dialNeighbour(ctx, nb)
	if err != nil {
		return nil, &DialError{Err: err}
	}

	stop := context.AfterFunc(ctx, func() { _ = c.Close() })

	a, err := c.roundTrip(&outgoing{
		method: d.r.Method, uri: d.r.RequestURI, host: d.r.Host, id: d.info.ID, header: header,
		body: d.body, hasBody: d.r.ContentLength != 0, onAnswer: func(answerHead) {},
	}, d.Protocol)
	if err != nil {
		stop()
		c.Close()

		return nil, err
	}

	a.pool, a.stop, a.Close = d.Pool, stop, true
	a.origin = originOfPassed(a)
	a.passedRuns, _ = strconv.Atoi(a.Header.Get(headerRuns)) // Entries of older software do not tell.
	a.Header.Del(headerRuns)

	return a, nil
}

// neighbourDialTimeout bounds how long a connection to another entry may take to open.
const neighbourDialTimeout = 300 * time.Millisecond

func (d *delivery) dialNeighbour(ctx context.Context, nb Neighbour) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, neighbourDialTimeout)
	defer cancel()

	nc, err := d.Pool.Open(ctx, nb.Address)
	if err != nil {
		return nil, err
	}

	return newConn(nc), nil
}

// deliverPassed forwards the answer of a neighbour: a target's answer, which is signed, as
// from a target, and the neighbour's own unchanged.
func (d *delivery) deliverPassed(nb Neighbour, n int, a *answer, sent time.Time) error {
	if a.info.Signed && d.route.Kind == route.Stream && a.StatusCode == http.StatusOK {
		d.runs = max(d.runs+1, a.passedRuns)

		return d.forwardStream(&router.Target{ID: nb.ID}, n, a, sent)
	}

	body, err := d.readAll(io.LimitReader(a.Body, maxAnswerBytes), a.ContentLength, &d.held.answer, &answerBound{})

	switch {
	case err != nil || len(body) == maxAnswerBytes || !a.framed():
		a.abandon()
		d.countUnknownRuns()

		return errors.Join(&InvalidAnswerError{Reason: "answer cut short"}, err)
	case d.headSent:
		a.abandon()

		return &FailedError{Target: nb.ID, Status: a.StatusCode}
	}

	a.release()
	d.attemptLog.Record(n, passedOutcome(a))

	if passedOutcome(a) == request.ProvedNotRun && d.attemptLog.Run() != request.NotRun {
		return &FailedError{Target: nb.ID, Status: a.StatusCode} // It knows nothing of the runs before.
	}

	if a.info.Signed {
		d.firstByte = time.Since(d.arrived)
	}

	whole := &bufferedAnswer{status: a.StatusCode, header: d.Protocol.Incoming(a.Header), body: body}

	return whole.write(d)
}

// passedOutcome returns what an answer of a neighbour says of the request. Its own refusals
// promise that the request has not run.
func passedOutcome(a *answer) request.Outcome {
	switch {
	case a.info.Signed:
		return request.Completed
	case a.StatusCode == http.StatusBadGateway || a.StatusCode == http.StatusGatewayTimeout:
		return request.Unanswered
	}

	return request.ProvedNotRun
}

// pauses returns the count of the target's pauses. Those of a neighbour say nothing about
// a target.
func (d *delivery) pauses(t *router.Target) *dispatch.Pauses {
	if d.passing {
		return &dispatch.Pauses{}
	}

	return d.Dispatcher.Pauses(t, d.req.Model)
}
