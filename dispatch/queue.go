package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/placement"
)

const (
	// queuePollInterval is the interval at which the queue checks for upstreams whose
	// backoff has ended.
	queuePollInterval = 25 * time.Millisecond
	// initialServiceTime is the assumed service time until one has been measured.
	initialServiceTime = 500 * time.Millisecond
	// serviceTimeWeight is n for a weight of 1/n of a new sample in the moving average
	// of the service time.
	serviceTimeWeight = 16
	// firstByteDivisor is n for the estimate that an answer starts after 1/n of the
	// service time, until the time to the first byte has been measured.
	firstByteDivisor = 4
	// firstByteMarginPercent is the percentage of the mean time to the first byte that
	// a request must get its slot before its objective. It covers the slower half of
	// the answers.
	firstByteMarginPercent = 150
	// retryJitter prevents callers that were rejected together from retrying together.
	retryJitter = 200 * time.Millisecond
)

// Request describes an online request that needs an upstream.
type Request struct {
	Service      string
	Organisation string // of the caller; empty for none
	Priority     int    // lower values are served first
	Arrived      time.Time
	Objective    time.Time // the answer should start by then
	Deadline     time.Time
	Begun        bool // an attempt may have run; the request is not refused for others
	// Repeatable: may be sent again although an earlier attempt may have run.
	Repeatable bool
	Avoid      map[string]bool // ids of upstreams to use only as a last resort
	// Accepts reports whether an upstream can serve the request; nil for all. It may be called
	// with the dispatcher's lock held, and must not call the dispatcher.
	Accepts func(*fleet.Upstream) bool
	// Wait is set by Acquire if the request has to wait for a slot.
	Wait *Wait
}

// Wait describes what a gateway knew when a request had to wait, for its log line.
type Wait struct {
	Ahead     int           // requests that waited at this gateway already
	FreeSlots int           // slots of the service believed free, at all upstreams in use
	ReportAge time.Duration // age of the oldest report that counts, of a gateway or a data centre
}

type queue struct {
	waiters     placement.Queue   // the Value of each is a *waiter
	blocked     bool              // a waiter was passed over, since the upstreams that it accepts are busy
	poller      *waiter           // serves the queue at intervals; nil until one takes it up
	shares      map[string]*share // by organisation
	serviceTime time.Duration     // moving average of served online requests
	firstByte   time.Duration     // moving average of the time from their grants to the first byte; 0 if unknown
	arrivals    arrivals
	startQuota  int       // waiting requests that may start until the quota is computed again
	quotaTime   time.Time // when the quota was last computed
	// speedsUpdated is the time of the last estimate of the upstreams' speeds.
	speedsUpdated time.Time
}

type waiter struct {
	placement.Waiter
	request *Request
	granted chan *Grant // gets nil if the request is refused
}

func (d *Dispatcher) queue(service string) *queue {
	q := d.queues[service]
	if q == nil {
		q = &queue{serviceTime: initialServiceTime, shares: make(map[string]*share)}
		d.queues[service] = q
	}
	return q
}

// Acquire returns a grant for an online request. It waits for a free slot if needed
// and fails early if the estimated wait exceeds the deadline.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	d.mu.Lock()
	now := time.Now()
	if len(d.acceptable(r)) == 0 {
		d.mu.Unlock()
		return nil, ErrNoUpstream
	}
	q := d.queue(r.Service)
	q.arrivals.record(now)
	if q.waiters.Len() == 0 && d.mayStart(q, r.Service, now) && d.withinShare(r.Service, now) {
		use := placement.QueueIfContended
		if d.queueUse(q, r, now) == placement.QueueForbidden {
			use = placement.QueueForbidden
		}
		if g := d.placeOnline(r, use, now); g != nil {
			q.startQuota--
			urgent := d.isUrgent(q, g.Upstream)
			d.mu.Unlock()
			d.notifyChange(urgent)
			return g, nil
		}
	}
	latest := r.Deadline.Add(-q.serviceTime)
	if !d.makeRoom(q, r, latest.Sub(now)) {
		d.mu.Unlock()
		return nil, ErrNoCapacity
	}
	w := &waiter{
		Waiter: placement.Waiter{Priority: r.Priority, Begun: r.Begun, Organisation: r.Organisation, Arrived: r.Arrived,
			Objective: r.Objective.Add(-q.firstByteMargin())},
		request: r,
		granted: make(chan *Grant, 1),
	}
	w.Value = w
	r.Wait = &Wait{Ahead: q.waiters.Len(), ReportAge: d.oldestReport(now),
		FreeSlots: placement.FreeSlots(d.snapshot(d.cfg.Holder.View().Usable(r.Service), r.Repeatable, now))}
	q.waiters.Push(&w.Waiter)
	q.blocked = q.blocked || r.Accepts != nil
	mayPass := r.Organisation != "" || q.blocked
	d.mu.Unlock()
	d.notifyChange(false)
	if mayPass {
		d.serve(r.Service, now)
	}
	return d.waitForGrant(ctx, w, latest)
}

