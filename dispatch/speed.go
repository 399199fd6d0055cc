package dispatch

import (
	"fmt"
	"maps"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/placement"
	"github.com/magnoliausher/magnoliausher/speed"
)

const (
	// speedInterval is the time between two estimates of the speeds of a service.
	speedInterval = 100 * time.Millisecond
	// largeService is the number of upstreams from which they are estimated less often, at
	// least each maxSpeedInterval. An estimate costs 0.4 us an upstream.
	largeService     = 300
	maxSpeedInterval = 500 * time.Millisecond
)

func speedIntervalOf(upstreams int) time.Duration {
	return min(speedInterval*time.Duration(max(upstreams, largeService))/largeService, maxSpeedInterval)
}

// speeds holds the measured speeds of upstreams.
type speeds struct {
	off       bool // placement ignores speeds
	estimator *speed.Estimator
	// estimate returns the speeds of the upstreams of a service relative to their mean.
	estimate func(keys []uint32, now time.Time) []float64
	// peers is the work that the other gateways of the data centre have reported to this
	// process, by upstream. Own counters are kept in upstreamState.
	peers            map[uint32]speed.Counter
	reports, digests counterRotation
	publishedAt      time.Time
	published        map[string]string // services of the upstreams in the metrics, by id
}

// UseSpeeds sets whether placement takes the speeds of upstreams into account. If not, they
// are neither estimated nor reported.
func (d *Dispatcher) UseSpeeds(use bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.speeds.off = !use
}

// publishInterval is the time between two updates of the metrics.
const publishInterval = time.Second

// publishSpeeds updates the metrics of the upstreams whose speed has been estimated.
func (d *Dispatcher) publishSpeeds(now time.Time) {
	d.mu.Lock()
	if now.Sub(d.speeds.publishedAt) < publishInterval {
		d.mu.Unlock()
		return
	}
	d.speeds.publishedAt = now
	before := d.speeds.published
	published, estimates := make(map[string]string), make(map[string]float64)
	view := d.cfg.Holder.View()
	for service := range d.queues {
		if d.speeds.off {
			break
		}
		for _, u := range view.Usable(service) {
			if s := d.upstreams[u.ID]; s != nil && s.speed > 0 {
				published[u.ID], estimates[u.ID] = service, s.speed
			}
		}
	}
	d.speeds.published = published
	d.mu.Unlock()
	for id, service := range before {
		if published[id] != service {
			metric.DropUpstreamSpeed(service, id)
		}
	}
	for id, estimate := range estimates {
		metric.SetUpstreamSpeed(published[id], id, estimate)
	}
}

// UsesSpeeds reports whether placement takes the speeds of upstreams into account.
func (d *Dispatcher) UsesSpeeds() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.speeds.off
}

// setSpeeds sets the speeds in a snapshot. d.mu must be held.
func (d *Dispatcher) setSpeeds(list []placement.Upstream, usable []*fleet.Upstream, now time.Time) {
	if len(usable) == 0 || d.speeds.off {
		return
	}
	if q := d.queue(usable[0].Service); now.Sub(q.speedsUpdated) >= speedIntervalOf(len(usable)) {
		q.speedsUpdated = now
		d.updateSpeeds(usable, now)
	}
	for i, u := range usable {
		list[i].Speed = d.upstreams[u.ID].speed
	}
}

// updateSpeeds estimates the speeds of the upstreams of a service. d.mu must be held.
func (d *Dispatcher) updateSpeeds(usable []*fleet.Upstream, now time.Time) {
	keys := make([]uint32, len(usable))
	var own []speed.Counter
	for i, u := range usable {
		s := d.upstreams[u.ID]
		keys[i] = uint32(s.key)
		if c := s.counter(); c.Work > 0 {
			own = append(own, c)
		}
	}
	d.speeds.estimator.Observe(speed.Source{Name: d.cfg.Self}, own, now)
	for i, v := range d.speeds.estimate(keys, now) {
		d.upstreams[usable[i].ID].speed = v
	}
}

func (u *upstreamState) counter() speed.Counter {
	return speed.Counter{Upstream: uint32(u.key), Work: u.work.Load(), Time: time.Duration(u.workTime.Load()).Truncate(time.Millisecond)}
}

// speedCounters returns the counters of this gateway for a report or, for a digest, of
// the data centre. d.mu must be held.
func (d *Dispatcher) speedCounters(digest bool) []speed.Counter {
	rotation, now := &d.speeds.reports, time.Now()
	if digest {
		rotation = &d.speeds.digests
	}
	if d.speeds.off || now.Sub(rotation.sentAt) < rotation.interval {
		return nil
	}
	all := make(map[uint32]speed.Counter, len(d.upstreams))
	if digest {
		maps.Copy(all, d.speeds.peers)
	}
	for _, s := range d.upstreams {
		if c := s.counter(); c.Work > 0 {
			sum := all[c.Upstream]
			all[c.Upstream] = speed.Counter{Upstream: c.Upstream, Work: sum.Work + c.Work, Time: sum.Time + c.Time}
		}
	}
	return rotation.next(all, now)
}

