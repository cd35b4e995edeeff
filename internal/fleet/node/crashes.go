package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// crashJudges is the number of entries that are told of deaths. Each of them decides by
	// itself; several, so that none is missed when one of them ends.
	crashJudges = 3
	// maxTestimonies bounds the deaths of which this entry remembers what it observed, for
	// entries that become judges later.
	maxTestimonies = 64
	// blocksInterval is the time between two messages to a random peer while anything is
	// blocked. They reach entries that have joined or missed the block.
	blocksInterval = 1500 * time.Millisecond
	// testimonyRetry is the time after which judges that did not answer are told again.
	testimonyRetry = 250 * time.Millisecond
	// confirmUptime is how long an entry must have run to convict, and confirmTries and
	// confirmRetry how often and at what intervals it asks others.
	confirmUptime = 3 * time.Second
	confirmTries  = 4
	confirmRetry  = 300 * time.Millisecond
	// quietInterval is the time between two searches for targets that have fallen silent.
	quietInterval = 25 * time.Millisecond
	// testimonySpacing lets the failures of one death be told together.
	testimonySpacing = 10 * time.Millisecond
)

// crashes tells other entries of deaths and of what causes them. Set node and untold before
// use.
type crashes struct {
	node *Node
	// untold signals that a judge has not been told something.
	untold chan struct{}

	mu sync.Mutex
	// testimonies are what this entry has observed, in the order in which they were last
	// changed.
	testimonies []numberedTestimony
	last        uint64
	// told are the numbers of the testimonies up to which the judges were told, by their
	// processes.
	told map[judgeProcess]uint64
	// probes are the probes that this entry has granted of what is blocked, and asked when it
	// last asked the entry that grants them.
	probes map[request.Fingerprint]crash.Probes
	asked  map[request.Fingerprint]time.Time
	// alone is when a probe that only the fingerprint blocks was last asked for here, and shared
	// when one was first that something else blocks too.
	alone, shared map[request.Fingerprint]time.Time
	// announced are the fingerprints of which this entry has told others that they are
	// blocked.
	announced map[request.Fingerprint]bool
	// weighed are the fingerprints of which this entry is finding out whether they are to be
	// restricted, true for those that have become due once more meanwhile.
	weighed map[request.Fingerprint]bool
}

type numberedTestimony struct {
	crash.Testimony

	number uint64
}

type judgeProcess struct {
	id      instance.ID
	process string
}

// observe keeps what this entry has observed of a death and has it told to the judges.
func (c *crashes) observe(t crash.Testimony) {
	c.mu.Lock()
	c.last++
	c.testimonies = slices.DeleteFunc(c.testimonies, func(old numberedTestimony) bool { return old.Death == t.Death })

	if len(c.testimonies) >= maxTestimonies {
		c.testimonies = slices.Delete(c.testimonies, 0, 1)
	}

	c.testimonies = append(c.testimonies, numberedTestimony{t, c.last})
	c.mu.Unlock()
	signal(c.untold)
}

// untoldTo returns what the judge has not been told, and the number of the last of it.
func (c *crashes) untoldTo(judge judgeProcess) ([]crash.Testimony, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	var out []crash.Testimony

	for _, t := range c.testimonies {
		if t.number > c.told[judge] {
			out = append(out, t.Testimony)
		}
	}

	return out, c.last
}

func (c *crashes) recordTold(judge judgeProcess, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.told == nil {
		c.told = make(map[judgeProcess]uint64)
	}

	c.told[judge] = max(c.told[judge], number)
}

// run tells the judges of deaths, and other entries of blocks, until ctx ends.
func (c *crashes) run(ctx context.Context) {
	go c.learnStored(ctx)

	blocks := time.NewTicker(jitter(blocksInterval))
	defer blocks.Stop()

	quiet := time.NewTicker(quietInterval)
	defer quiet.Stop()

	for ctx.Err() == nil {
		retry := time.NewTimer(time.Hour)
		if c.anyUntold() {
			retry.Reset(testimonyRetry)
		}

		select {
		case <-ctx.Done():
		case <-c.untold:
			_ = clock.Sleep(ctx, testimonySpacing) // The loop checks ctx.
			c.tellJudges(ctx)
		case <-retry.C:
			c.tellJudges(ctx)
		case <-blocks.C:
			c.repeatBlocks(ctx)
		case <-quiet.C:
			c.node.relay.CheckQuiet()
		}

		retry.Stop()
	}
}

// judges returns the peers that judge. This entry may be one more of them.
func (c *crashes) judges() []membership.Member {
	out := strongest(append(c.node.peers.alive(), c.node.peers.self()), crashJudges)

	return slices.DeleteFunc(out, func(m membership.Member) bool { return m.ID == c.node.cfg.Self })
}

