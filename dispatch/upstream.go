package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

const (
	// stallTimeout is how long an upstream with requests in progress may send nothing
	// before it counts as degraded. Engines send an event about every 30 ms on each
	// stream.
	stallTimeout = 400 * time.Millisecond
	// fullBackoff is how long an upstream that reported itself full gets no requests.
	// It is about the expected wait for the next completion on 8 slots with requests
	// of one second.
	fullBackoff = 60 * time.Millisecond
	// connectBackoff and connectBackoffMax bound the exponential backoff after failed
	// connections.
	connectBackoff    = 300 * time.Millisecond
	connectBackoffMax = 2 * time.Second
	// degradeAfterBroken is the number of consecutive broken answers after which an
	// upstream is degraded. An upstream that breaks 1 answer in 20 reaches it once in
	// 8,000 requests.
	degradeAfterBroken = 3
	// degradedPeriod is how long a degraded upstream is used only as a last resort.
	degradedPeriod = time.Second
)

// upstreamState holds the local grants on an upstream and its observed health.
type upstreamState struct {
	key                   Key
	started               int64
	online                int // grants of class Online
	batch                 int // grants of class Batch
	preempting            int // batch grants that have been preempted and not yet released
	grants                map[*Grant]struct{}
	lastProgress          atomic.Pointer[time.Time] // time of the last received bytes; written without Dispatcher.mu
	answeredSinceEjection atomic.Bool               // an answer has started since the last ejection; written without Dispatcher.mu
	work                  atomic.Uint64             // see speed.Counter; written without Dispatcher.mu, as workTime is
	workTime              atomic.Int64              // nanoseconds
	streams               atomic.Bool               // events have been counted, so calls without a stream are not
	speed                 float64                   // relative to the service's mean; 0 before the first estimate
	health
}

// health is the health of one incarnation, derived from the outcomes of grants.
type health struct {
	brokenInRow          int       // in a row
	connectFailuresInRow int       // in a row
	unavailableUntil     time.Time // excluded from placement until then
	degradedUntil        time.Time // used only as a last resort until then
	recentOutcomes       outcomeCounter
	lastBrokenReport     time.Time // when any gateway last reported a broken answer
	ejection             ejection
}

// record updates the health with the outcome of a grant.
func (e *health) record(outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		e.brokenInRow, e.connectFailuresInRow = 0, 0
		e.degradedUntil = time.Time{}
	case Full:
		e.excludeUntil(now.Add(fullBackoff))
	case ConnectFailed:
		e.excludeUntil(now.Add(min(connectBackoff<<min(e.connectFailuresInRow, 4), connectBackoffMax)))
		e.connectFailuresInRow++
	case Broken:
		e.brokenInRow++
		if e.brokenInRow >= degradeAfterBroken {
			e.degradedUntil = now.Add(degradedPeriod)
		}
	}
}

func (e *health) excludeUntil(until time.Time) {
	if until.After(e.unavailableUntil) {
		e.unavailableUntil = until
	}
}

// stateName returns the health state as shown in the log: closed means unavailable,
// doubtful means degraded, and sound means healthy.
func (e *health) stateName(now time.Time) string {
	switch {
	case e.unavailableUntil.After(now):
		return "closed"
	case e.degradedUntil.After(now):
		return "doubtful"
	}
	return "sound"
}

// stalled reports whether requests are in progress but nothing has been received
// for stallTimeout.
func (u *upstreamState) stalled(now time.Time) bool {
	if last := u.lastProgress.Load(); last != nil && now.Sub(*last) <= stallTimeout {
		return false
	}
	for g := range u.grants {
		if now.Sub(g.grantedAt) > stallTimeout {
			return true
		}
	}
	return false
}

// newestBatchGrant returns the batch grant that was granted last and has not been
// preempted, so that preemption loses the least work.
func (u *upstreamState) newestBatchGrant() *Grant {
	var newest *Grant
	for g := range u.grants {
		if g.class != Batch || g.preemptSent {
			continue
		}
		if newest == nil || g.grantedAt.After(newest.grantedAt) {
			newest = g
		}
	}
	return newest
}