// counterRotation selects the counters of successive messages in rotation. An entry takes
// up to 17 bytes.
type counterRotation struct {
	limit    int           // counters in a message
	interval time.Duration // between messages with counters
	sentAt   time.Time
	queue    []uint32 // of upstreams
	sent     map[uint32]speed.Counter
}

// The counters of 46 upstreams are sent within 300 ms to the local data centre, and from
// there within 300 ms to the others.
func newSpeeds() speeds {
	estimator := speed.New()
	return speeds{
		estimator: estimator, estimate: estimator.Speeds,
		peers: make(map[uint32]speed.Counter), published: make(map[string]string),
		reports: counterRotation{limit: 8, interval: 50 * time.Millisecond, sent: make(map[uint32]speed.Counter)},
		digests: counterRotation{limit: 16, interval: 100 * time.Millisecond, sent: make(map[uint32]speed.Counter)},
	}
}

// next returns some of the counters that have changed since they were sent.
func (r *counterRotation) next(all map[uint32]speed.Counter, now time.Time) []speed.Counter {
	r.sentAt = now
	for key := range all {
		if _, known := r.sent[key]; !known {
			r.sent[key] = speed.Counter{}
			r.queue = append(r.queue, key)
		}
	}
	var list []speed.Counter
	for range len(r.queue) {
		if len(list) == r.limit {
			break
		}
		key := r.queue[0]
		r.queue = r.queue[1:]
		c, counted := all[key]
		if !counted {
			delete(r.sent, key)
			continue
		}
		r.queue = append(r.queue, key)
		if c != r.sent[key] {
			r.sent[key] = c
			list = append(list, c)
		}
	}
	return list
}

// mergeSpeeds takes the counters of a gateway of the data centre. d.mu must be held.
func (d *Dispatcher) mergeSpeeds(name string, report *Report, now time.Time) {
	for _, c := range d.speeds.estimator.Observe(speed.Source{Name: name, Incarnation: report.Incarnation}, report.Speeds, now) {
		sum := d.speeds.peers[c.Upstream]
		d.speeds.peers[c.Upstream] = speed.Counter{Upstream: c.Upstream, Work: sum.Work + c.Work, Time: sum.Time + c.Time}
	}
}

// mergeRemoteSpeeds takes the counters of another data centre. Each of its collectors
// counts for itself, so that the work is counted twice where two of them report; the
// speed is the same. d.mu must be held.
func (d *Dispatcher) mergeRemoteSpeeds(g *Digest, now time.Time) {
	if len(g.Speeds) > 0 {
		source := speed.Source{Name: fmt.Sprintf("data centre %s, collector %x", g.DataCentre, g.SpeedSource), Incarnation: g.SpeedSource}
		d.speeds.estimator.Observe(source, g.Speeds, now)
	}
}

// expireSpeeds drops measurements without news, and counters of upstreams that are no
// longer in the list. Those of services that this gateway has no requests of are kept, as a
// collector sums them up for other data centres. d.mu must be held.
func (d *Dispatcher) expireSpeeds(now time.Time) {
	d.speeds.estimator.Expire(now)
	records := d.cfg.Holder.View().Records
	if len(d.speeds.peers) <= len(records) {
		return
	}
	listed := make(map[uint32]bool, len(records))
	for i := range records {
		listed[uint32(KeyOf(records[i].Upstream.ID))] = true
	}
	maps.DeleteFunc(d.speeds.peers, func(key uint32, _ speed.Counter) bool { return !listed[key] })
}

// maxEventTime limits the time that counts for one event. Longer times are those of
// callers that do not read their answer rather than of an upstream.
const maxEventTime = time.Second

// countEvent counts an event by the times from the grant to the last event, 0 for none,
// and to this one, in nanoseconds. It takes no lock.
func (u *upstreamState) countEvent(last, now int64) {
	if last == 0 || now < last {
		return
	}
	u.work.Add(1)
	u.workTime.Add(min(now-last, int64(maxEventTime)))
	if !u.streams.Load() {
		u.streams.Store(true)
	}
}

// countCall counts a call that was answered without a stream of events, with the time until
// its answer was read, as the caller may take long to read it. Upstreams that stream are
// measured by their events only, which are another unit.
func (u *upstreamState) countCall(g *Grant) {
	if first := g.firstByte.Load(); first > 0 && !g.unmeasured && !u.streams.Load() && g.lastEvent.Load() == first {
		u.work.Add(1)
		u.workTime.Add(first)
	}
}

// maxDeliveryTime is the time for passing on an event from which a caller is slow. A gateway
// with a tenth of a core may be suspended for 90 ms.
const maxDeliveryTime = 100 * time.Millisecond

// Delivered tells how long it took to pass on the last event to the caller. The events of a
// slow caller wait in the connection, so that their times are not those of the upstream: the
// further ones of the attempt are not counted. It is called by the goroutine that calls
// Progress.
func (g *Grant) Delivered(took time.Duration) {
	if took > maxDeliveryTime {
		g.unmeasured = true
	}
}

// Unmeasured tells that the time of the attempt says nothing about the speed of the upstream,
// such as that of a call that it refuses at once: otherwise one that refuses all calls counts
// as fast and attracts them. It is called by the goroutine that calls Progress and Release.
func (g *Grant) Unmeasured() { g.unmeasured = true }
