package dispatch

import (
	"time"

	"github.com/magnoliausher/magnoliausher/hedge"
	"github.com/magnoliausher/magnoliausher/placement"
)

// ServiceLoad returns the load of a service as far as this gateway knows it.
func (d *Dispatcher) ServiceLoad(service string) hedge.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	load := hedge.Load{Waiting: d.queue(service).waiters.Len() + d.waitingAtPeers(service)}
	for _, u := range d.cfg.Holder.View().Usable(service) {
		s := d.upstreamFor(u)
		online, batch := d.totalLoad(s)
		load.Slots += u.Slots
		load.InUse += online + batch
		load.Ejected = load.Ejected || s.stage(now) != inService
	}
	return load
}

// TryAcquire returns a grant for a slot that is free now at a sound upstream that the
// request does not avoid, or nil. It neither waits nor preempts batch work.
func (d *Dispatcher) TryAcquire(r *Request) *Grant {
	d.mu.Lock()
	now := time.Now()
	q := d.queue(r.Service)
	usable := d.cfg.Holder.View().Usable(r.Service)
	list := d.snapshot(usable, false, now)
	for i := range list {
		u := &list[i]
		u.Unavailable = u.Unavailable || u.Degraded || r.Avoid[u.ID] || u.Online+u.Batch >= u.Slots
	}
	i := placement.PickOnline(list, d.contention(q, now), d.cfg.Random.IntN)
	if i < 0 || q.waiters.Len() > 0 {
		d.mu.Unlock()
		return nil
	}
	g := d.newGrant(usable[i], Online, now)
	g.share = q.begin(r.Organisation, now)
	q.startQuota-- // released as for other online grants
	d.mu.Unlock()
	d.notifyChange(false)
	return g
}
