package node

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/freshness"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// Greet implements news.Handler.
func (n *Node) Greet(g news.Greeting) news.Greeting { return n.peers.answerGossip(g) }

// Hear implements news.Handler.
func (n *Node) Hear(d holder.Delta) holder.Version {
	n.mu.Lock()
	latest, ok := n.holderHistory.Apply(d)
	n.mu.Unlock()

	if ok && n.holder.Receive(latest) {
		n.applyHolderState(latest)
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	return n.holderState.Version()
}

func (n *Node) applyHolderState(latest holder.Snapshot) {
	n.mu.Lock()

	n.holderReceived = time.Now()
	if n.holderState.Token != latest.Token {
		n.termHeardAt = n.holderReceived
		n.cfg.Log.Info().Str("holder", string(latest.Holder)).Uint64("token", latest.Token).Msg("new lease term")
	}

	if latest.Holder == n.cfg.Self {
		n.holderHistory.Publish(latest, n.holderReceived)
	} else {
		n.holderHistory.Receive(latest, n.holderReceived)
		n.recordHolderStoreAge(latest.StoreAge, n.holderReceived)
	}

	n.holderState = n.holderHistory.Snapshot()

	behind := n.listVersion < latest.ListVersion
	n.mu.Unlock()
	signal(n.routingChanged)

	if behind {
		signal(n.refreshList)
		signal(n.listAnnounced)
	}

	n.hearConfig(freshness.Evidence{Version: latest.ConfigVersion}, latest.Holder)
}

// publish adds the versions of the configuration and the list to this holder's
// snapshot, applies it and sends it to all peers.
func (n *Node) publish(latest holder.Snapshot) {
	if c := n.config(); c != nil {
		latest.ConfigVersion = c.Version
	}

	n.mu.Lock()
	latest.ListVersion = n.usableVersion
	latest.StoreAge = time.Since(n.storeAsOf())
	latest.StoreFails = n.configReadsFail.Load() || n.targetReadsFail.Load()
	n.mu.Unlock()

	n.applyHolderState(latest)
	n.peers.notifyAll()
}

// deltaSince returns the changes since a peer's version, or since the previous
// version if the peer's is unknown. It reports false unless the latest snapshot
// is this process's own.
func (n *Node) deltaSince(version holder.Version, versionKnown bool) (holder.Delta, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.holderState.Holder != n.cfg.Self || n.holderState.Process != n.process {
		return holder.Delta{}, false
	}

	if !versionKnown {
		version = n.holderHistory.PreviousVersion()
	}

	return n.holderHistory.Since(version), true
}

// storeAsOf returns a time at which this entry had missed no change in the store. The
// caller holds the lock.
func (n *Node) storeAsOf() time.Time { return clock.Earlier(n.configAsOf, n.targetsAsOf) }

// Report implements news.Handler.
func (n *Node) Report(r demand.Report, missing []holder.Missing) (news.HolderKnowledge, error) {
	if err := n.holder.Report(r, missing); err != nil {
		return news.HolderKnowledge{}, err
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	return news.HolderKnowledge{Config: n.knowledge.Evidence(), StoreAsOf: n.storeAsOf(), List: n.usableVersion}, nil
}

// hearHolder applies what the holder said of its knowledge in answer to a report.
func (n *Node) hearHolder(k news.HolderKnowledge, from instance.ID) {
	n.mu.Lock()
	if from == n.holderState.Holder {
		n.holderAsOf = clock.Later(n.holderAsOf, k.StoreAsOf)
	}

	behind := n.listVersion < k.List
	n.mu.Unlock()

	if behind {
		signal(n.refreshList)
	}

	n.hearConfig(k.Config, from)
}

const (
	// reportInterval is the time between two reports when no new requests are
	// queued.
	reportInterval = 400 * time.Millisecond
	// reportDelay is how long a report waits for further requests.
	reportDelay = 3 * time.Millisecond
	// idleReportDelay, times the number of alive entries, is how long a report
	// waits when it only reports that a replica has become idle: all entries
	// together make at most 200 such reports a second.
	idleReportDelay = 5 * time.Millisecond
)

// report sends the holder the models that this entry's requests wait for and
// run on.
func (n *Node) report(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()

	var idle <-chan time.Time

	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reportIdle:
			if idle == nil {
				idle = time.After(time.Duration(n.aliveEntries()) * idleReportDelay)
			}

			continue
		case <-idle:
		case <-n.reportSoon:
			_ = clock.Sleep(ctx, reportDelay)
		case <-t.C:
		}

		idle = nil

		n.reportOnce(ctx)
	}
}

func (n *Node) reportOnce(ctx context.Context) {
	n.reportResumed(ctx)

	waiting, uses := n.dispatcher.Report(0)
	r := demand.Report{Entry: n.cfg.Self, Process: n.process, Waiting: waiting, Uses: uses}

	for id, left := range n.rests.Left(time.Now()) {
		r.Resting = append(r.Resting, demand.Rest{Target: id, Left: left})
	}

	n.mu.Lock()
	missing := n.unreportedMissing
	n.unreportedMissing = nil
	n.mu.Unlock()

	n.tellHolder(func() error { return n.holder.Report(r, missing) }, func(q *peer) {
		k, err := q.client.Report(ctx, r, missing)

		switch {
		case err == nil:
			n.hearHolder(k, q.ID)
		case ctx.Err() == nil:
			n.cfg.Log.Debug().Err(err).Str("holder", string(q.ID)).Msg("cannot send report to holder")
		}
	})
}

// tellHolder calls here if this entry holds the lease. Otherwise it calls there, which may
// take a while, in the background for the lease holder, if one is known.
func (n *Node) tellHolder(here func() error, there func(*peer)) {
	if n.holder.Holding() {
		_ = here() // If it just lost the lease, the next report goes to the new holder.

		return
	}

	if q := n.peers.connection(n.holder.LastHolder()); q != nil {
		go there(q)
	}
}