// Grant is the right to use one slot of an upstream. It must be released; only the
// first release counts.
type Grant struct {
	Upstream *fleet.Upstream

	dispatcher  *Dispatcher
	state       *upstreamState
	class       Class
	grantedAt   time.Time
	preempted   chan struct{}
	preemptSent bool         // the preempted channel is closed
	share       *share       // of the caller's organisation; nil for batch items
	probe       bool         // tests whether an ejected upstream has recovered
	firstByte   atomic.Int64 // time from the grant to the first Progress, in nanoseconds; 0 before it
	lastEvent   atomic.Int64 // the same for the last Progress
	unmeasured  bool         // see Delivered and Unmeasured
}

// newGrant allocates a slot of an upstream. d.mu must be held.
func (d *Dispatcher) newGrant(u *fleet.Upstream, class Class, now time.Time) *Grant {
	s := d.upstreamFor(u)
	g := &Grant{Upstream: u, dispatcher: d, state: s, class: class, grantedAt: now, preempted: make(chan struct{}),
		probe: s.stage(now) == probation}
	g.state.grants[g] = struct{}{}
	*g.state.classCount(class)++
	return g
}

func (u *upstreamState) classCount(class Class) *int {
	if class == Online {
		return &u.online
	}
	return &u.batch
}

// Preempted returns a channel that is closed when a batch grant is preempted.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// preempt signals the holder of a batch grant to release it.
// Dispatcher.mu must be held.
func (g *Grant) preempt() {
	g.preemptSent = true
	g.state.preempting++
	close(g.preempted)
}

// Progress records that bytes of an answer were received. It takes no lock, because
// it is called for each event.
func (g *Grant) Progress() {
	now := time.Now()
	g.state.lastProgress.Store(&now)
	since := int64(now.Sub(g.grantedAt))
	if g.firstByte.Load() == 0 {
		g.firstByte.Store(since)
	}
	if last := g.lastEvent.Swap(since); !g.unmeasured {
		g.state.countEvent(last, since)
	}
	if g.probe {
		g.state.answeredSinceEjection.Store(true)
	}
}

// MarkLeaving records that the upstream has said that it shuts down, so that it gets no
// new requests whatever the list says.
func (g *Grant) MarkLeaving() {
	if g.dispatcher.cfg.Holder.MarkLeaving(g.Upstream, time.Now()) {
		g.dispatcher.cfg.Log.Info().Str("upstream", g.Upstream.ID).Str("service", g.Upstream.Service).Msg("upstream says that it leaves")
	}
}

// Release returns the slot and records the outcome in the upstream's health.
func (g *Grant) Release(outcome Outcome) {
	d, s, now := g.dispatcher, g.state, time.Now()
	d.mu.Lock()
	if _, held := s.grants[g]; !held {
		d.mu.Unlock()
		return
	}
	delete(s.grants, g)
	*s.classCount(g.class)--
	if g.preemptSent {
		s.preempting--
	}
	before := s.stateName(now)
	s.record(outcome, now)
	if !g.grantedAt.Before(s.ejection.began) { // answers started before the ejection do not count again
		s.recentOutcomes.record(outcome, now)
	}
	after, broken, connectFailures := s.stateName(now), s.brokenInRow, s.connectFailuresInRow
	q := d.queue(g.Upstream.Service)
	if g.class == Online {
		g.share.inProgress--
		q.startQuota++ // this slot is known to be free without waiting for reports
	}
	if outcome == Served {
		s.countCall(g)
	}
	if outcome == Served && g.class == Online {
		q.recordServed(now.Sub(g.grantedAt), time.Duration(g.firstByte.Load()))
	}
	waiting := q.waiters.Len() > 0
	// Another gateway takes the slot, at once if requests of organisations contend.
	urgent := outcome == Broken || g.class == Online && !waiting && d.tellsContention(q) && d.waitingAtPeers(g.Upstream.Service) > 0
	var ejections []ejectionEvent
	if outcome == Broken {
		ejections = d.evaluateEjections(now)
	}
	d.mu.Unlock()
	d.logEjections(ejections)
	if after != before && outcome != Full {
		d.cfg.Log.Info().Str("upstream", g.Upstream.ID).Str("from", before).Str("to", after).
			Int("broken_in_row", broken).Int("refused_in_row", connectFailures).Msg("upstream health changed")
	}
	if waiting {
		d.serve(g.Upstream.Service, now)
	}
	d.wakeBatch()
	d.notifyChange(urgent) // other gateways keep sending to the upstream until they learn of it
}