// recordServed updates the averages with a served online request.
func (q *queue) recordServed(service, firstByte time.Duration) {
	q.serviceTime += (service - q.serviceTime) / serviceTimeWeight
	switch {
	case firstByte <= 0:
	case q.firstByte == 0:
		q.firstByte = firstByte
	default:
		q.firstByte += (firstByte - q.firstByte) / serviceTimeWeight
	}
}

// firstByteMargin returns how long before its objective a request must get its slot.
// Too large a margin puts requests that could still be in time behind newer ones, so
// that in a peak all are late.
func (q *queue) firstByteMargin() time.Duration {
	if q.firstByte == 0 {
		return q.serviceTime / firstByteDivisor
	}
	return q.firstByte * firstByteMarginPercent / 100
}

// makeRoom reports whether a new request that may wait for the given time fits the
// queue. If the queue is too long because of another organisation, it refuses a request
// of that one instead. d.mu must be held.
func (d *Dispatcher) makeRoom(q *queue, r *Request, patience time.Duration) bool {
	ahead := q.waiters.Ahead(r.Organisation)
	if d.estimateWait(ahead, q, r.Service) > patience {
		return false
	}
	if ahead == q.waiters.Len() || d.estimateWait(q.waiters.Len(), q, r.Service) <= patience {
		return true
	}
	displaced := q.waiters.Displaced(r.Organisation, r.Priority)
	if displaced == nil {
		return false
	}
	w := displaced.Value.(*waiter)
	q.remove(w)
	w.granted <- nil
	return true
}

// estimateWait estimates the queueing time of a waiter behind a number of others. d.mu
// must be held.
func (d *Dispatcher) estimateWait(ahead int, q *queue, service string) time.Duration {
	// All gateways share the slots, also those not heard yet after a start; their queues
	// are assumed to be as long as this one.
	slots := max(d.slots(service)/(d.gatewayCount()+d.recovery.unheard(time.Now())), 1)
	return placement.EstimateWait(ahead, slots, q.serviceTime)
}

// slots returns the slots of the usable upstreams of a service.
func (d *Dispatcher) slots(service string) int {
	slots := 0
	for _, u := range d.cfg.Holder.View().Usable(service) {
		slots += u.Slots
	}
	return slots
}

// gatewayCount returns the number of known gateways, including this one. d.mu must
// be held.
func (d *Dispatcher) gatewayCount() int {
	n := 1 + len(d.peers)
	for _, g := range d.dataCentres {
		n += g.Gateways
	}
	return n
}

// oldestReport returns the age of the oldest report that counts. d.mu must be held.
func (d *Dispatcher) oldestReport(now time.Time) time.Duration {
	oldest := now
	for _, p := range d.peers {
		if p.lastHeard.Before(oldest) {
			oldest = p.lastHeard
		}
	}
	for _, g := range d.dataCentres {
		if g.lastHeard.Before(oldest) {
			oldest = g.lastHeard
		}
	}
	return now.Sub(oldest)
}

func (d *Dispatcher) waitForGrant(ctx context.Context, w *waiter, latest time.Time) (*Grant, error) {
	check := time.NewTicker(queuePollInterval)
	defer check.Stop()
	for {
		var err error
		select {
		case g := <-w.granted:
			if g == nil {
				return nil, ErrNoCapacity
			}
			return g, nil
		case <-ctx.Done():
			err = context.Cause(ctx)
		case now := <-check.C:
			if time.Now().After(latest) {
				err = ErrNoCapacity
				break
			}
			if w.request.Accepts != nil && len(d.acceptable(w.request)) == 0 {
				err = ErrNoUpstream
				break
			}
			if d.isPoller(w) { // one check serves all waiters
				d.serve(w.request.Service, now)
			}
			continue
		}
		if d.dequeue(w) {
			return nil, err
		}
		g := <-w.granted // sent before the waiter could be removed
		if g == nil {
			return nil, err
		}
		if ctx.Err() == nil {
			return g, nil
		}
		g.Release(Cancelled)
		return nil, err
	}
}