// anyUntold reports whether a judge has not been told something.
func (c *crashes) anyUntold() bool {
	c.mu.Lock()
	none := len(c.testimonies) == 0
	c.mu.Unlock()

	if none {
		return false
	}

	return slices.ContainsFunc(c.judges(), func(m membership.Member) bool {
		untold, _ := c.untoldTo(judgeProcess{m.ID, m.Process})

		return len(untold) > 0
	})
}

// tellJudges tells all judges what they have not been told.
func (c *crashes) tellJudges(ctx context.Context) {
	var wg sync.WaitGroup

	for _, m := range c.judges() {
		judge := judgeProcess{m.ID, m.Process}

		untold, last := c.untoldTo(judge)
		if len(untold) == 0 {
			continue
		}

		wg.Go(func() {
			c.node.callPeer(ctx, m.ID, "testimony", func(ctx context.Context, p *peer) error {
				err := p.client.Testify(ctx, untold)
				if err == nil {
					c.recordTold(judge, last)
				}

				return err
			})
		})
	}

	wg.Wait()
}

// repeatBlocks sends all blocks to a random peer.
func (c *crashes) repeatBlocks(ctx context.Context) {
	blocks := c.node.dispatcher.Crashes.Blocks()
	if len(blocks) == 0 {
		return
	}

	for _, id := range c.node.peers.sample(1) {
		go c.node.callPeer(ctx, id, "blocks", func(ctx context.Context, p *peer) error { return c.sendBlocks(ctx, p, blocks) })
	}
}

// sendBlocks sends blocks to a peer, and ends those that it knows to be unfounded.
func (c *crashes) sendBlocks(ctx context.Context, p *peer, blocks []crash.Block) error {
	sound, err := p.client.Block(ctx, blocks)

	for i, at := range sound[:min(len(sound), len(blocks))] {
		if !at.IsZero() {
			c.node.dispatcher.Crashes.RecordSound(blocks[i].Fingerprint, at)
		}
	}

	return err
}

// confirm asks all entries what they know against a conviction, and blocks the fingerprint
// everywhere if it stands. An entry that has just started knows neither what has run soundly
// nor whom to ask.
func (c *crashes) confirm(ctx context.Context, fp request.Fingerprint) {
	if _, deaths, convicted := c.node.dispatcher.Crashes.Conviction(fp); convicted {
		c.node.cfg.Log.Info().Uint64("fingerprint", uint64(fp)).Uint8("scope", uint8(fp.Scope())).Any("targets", targetsOf(deaths)).Msg("request may crash targets, others are asked")
	}

	if clock.Sleep(ctx, confirmUptime-time.Since(c.node.started)) != nil {
		return
	}

	for range confirmTries {
		if c.inquire(fp) {
			c.announce(fp)

			return
		}

		if clock.Sleep(ctx, confirmRetry) != nil {
			return
		}
	}
}

// inquire asks all entries what they know against a conviction. It reports false if fewer than
// half of them answered.
func (c *crashes) inquire(fp request.Fingerprint) bool {
	_, deaths, convicted := c.node.dispatcher.Crashes.Conviction(fp)
	if !convicted {
		return true
	}

	var asked, answered atomic.Int64

	q := news.Inquiry{Fingerprints: []request.Fingerprint{fp}, Deaths: deaths}

	c.node.informAll(func(ctx context.Context, p *peer) error {
		asked.Add(1)

		f, err := p.client.Inquire(ctx, q)
		if err == nil {
			answered.Add(1)
			c.hearFindings(q, f)
		}

		return err
	})

	return 2*answered.Load() >= asked.Load() //nolint:mnd // Half of them.
}

// announce blocks a fingerprint everywhere, if it is still convicted.
func (c *crashes) announce(fp request.Fingerprint) {
	own := &c.node.dispatcher.Crashes

	block, deaths, convicted := own.Conviction(fp)
	if !convicted {
		c.node.cfg.Log.Info().Uint64("fingerprint", uint64(fp)).Msg("request does not crash targets, another entry says")

		return
	}

	if isShared(fp) && c.byChance(fp) {
		c.node.cfg.Log.Info().Uint64("fingerprint", uint64(fp)).Msg("request is on the targets by chance")

		return // It is restricted if it does not run soundly any more.
	}

	own.Confirm(fp)
	c.recordAnnounced(fp)
	c.node.cfg.Log.Warn().Uint64("fingerprint", uint64(fp)).Uint8("scope", uint8(fp.Scope())).Any("targets", targetsOf(deaths)).Msg("request crashes targets")
	c.tellBlock(block)
}

// recordAnnounced records that others are told that a fingerprint is blocked.
func (c *crashes) recordAnnounced(fp request.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.announced == nil {
		c.announced = make(map[request.Fingerprint]bool)
	}

	c.announced[fp] = true
}

