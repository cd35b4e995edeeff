package node

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// Greet implements news.Handler.
func (n *Node) Greet(g news.Greeting) news.Greeting { return n.peers.answer(g) }

// Hear implements news.Handler.
func (n *Node) Hear(d holder.Delta) holder.Version {
	n.mu.Lock()
	latest, ok := n.history.Apply(d)
	n.mu.Unlock()

	if ok && n.holder.Receive(latest) {
		n.takeNews(latest)
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	return n.news.Version()
}

func (n *Node) takeNews(latest holder.Snapshot) {
	n.mu.Lock()
	if n.news.Token != latest.Token {
		n.cfg.Log.Info().Str("holder", string(latest.Holder)).Uint64("token", latest.Token).Msg("holder heard")
	}

	n.heard = time.Now()
	if latest.Holder == n.cfg.Self {
		n.history.Publish(latest, n.heard)
	} else {
		n.history.Receive(latest, n.heard)
		n.noteStore(latest.StoreAge, n.heard)
	}

	n.news = n.history.Snapshot()

	behind := n.list < latest.ListVersion
	n.mu.Unlock()
	poke(n.changed)

	if behind {
		poke(n.listBehind)
		poke(n.listTold)
	}

	if c := n.config(); c == nil && latest.ConfigVersion > 0 || c != nil && c.Version < latest.ConfigVersion {
		poke(n.configBehind)
		poke(n.configTold)
	}
}

// publish hands this holder's news to everybody.
func (n *Node) publish(latest holder.Snapshot) {
	if c := n.config(); c != nil {
		latest.ConfigVersion = c.Version
	}

	n.mu.Lock()
	latest.ListVersion = n.usable
	latest.StoreAge = time.Since(clock.Earlier(n.lookedConfig, n.lookedTargets))
	n.mu.Unlock()

	n.takeNews(latest)
	n.peers.publish()
}

// newsSince returns what is new to a peer that has these news, or of which that
// is not known. It reports false unless the newest are this entry's own.
func (n *Node) newsSince(has holder.Version, known bool) (holder.Delta, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.news.Holder != n.cfg.Self || n.news.Process != n.process {
		return holder.Delta{}, false
	}

	if !known {
		has = n.history.PreviousVersion()
	}

	return n.history.Since(has), true
}

// Report implements news.Handler.
func (n *Node) Report(r demand.Report, missing []holder.Missing) error {
	return n.holder.Report(r, missing)
}

// Block implements news.Handler.
func (n *Node) Block(fp request.Fingerprint) { n.lines.Block(fp) }

// noticed spreads what was found on a request's path.
func (n *Node) noticed(notice dispatch.Notice) {
	if notice.Poisoned == 0 {
		return
	}

	n.cfg.Log.Warn().Uint64("fingerprint", uint64(notice.Poisoned)).Msg("request crashes targets")

	for _, m := range n.peers.alive() {
		go func() {
			if q := n.peers.of(m.ID); q != nil {
				// A peer that does not hear it finds out by itself.
				_ = q.client.Block(n.work, notice.Poisoned)
			}
		}()
	}
}

const (
	// reportEvery is how often an entry reports when nothing new waits.
	reportEvery = 400 * time.Millisecond
	// gather is how long a report waits for further requests.
	gather = 3 * time.Millisecond
	// idlePace is how long a report waits, for each entry that there is, when all
	// that it tells is that a replica has fallen idle. All entries together make
	// 200 such reports a second at most.
	idlePace = 5 * time.Millisecond
)

// report tells the holder what this entry's requests wait for and run on.
func (n *Node) report(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()

	var idle <-chan time.Time

	for {
		select {
		case <-ctx.Done():
			return
		case <-n.idled:
			if idle == nil {
				idle = time.After(time.Duration(n.entries()) * idlePace)
			}

			continue
		case <-idle:
		case <-n.asked:
			_ = clock.Sleep(ctx, gather)
		case <-t.C:
		}

		idle = nil

		n.reportOnce(ctx)
	}
}

func (n *Node) reportOnce(ctx context.Context) {
	waiting, uses := n.lines.Report(0)
	r := demand.Report{Entry: n.cfg.Self, Process: n.process, Waiting: waiting, Uses: uses}

	n.mu.Lock()
	missing := n.missing
	n.missing = nil
	n.mu.Unlock()

	if n.holder.Holding() {
		_ = n.holder.Report(r, missing) // It may just have lost the lease, then the next report goes elsewhere.

		return
	}

	q := n.peers.of(n.holder.LastHolder())
	if q == nil {
		return
	}

	go func() {
		if err := q.client.Report(ctx, r, missing); err != nil && ctx.Err() == nil {
			n.cfg.Log.Debug().Err(err).Str("holder", string(q.ID)).Msg("report not taken")
		}
	}()
}
