package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

const (
	// stallTimeout: an upstream with work in progress that sends nothing for this
	// long is doubtful. Engines send an event about every 30 ms on each stream.
	stallTimeout = 400 * time.Millisecond
	// fullBackoff keeps requests from an upstream that said it is full, for about
	// the time between two ends of requests on 8 slots of a second each.
	fullBackoff = 60 * time.Millisecond
	// connectBackoff and refusedPauseMax bound the pause after a failed connection.
	connectBackoff    = 300 * time.Millisecond
	connectBackoffMax = 2 * time.Second
	// degradeAfterBroken: this many answers broken in a row make an upstream doubtful.
	// A faulty upstream that breaks 1 answer in 20 reaches it once in 8,000 requests.
	degradeAfterBroken = 3
	// degradedPeriod is how long a doubtful upstream is used as a last resort only.
	degradedPeriod = time.Second
)

// upstreamState is the own work on an upstreamState and what its answers told.
type upstreamState struct {
	key                   Key
	started               int64
	online                int // grants of class Online
	batch                 int // grants of class Batch
	preempting            int // of batch: those told to give way
	grants                map[*Grant]struct{}
	lastProgress          atomic.Pointer[time.Time] // when bytes last arrived; written without the lock
	answeredSinceEjection atomic.Bool               // an answer has begun since the last ejection; written without the lock
	health
}

// health is what the ends of grants tell of one incarnation.
type health struct {
	brokenInRow          int       // in a row
	connectFailuresInRow int       // in a row
	unavailableUntil     time.Time // not used until then
	degradedUntil        time.Time // used as a last resort until then
	recentOutcomes       outcomeCounter
	lastBrokenReport     time.Time // when a gateway last told of a broken answer
	ejection             ejection
}

// record takes the end of a grant into account.
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

// stateName names what placement makes of the evidence, for the log.
func (e *health) stateName(now time.Time) string {
	switch {
	case e.unavailableUntil.After(now):
		return "closed"
	case e.degradedUntil.After(now):
		return "doubtful"
	}
	return "sound"
}

// stalled reports whether work is in progress and nothing has come for silenceAfter.
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

// newestBatchGrant returns the batch grant that has had the least time on the upstream.
func (u *upstreamState) newestBatchGrant() *Grant {
	var youngest *Grant
	for g := range u.grants {
		if g.class != Batch || g.preemptSent {
			continue
		}
		if youngest == nil || g.grantedAt.After(youngest.grantedAt) {
			youngest = g
		}
	}
	return youngest
}

// Grant is the right to one slot of an upstream. It is released once.
type Grant struct {
	Upstream *fleet.Upstream

	dispatcher  *Dispatcher
	state       *upstreamState
	class       Class
	grantedAt   time.Time
	preempted   chan struct{}
	preemptSent bool // preempted is closed
	probe       bool // of the upstream, after an ejection
}

// newGrant hands out a slot. The caller holds the lock.
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

// Preempted is closed when a batch grant has to give way.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// preempt tells a batch grant to give way. The caller holds the lock.
func (g *Grant) preempt() {
	g.preemptSent = true
	g.state.preempting++
	close(g.preempted)
}

// Progress notes that bytes of an answer arrived. It takes no lock, since it is
// called for each event.
func (g *Grant) Progress() {
	now := time.Now()
	g.state.lastProgress.Store(&now)
	if g.probe {
		g.state.answeredSinceEjection.Store(true)
	}
}

// Release gives the slot back with the evidence on the upstream.
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
	if !g.grantedAt.Before(s.ejection.began) { // older answers led to the ejection, or broke with them
		s.recentOutcomes.record(outcome, now)
	}
	after, broken, refused := s.stateName(now), s.brokenInRow, s.connectFailuresInRow
	q := d.queue(g.Upstream.Service)
	if g.class == Online {
		q.startQuota++ // the own slot is known to be free, at once
	}
	if outcome == Served && g.class == Online {
		q.serviceTime += (now.Sub(g.grantedAt) - q.serviceTime) / serviceTimeWeight
	}
	waiting := len(q.waiters) > 0
	var news []ejectionEvent
	if outcome == Broken {
		news = d.evaluateEjections(now)
	}
	d.mu.Unlock()
	d.logEjections(news)
	if after != before && outcome != Full {
		d.cfg.Log.Info().Str("upstream", g.Upstream.ID).Str("from", before).Str("to", after).
			Int("broken_in_row", broken).Int("refused_in_row", refused).Msg("belief of an upstream")
	}
	if waiting {
		d.serve(g.Upstream.Service, now)
	}
	d.wakeBatch()
	d.notifyChange(outcome == Broken) // others send to the upstream until they hear of it
}