// takeAnnounced reports whether others were told that a fingerprint is blocked, once.
func (c *crashes) takeAnnounced(fp request.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	announced := c.announced[fp]
	delete(c.announced, fp)

	return announced
}

// reverse tells all entries that this one does not find any more that a fingerprint crashes
// targets.
func (c *crashes) reverse(fp request.Fingerprint) {
	if !c.takeAnnounced(fp) {
		return
	}

	c.node.cfg.Log.Info().Uint64("fingerprint", uint64(fp)).Msg("request no longer blocked, something else explains the deaths")
	c.node.informAll(func(ctx context.Context, p *peer) error { return p.client.Lift(ctx, fp) })
	c.removeStored(c.node.workCtx, func(b crash.Block) bool { return b.Fingerprint == fp && !b.Restricted && !b.Recurring })
}

// hearFindings applies what a peer knows against a conviction.
func (c *crashes) hearFindings(q news.Inquiry, e news.Findings) {
	own := &c.node.dispatcher.Crashes

	for i, at := range e.SoundAt[:min(len(e.SoundAt), len(q.Fingerprints))] {
		if !at.IsZero() {
			own.RecordSound(q.Fingerprints[i], at)
		}
	}

	for i, at := range e.HeardAt[:min(len(e.HeardAt), len(q.Deaths))] {
		if !at.IsZero() {
			own.Retract(q.Deaths[i], at)
		}
	}
}

// acquit tells all entries that a request with a blocked fingerprint has run soundly.
func (c *crashes) acquit(fp request.Fingerprint, at time.Time) {
	c.node.cfg.Log.Info().Uint64("fingerprint", uint64(fp)).Msg("request no longer blocked, a target has answered it")
	c.forgetProbes(fp)
	c.node.informAll(func(ctx context.Context, p *peer) error { return p.client.Acquit(ctx, fp, at) })
	c.removeStored(c.node.workCtx, func(b crash.Block) bool { return b.Fingerprint == fp })
}

func targetsOf(deaths []crash.Death) []string {
	out := make([]string, len(deaths))
	for i, d := range deaths {
		out[i] = string(d.Target)
	}

	return out
}

// proveReplaced proves the deaths of processes whose targets are listed with another
// process now, and of those that have fallen silent and are not listed any more.
func (c *crashes) proveReplaced(before, now map[instance.ID]inventory.Target) {
	for id, t := range before {
		next, listed := now[id]
		switch {
		case !listed:
			c.node.dispatcher.Crashes.ProveIfSilent(crash.Death(processOf(t)))
		case next.StartedMs != t.StartedMs:
			c.node.dispatcher.Crashes.Prove(crash.Death(processOf(t)))
		}
	}
}

// broadcastNotice tells all peers what crashes targets.
func (n *Node) broadcastNotice(notice dispatch.Notice) {
	if notice.Poisoned != 0 {
		go n.crashes.confirm(n.workCtx, notice.Poisoned)
	}
}

// Testify implements news.Handler.
func (n *Node) Testify(t crash.Testimony) { n.dispatcher.Crashes.Testify(t) }

// Inquire implements news.Handler.
func (n *Node) Inquire(q news.Inquiry) news.Findings {
	e := news.Findings{SoundAt: make([]time.Time, len(q.Fingerprints)), HeardAt: make([]time.Time, len(q.Deaths))}

	for i, fp := range q.Fingerprints {
		e.SoundAt[i], _ = n.dispatcher.Crashes.LastSound(fp)
	}

	for i, d := range q.Deaths {
		e.HeardAt[i], _ = n.dispatcher.Crashes.HeardAt(d)
	}

	return e
}

// Block implements news.Handler.
func (n *Node) Block(blocks []crash.Block) []time.Time {
	out := make([]time.Time, len(blocks))

	for i, b := range blocks {
		if !n.dispatcher.Crashes.Block(b) {
			out[i], _ = n.dispatcher.Crashes.LastSound(b.Fingerprint)
		}
	}

	return out
}

// Lift implements news.Handler.
func (n *Node) Lift(fp request.Fingerprint) { n.dispatcher.Crashes.Lift(fp) }

// Acquit implements news.Handler.
func (n *Node) Acquit(fp request.Fingerprint, at time.Time) {
	n.crashes.forgetProbes(fp)
	n.dispatcher.Crashes.RecordSound(fp, at)
}

// informAll calls all peers that are alive at once, and waits for them.
func (n *Node) informAll(call func(context.Context, *peer) error) {
	var wg sync.WaitGroup

	for _, m := range n.peers.alive() {
		wg.Go(func() { n.callPeer(n.workCtx, m.ID, "crashes", call) })
	}

	wg.Wait()
}