// isPoller reports whether a waiter is the one that polls for the queue of its service,
// and makes it so if no other waiter is.
func (d *Dispatcher) isPoller(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(w.request.Service)
	if q.poller == nil && q.waiters.Contains(&w.Waiter) {
		q.poller = w
	}
	return q.poller == w
}

// dequeue removes a waiter and reports whether it was still in the queue.
func (d *Dispatcher) dequeue(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue(w.request.Service).remove(w)
}

// remove removes a waiter and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	if q.poller == w {
		q.poller = nil
	}
	return q.waiters.Remove(&w.Waiter)
}

// RetryAfter returns when a rejected caller should retry: after about the time that
// the current queue takes, with jitter so that callers do not retry together.
func (d *Dispatcher) RetryAfter(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(service)
	wait := d.estimateWait(q.waiters.Len(), q, service)
	return wait/2 + time.Duration(d.cfg.Random.Int64N(int64(wait+retryJitter)))
}

// serve grants slots to waiters in order as long as slots are free.
func (d *Dispatcher) serve(service string, now time.Time) {
	d.mu.Lock()
	q := d.queue(service)
	served, urgent := false, false
	var blocked []*waiter // no upstream that they accept has a free slot
	for q.waiters.Len() > 0 {
		w := q.waiters.Next(now, d.usage(q, service, now)).Value.(*waiter)
		use := d.queueUse(q, w.request, now)
		if use != placement.QueueAllowed && !d.mayStart(q, service, now) || !d.withinShare(service, now) {
			break
		}
		g := d.placeOnline(w.request, use, now)
		if g == nil && w.request.Accepts != nil && d.anyFree(service, q, use, now) {
			q.waiters.Remove(&w.Waiter)
			blocked = append(blocked, w)
			continue
		}
		if g == nil {
			break
		}
		q.startQuota--
		q.remove(w)
		w.granted <- g
		served = true
		urgent = urgent || d.isUrgent(q, g.Upstream)
	}
	q.blocked = len(blocked) > 0
	for _, w := range blocked {
		q.waiters.Push(&w.Waiter)
	}
	d.mu.Unlock()
	if served {
		d.notifyChange(urgent)
	}
}

// anyFree reports whether a request that accepts all upstreams of a service would get a
// slot. d.mu must be held.
func (d *Dispatcher) anyFree(service string, q *queue, use placement.QueueUse, now time.Time) bool {
	c := d.contention(q, now)
	c.Queue = use
	return placement.PickOnline(d.snapshot(d.cfg.Holder.View().Usable(service), true, now), c, d.cfg.Random.IntN) >= 0
}

// acceptable returns the usable upstreams that a request accepts.
func (d *Dispatcher) acceptable(r *Request) []*fleet.Upstream {
	return accepted(d.cfg.Holder.View().Usable(r.Service), r.Accepts)
}

// accepted returns the upstreams that accepts permits, all of them if it is nil.
func accepted(usable []*fleet.Upstream, accepts func(*fleet.Upstream) bool) []*fleet.Upstream {
	if accepts == nil {
		return usable
	}
	return slices.DeleteFunc(slices.Clone(usable), func(u *fleet.Upstream) bool { return !accepts(u) })
}

// placeOnline grants a slot to an online request, or returns nil if none is free.
// d.mu must be held.
func (d *Dispatcher) placeOnline(r *Request, use placement.QueueUse, now time.Time) *Grant {
	usable := d.acceptable(r)
	list := d.snapshot(usable, r.Repeatable, now)
	for i := range list {
		list[i].Degraded = list[i].Degraded || r.Avoid[list[i].ID]
	}
	c := d.contention(d.queue(r.Service), now)
	c.Queue = use
	i := placement.PickOnline(list, c, d.cfg.Random.IntN)
	if i < 0 {
		return nil
	}
	g := d.newGrant(usable[i], Online, now)
	g.share = d.queue(r.Service).begin(r.Organisation, now)
	return g
}
