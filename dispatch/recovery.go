package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/metric"
)

const (
	// assumptionLimit is how long after this process learnt of gateways that it has not
	// heard these are assumed to start requests. Gateways that lost power together
	// start within half a second; one that is silent for longer does not come back soon.
	assumptionLimit = 500 * time.Millisecond
	// recoveryLimit is how long a recovery lasts at most. Upstreams still run requests and
	// batch items of gateways that were lost for several seconds, but held batch items lose
	// as much time: with 3 s, 0.02 more of the requests are in time in the play of an outage
	// of 1.5 s, and on small deployments more batch items are late.
	recoveryLimit = 2 * time.Second
	// startPeriod is how long after its start a process may learn of other gateways for
	// the first time. Later ones are new gateways, not those of a common loss.
	startPeriod = 5 * time.Second
)

// recovery is the state of a process that has started and does not know yet what other
// gateways do. After a loss of all gateways, none knows what the others start, nor what
// upstreams still run for gateways that were lost. It is designed for 28 to 34 gateways
// that start within half a second. It begins at most once in a process.
type recovery struct {
	created      time.Time // of the process
	learnt       time.Time // when other gateways were known first; zero before
	heard, known int       // gateways, including this one, as last told
	assumedFrom  time.Time // when gateways that are not heard were known first; zero before
	assumedUntil time.Time // when all of them were heard or assumptionLimit was reached; zero before
	ended        time.Time // zero before
	fraction     float64   // rounds the share of this gateway; in [0, 1)
}

// update records how many gateways are heard and known and reports whether the recovery
// begins or ends. othersRunBatch says that another gateway runs batch items: gateways that
// recover start none, so that one has been running and only this process has restarted.
func (r *recovery) update(heard, known int, othersRunBatch bool, now time.Time) (begins, ends bool) {
	r.heard, r.known = heard, known
	if r.learnt.IsZero() && known > 1 && now.Sub(r.created) <= startPeriod {
		r.learnt, begins = now, true
	}
	if r.learnt.IsZero() || !r.ended.IsZero() {
		return begins, false
	}
	if r.assumedFrom.IsZero() && known > heard {
		r.assumedFrom = now // member rows may be read after the first gateways were heard
	}
	if !r.assumedFrom.IsZero() && r.assumedUntil.IsZero() && (known <= heard || now.Sub(r.assumedFrom) >= assumptionLimit) {
		r.assumedUntil = now
	}
	assuming := !r.assumedFrom.IsZero() && r.assumedUntil.IsZero()
	if now.Sub(r.learnt) >= recoveryLimit || !assuming && othersRunBatch {
		r.ended, ends = now, true
	}
	return begins, ends
}

// active reports whether the recovery has begun and not ended.
func (r *recovery) active(now time.Time) bool {
	return !r.learnt.IsZero() && r.ended.IsZero() && now.Sub(r.learnt) < recoveryLimit
}

// unheard returns the number of gateways that are assumed to have as many requests in
// progress as this one.
func (r *recovery) unheard(now time.Time) int {
	if !r.active(now) || !r.assumedUntil.IsZero() || now.Sub(r.assumedFrom) >= assumptionLimit {
		return 0
	}
	return max(r.known-r.heard, 0)
}

// ownShare returns how many requests this gateway may have in progress if each unheard
// gateway has as many, in the slots that others are not known to use. fraction in [0, 1)
// rounds it up or down, so that the shares of all gateways add up to the slots.
func ownShare(slots, usedByOthers, unheard int, fraction float64) int {
	return int(float64(max(slots-usedByOthers, 0))/float64(unheard+1) + fraction)
}

// SetMembers tells how many gateways, including this one, were heard lately and are known.
// Where it is not called, or no other gateway is known, nothing is assumed of others.
func (d *Dispatcher) SetMembers(heard, known int, now time.Time) {
	d.mu.Lock()
	begins, ends := d.recovery.update(heard, known, d.othersRunBatch(), now)
	if begins {
		d.recovery.fraction = d.cfg.Random.Float64()
	}
	r := d.recovery
	waiting := 0
	for _, q := range d.queues {
		waiting += q.waiters.Len()
	}
	d.mu.Unlock()
	if begins {
		metric.RecoveryBegan()
		d.cfg.Log.Info().Int("gateways_heard", heard).Int("gateways_known", known).Msg("started without knowledge of the load of other gateways")
	}
	if ends {
		metric.RecoveryEnded(now.Sub(r.learnt).Seconds())
		d.cfg.Log.Info().Int("gateways_heard", heard).Int("gateways_known", known).Dur("assumed_load", r.assumedUntil.Sub(r.assumedFrom)).
			Dur("took", now.Sub(r.learnt)).Int("waiting", waiting).Msg("load of other gateways is known after the start")
		d.wakeBatch()
	}
}

// othersRunBatch reports whether another gateway has batch items in progress. d.mu must be
// held.
func (d *Dispatcher) othersRunBatch() bool {
	for _, load := range d.remoteTotals {
		if load.Batch > 0 {
			return true
		}
	}
	return false
}

// holdsBatch reports whether no batch item may start: in a recovery, until the reports of
// gateways that started together have arrived, and while online requests wait anywhere or
// more are in progress than there are gateways. d.mu must be held.
func (d *Dispatcher) holdsBatch(now time.Time) bool {
	r := &d.recovery
	if !r.active(now) {
		return false
	}
	if now.Sub(r.learnt) < assumptionLimit {
		return true
	}
	for service, q := range d.queues {
		if q.waiters.Len() > 0 || d.waitingAtPeers(service) > 0 {
			return true
		}
	}
	online := 0
	for _, s := range d.upstreams {
		n, _ := d.totalLoad(s)
		online += n
	}
	return online > r.known
}

// withinShare reports whether this gateway may start another request of a service while
// reports of known gateways are missing. d.mu must be held.
func (d *Dispatcher) withinShare(service string, now time.Time) bool {
	unheard := d.recovery.unheard(now)
	if unheard == 0 {
		return true
	}
	slots, own, others := 0, 0, 0
	for _, u := range d.cfg.Holder.View().Usable(service) {
		s := d.upstreamFor(u)
		if s.unavailableUntil.After(now) {
			continue
		}
		online, _ := d.totalLoad(s)
		slots, own, others = slots+u.Slots, own+s.online, others+online-s.online
	}
	// A service with fewer slots than gateways gives most of them a share of none. Each may
	// start one request in a slot that it believes free, as otherwise requests wait for
	// up to assumptionLimit at an idle service.
	return own < max(ownShare(slots, others, unheard, d.recovery.fraction), 1)
}
