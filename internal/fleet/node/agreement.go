package node

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

// agree asks all entries, without the store, which software alone can have begun a stream of the
// service. Callers at the same time share the question.
//
// Entries that are cut off from the store do not know of newer software that others use, and
// several of them that hear each other agree. So every entry that is known must say the same; one
// that does not answer may be in touch with the store.
func (o *origins) agree(service string) <-chan singleflight.Result {
	return o.agreements.DoChan(service, func() (any, error) {
		ctx, cancel := context.WithTimeout(o.node.workCtx, findTimeout)
		defer cancel()

		return o.askAll(ctx, service), nil
	})
}

// awaitAgreement returns what all entries agree on, or that it is unknown.
func awaitAgreement(ctx context.Context, agreed <-chan singleflight.Result) origin.Origin {
	select {
	case r := <-agreed:
		if o, ok := r.Val.(origin.Origin); ok {
			return o
		}
	case <-ctx.Done():
	}

	return origin.Unknown()
}

// disagreementError says that an entry does not take the same software for the only one, or does not
// answer.
type disagreementError struct{ Entry instance.ID }

func (e *disagreementError) Error() string { return fmt.Sprintf("entry %s does not agree", e.Entry) }

// askAll returns what this entry and all others take for the only software of a service, and that
// it is unknown if they differ, if one does not answer or if there are no others.
func (o *origins) askAll(ctx context.Context, service string) origin.Origin {
	own, others := o.histories.alone(service, o.listed()[service]), o.others()
	if _, known := own.Known(); !known || len(others) == 0 {
		return origin.Unknown()
	}

	g, ctx := errgroup.WithContext(ctx)

	for _, id := range others {
		g.Go(func() error {
			if !o.says(ctx, id, service, own) {
				return &disagreementError{Entry: id}
			}

			return nil
		})
	}

	if err := g.Wait(); err != nil {
		o.node.cfg.Log.Debug().Err(err).Str("service", service).Msg("software not known without the store")

		return origin.Unknown()
	}

	return own
}

// others returns the other entries that may be running, whether they are heard or not.
func (o *origins) others() []instance.ID {
	var out []instance.ID

	for _, m := range o.node.peers.all() {
		if !m.Leaving {
			out = append(out, m.ID)
		}
	}

	return out
}

// says reports whether an entry takes the same software for the only one of a service.
func (o *origins) says(ctx context.Context, id instance.ID, service string, own origin.Origin) bool {
	same := false

	o.node.callPeer(ctx, id, "agreement", func(ctx context.Context, p *peer) error {
		a, err := p.client.FindOrigin(ctx, service, 0)
		same = err == nil && a.Alone == own

		return err
	})

	return same
}
