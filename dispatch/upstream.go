package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

const (
	// silenceAfter: an upstream with work in progress that sends nothing for this
	// long is doubtful. Engines send an event about every 30 ms on each stream.
	silenceAfter = 400 * time.Millisecond
	// fullPause keeps requests from an upstream that said it is full, for about
	// the time between two ends of requests on 8 slots of a second each.
	fullPause = 60 * time.Millisecond
	// refusedPause and refusedPauseMax bound the pause after a failed connection.
	refusedPause    = 300 * time.Millisecond
	refusedPauseMax = 2 * time.Second
	// brokenStreak: this many answers broken in a row make an upstream doubtful.
	// A faulty upstream that breaks 1 answer in 20 reaches it once in 8,000 requests.
	brokenStreak = 3
	// doubtfulPause is how long a doubtful upstream is used as a last resort only.
	doubtfulPause = time.Second
)

// upstream is the own work on an upstream and what its answers told.
type upstream struct {
	key      Key
	started  int64
	online   int // grants of class Online
	batch    int // grants of class Batch
	yielding int // of batch: those told to give way
	grants   map[*Grant]struct{}
	progress atomic.Pointer[time.Time] // when bytes last arrived; written without the lock
	answers  atomic.Bool               // an answer has begun since the last ejection; written without the lock
	evidence
}

// evidence is what the ends of grants tell of one incarnation.
type evidence struct {
	broken   int       // in a row
	refused  int       // in a row
	closed   time.Time // not used until then
	doubtful time.Time // used as a last resort until then
	recent   outcomes
	accused  time.Time // when a gateway last told of a broken answer
	ejection ejection
}

// note takes the end of a grant into account.
func (e *evidence) note(outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		e.broken, e.refused = 0, 0
		e.doubtful = time.Time{}
	case Full:
		e.close(now.Add(fullPause))
	case ConnectFailed:
		e.close(now.Add(min(refusedPause<<min(e.refused, 4), refusedPauseMax)))
		e.refused++
	case Broken:
		e.broken++
		if e.broken >= brokenStreak {
			e.doubtful = now.Add(doubtfulPause)
		}
	}
}

func (e *evidence) close(until time.Time) {
	if until.After(e.closed) {
		e.closed = until
	}
}

// belief names what placement makes of the evidence, for the log.
func (e *evidence) belief(now time.Time) string {
	switch {
	case e.closed.After(now):
		return "closed"
	case e.doubtful.After(now):
		return "doubtful"
	}
	return "sound"
}

// silent reports whether work is in progress and nothing has come for silenceAfter.
func (u *upstream) silent(now time.Time) bool {
	if last := u.progress.Load(); last != nil && now.Sub(*last) <= silenceAfter {
		return false
	}
	for g := range u.grants {
		if now.Sub(g.granted) > silenceAfter {
			return true
		}
	}
	return false
}

// youngestBatch returns the batch grant that has had the least time on the upstream.
func (u *upstream) youngestBatch() *Grant {
	var youngest *Grant
	for g := range u.grants {
		if g.class != Batch || g.yielding {
			continue
		}
		if youngest == nil || g.granted.After(youngest.granted) {
			youngest = g
		}
	}
	return youngest
}

// Grant is the right to one slot of an upstream. It is released once.
type Grant struct {
	Upstream *fleet.Upstream

	dispatcher *Dispatcher
	state      *upstream
	class      Class
	granted    time.Time
	preempted  chan struct{}
	yielding   bool // preempted is closed
	trial      bool // of the upstream, after an ejection
}

// grant hands out a slot. The caller holds the lock.
func (d *Dispatcher) grant(u *fleet.Upstream, class Class, now time.Time) *Grant {
	s := d.state(u)
	g := &Grant{Upstream: u, dispatcher: d, state: s, class: class, granted: now, preempted: make(chan struct{}),
		trial: s.standing(now) == onTrial}
	g.state.grants[g] = struct{}{}
	*g.state.count(class)++
	return g
}

func (u *upstream) count(class Class) *int {
	if class == Online {
		return &u.online
	}
	return &u.batch
}

// Preempted is closed when a batch grant has to give way.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// preempt tells a batch grant to give way. The caller holds the lock.
func (g *Grant) preempt() {
	g.yielding = true
	g.state.yielding++
	close(g.preempted)
}

// Progress notes that bytes of an answer arrived. It takes no lock, since it is
// called for each event.
func (g *Grant) Progress() {
	now := time.Now()
	g.state.progress.Store(&now)
	if g.trial {
		g.state.answers.Store(true)
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
	*s.count(g.class)--
	if g.yielding {
		s.yielding--
	}
	before := s.belief(now)
	s.note(outcome, now)
	if !g.granted.Before(s.ejection.began) { // older answers led to the ejection, or broke with them
		s.recent.note(outcome, now)
	}
	after, broken, refused := s.belief(now), s.broken, s.refused
	q := d.queue(g.Upstream.Service)
	if g.class == Online {
		q.starts++ // the own slot is known to be free, at once
	}
	if outcome == Served && g.class == Online {
		q.serviceTime += (now.Sub(g.granted) - q.serviceTime) / serviceTimeWeight
	}
	waiting := len(q.waiters) > 0
	var news []ejected
	if outcome == Broken {
		news = d.judge(now)
	}
	d.mu.Unlock()
	d.logEjected(news)
	if after != before && outcome != Full {
		d.cfg.Log.Info().Str("upstream", g.Upstream.ID).Str("from", before).Str("to", after).
			Int("broken_in_row", broken).Int("refused_in_row", refused).Msg("belief of an upstream")
	}
	if waiting {
		d.serve(g.Upstream.Service, now)
	}
	d.wakeBatch()
	d.changed(outcome == Broken) // others send to the upstream until they hear of it
}
