// Package dispatch keeps count of the requests that all gateways have in
// progress at each upstream, queues online requests, and hands out upstreams
// as package placement decides. Lock order: Dispatcher.mu is a leaf; no call
// out of the package is made under it.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/placement"
)

// Errors of Acquire.
var (
	// ErrNoUpstream: the service has no upstream to send to.
	ErrNoUpstream = errors.New("no upstream of the service is in use")
	// ErrNoCapacity: the queue is longer than the request can wait.
	ErrNoCapacity = errors.New("the request cannot be served before its deadline")
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
	// peerExpiry drops the report of a peer that has gone silent; reports come
	// at least every 250 ms.
	peerExpiry = time.Second
	// queueCheck is the interval at which a waiting request looks for upstreams
	// whose pause has ended.
	queueCheck = 25 * time.Millisecond
	// firstServiceTime stands for the time of a request until one has been measured.
	firstServiceTime = 500 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the mean service time, as 1/n.
	serviceTimeWeight = 16
)

// Class of work.
type Class uint8

// Classes of work.
const (
	Online Class = iota
	Batch
)

// Outcome says how a grant ended, which is evidence on the upstream.
type Outcome uint8

// Outcomes of grants.
const (
	Served    Outcome = iota // a whole answer came
	Full                     // the upstream did not run the request
	Refused                  // no connection could be opened
	Broken                   // the answer was cut, spoilt or missing
	Cancelled                // the gateway or the caller ended it; no evidence
)

// Key identifies an upstream in reports: a hash of its id.
type Key uint32

// KeyOf returns the key of an upstream id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Count is the work of one gateway on one upstream.
type Count struct {
	Key    Key
	Online int
	Batch  int
}

// Report is what a gateway tells its peers.
type Report struct {
	Counts  []Count
	Backlog int // batch items that wait for a slot
}

// Config of a Dispatcher.
type Config struct {
	Self       string // name of this gateway, unique among members
	DataCentre string
	Holder     *fleet.Holder
	// Changed is called without locks after the own report changed. Urgent: a
	// peer's batch work has to give way.
	Changed func(urgent bool)
	Log     zerolog.Logger
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	cfg Config

	mu        sync.Mutex
	upstreams map[string]*upstream
	remote    map[Key]*Count // sums over all peers
	peers     map[string]*peer
	queues    map[string]*queue // by service
	backlog   int
	batchWake chan struct{} // buffered; batch work may have room
}

type upstream struct {
	key          Key
	started      int64
	online       int
	batch        int
	grants       map[*Grant]struct{}
	lastProgress time.Time
	broken       int // in a row
	refused      int // in a row
	closedUntil  time.Time
	doubtful     time.Time // until
}

type peer struct {
	report Report
	heard  time.Time
}

type queue struct {
	waiters     []*waiter
	serviceTime time.Duration // mean of served online requests
}

type waiter struct {
	placement.Waiter
	request *Request
	granted chan *Grant
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Changed == nil {
		cfg.Changed = func(bool) {}
	}
	return &Dispatcher{
		cfg:       cfg,
		upstreams: make(map[string]*upstream),
		remote:    make(map[Key]*Count),
		peers:     make(map[string]*peer),
		queues:    make(map[string]*queue),
		batchWake: make(chan struct{}, 1),
	}
}

// Usable returns the upstreams of a service that take new work.
func (d *Dispatcher) Usable(service string) []*fleet.Upstream {
	return d.cfg.Holder.View().Usable(service)
}

// Request asks for an upstream.
type Request struct {
	Service   string
	Priority  int
	Arrived   time.Time
	Objective time.Time // the answer should begin by then
	Deadline  time.Time
	Exclude   map[string]bool // ids of upstreams that must not be used
}

// Grant is the right to one slot of an upstream. It is released once.
type Grant struct {
	Upstream *fleet.Upstream

	dispatcher   *Dispatcher
	class        Class
	granted      time.Time
	lastProgress time.Time
	preempted    chan struct{}
	yielding     bool
}

// Preempted is closed when a batch grant has to give way.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// Acquire waits for an upstream for an online request.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	d.mu.Lock()
	now := time.Now()
	if len(d.cfg.Holder.View().Usable(r.Service)) == 0 {
		d.mu.Unlock()
		return nil, ErrNoUpstream
	}
	q := d.queue(r.Service)
	if len(q.waiters) == 0 {
		if g := d.placeOnline(r, now); g != nil {
			urgent := d.overfull(g.Upstream)
			d.mu.Unlock()
			d.changed(urgent)
			return g, nil
		}
	}
	if d.wait(q, r, now).After(r.Deadline.Add(-q.serviceTime)) {
		d.mu.Unlock()
		return nil, ErrNoCapacity
	}
	w := &waiter{
		Waiter: placement.Waiter{Priority: r.Priority, Arrived: r.Arrived,
			Objective: r.Objective.Add(-q.serviceTime / 4), Deadline: r.Deadline},
		request: r,
		granted: make(chan *Grant, 1),
	}
	q.waiters = append(q.waiters, w)
	latest := r.Deadline.Add(-q.serviceTime)
	d.mu.Unlock()
	return d.await(ctx, w, latest)
}

// wait estimates when a new waiter would get a slot. The caller holds the lock.
func (d *Dispatcher) wait(q *queue, r *Request, now time.Time) time.Time {
	slots := 0
	for _, u := range d.cfg.Holder.View().Usable(r.Service) {
		slots += u.Slots
	}
	// The slots are shared by all gateways, whose queues are about as long as this one.
	slots = max(slots/(len(d.peers)+1), 1)
	return now.Add(placement.Wait(len(q.waiters), slots, q.serviceTime))
}

func (d *Dispatcher) await(ctx context.Context, w *waiter, latest time.Time) (*Grant, error) {
	check := time.NewTicker(queueCheck)
	defer check.Stop()
	for {
		var err error
		select {
		case g := <-w.granted:
			return g, nil
		case <-ctx.Done():
			err = context.Cause(ctx)
		case now := <-check.C:
			if time.Now().After(latest) {
				err = ErrNoCapacity
				break
			}
			d.serve(w.request.Service, now)
			continue
		}
		if d.leave(w) {
			return nil, err
		}
		g := <-w.granted // granted just before it left
		if ctx.Err() == nil {
			return g, nil
		}
		g.Release(Cancelled)
		return nil, err
	}
}

// leave removes a waiter and reports whether it was still queued.
func (d *Dispatcher) leave(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(w.request.Service)
	for i := range q.waiters {
		if q.waiters[i] == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// RetryAfter advises a rejected caller when to return: when the present queue
// has been served, spread so that callers do not return together.
func (d *Dispatcher) RetryAfter(service string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(service)
	wait := d.wait(q, &Request{Service: service}, now).Sub(now)
	return wait/2 + time.Duration(rand.Int64N(int64(wait)+int64(200*time.Millisecond)))
}

// serve grants slots to waiters in order while there are any.
func (d *Dispatcher) serve(service string, now time.Time) {
	d.mu.Lock()
	q := d.queue(service)
	served, urgent := false, false
	for tried := 0; tried < len(q.waiters); {
		i := nextFrom(q.waiters[tried:], now) + tried
		q.waiters[tried], q.waiters[i] = q.waiters[i], q.waiters[tried]
		w := q.waiters[tried]
		g := d.placeOnline(w.request, now)
		if g == nil {
			if len(w.request.Exclude) == 0 {
				break
			}
			tried++ // others may be allowed where this one is not
			continue
		}
		q.waiters = append(q.waiters[:tried], q.waiters[tried+1:]...)
		w.granted <- g
		served = true
		urgent = urgent || d.overfull(g.Upstream)
	}
	d.mu.Unlock()
	if served {
		d.changed(urgent)
	}
}

func nextFrom(waiters []*waiter, now time.Time) int {
	list := make([]placement.Waiter, len(waiters))
	for i, w := range waiters {
		list[i] = w.Waiter
	}
	return placement.Next(list, now)
}

func (d *Dispatcher) placeOnline(r *Request, now time.Time) *Grant {
	usable := d.cfg.Holder.View().Usable(r.Service)
	list := d.snapshot(usable, now)
	for i := range list {
		if r.Exclude[list[i].ID] {
			list[i].Closed = true
		}
	}
	i := placement.Online(list, rand.IntN)
	if i < 0 {
		return nil
	}
	return d.grant(usable[i], Online, now)
}

// BatchStarts returns how many of the items that wait here may start now. It
// holds until the reports of the peers have been heard again.
func (d *Dispatcher) BatchStarts(service string, waiting int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.queue(service).waiters) > 0 {
		return 0
	}
	all := waiting
	for _, p := range d.peers {
		all += p.report.Backlog
	}
	list := d.snapshot(d.cfg.Holder.View().Usable(service), time.Now())
	return placement.BatchStarts(list, waiting, all, rand.Float64())
}

// TryBatch returns a slot for a batch item, or nil if none is free.
func (d *Dispatcher) TryBatch(service string) *Grant {
	d.mu.Lock()
	now := time.Now()
	usable := d.cfg.Holder.View().Usable(service)
	i := placement.Batch(d.snapshot(usable, now), rand.IntN)
	if i < 0 {
		d.mu.Unlock()
		return nil
	}
	g := d.grant(usable[i], Batch, now)
	d.mu.Unlock()
	d.cfg.Changed(false)
	return g
}

// BatchWake carries a signal when batch work may have got room.
func (d *Dispatcher) BatchWake() <-chan struct{} { return d.batchWake }

// SetBacklog tells how many batch items wait here.
func (d *Dispatcher) SetBacklog(items int) {
	d.mu.Lock()
	changed := d.backlog != items
	d.backlog = items
	d.mu.Unlock()
	if changed {
		d.cfg.Changed(false)
	}
}

func (d *Dispatcher) grant(u *fleet.Upstream, class Class, now time.Time) *Grant {
	g := &Grant{Upstream: u, dispatcher: d, class: class, granted: now, lastProgress: now, preempted: make(chan struct{})}
	state := d.state(u)
	state.grants[g] = struct{}{}
	if class == Online {
		state.online++
	} else {
		state.batch++
	}
	return g
}

// Progress notes that bytes of an answer arrived.
func (g *Grant) Progress() {
	now := time.Now()
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.lastProgress = now
	g.dispatcher.state(g.Upstream).lastProgress = now
}

// Release gives the slot back with the evidence on the upstream.
func (g *Grant) Release(outcome Outcome) {
	d := g.dispatcher
	now := time.Now()
	d.mu.Lock()
	state := d.state(g.Upstream)
	if _, held := state.grants[g]; !held {
		d.mu.Unlock()
		return
	}
	delete(state.grants, g)
	if g.class == Online {
		state.online--
	} else {
		state.batch--
	}
	before := state.belief(now)
	state.note(outcome, now)
	after, broken, refused := state.belief(now), state.broken, state.refused
	q := d.queue(g.Upstream.Service)
	if outcome == Served && g.class == Online {
		q.serviceTime += (now.Sub(g.granted) - q.serviceTime) / serviceTimeWeight
	}
	waiting := len(q.waiters) > 0
	d.mu.Unlock()
	if after != before && outcome != Full {
		d.cfg.Log.Info().Str("upstream", g.Upstream.ID).Str("from", before).Str("to", after).
			Int("broken_in_row", broken).Int("refused_in_row", refused).Msg("belief of an upstream")
	}
	if waiting {
		d.serve(g.Upstream.Service, now)
	}
	d.wakeBatch()
	d.cfg.Changed(false)
}

// belief names what placement makes of the evidence, for the log.
func (u *upstream) belief(now time.Time) string {
	switch {
	case u.closedUntil.After(now):
		return "closed"
	case u.doubtful.After(now):
		return "doubtful"
	}
	return "sound"
}

func (u *upstream) note(outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		u.broken, u.refused = 0, 0
		u.doubtful = time.Time{}
	case Full:
		u.closedUntil = later(u.closedUntil, now.Add(fullPause))
	case Refused:
		pause := min(refusedPause<<min(u.refused, 4), refusedPauseMax)
		u.refused++
		u.closedUntil = later(u.closedUntil, now.Add(pause))
	case Broken:
		u.broken++
		if u.broken >= brokenStreak {
			u.doubtful = now.Add(doubtfulPause)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (d *Dispatcher) wakeBatch() {
	select {
	case d.batchWake <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) queue(service string) *queue {
	q := d.queues[service]
	if q == nil {
		q = &queue{serviceTime: firstServiceTime}
		d.queues[service] = q
	}
	return q
}

// state returns the record of an upstream. A new incarnation under the same id
// starts without evidence.
func (d *Dispatcher) state(u *fleet.Upstream) *upstream {
	s := d.upstreams[u.ID]
	if s == nil {
		s = &upstream{key: KeyOf(u.ID), started: u.Started, grants: make(map[*Grant]struct{})}
		d.upstreams[u.ID] = s
	}
	if u.Started > s.started {
		s.started = u.Started
		s.broken, s.refused = 0, 0
		s.closedUntil, s.doubtful = time.Time{}, time.Time{}
	}
	return s
}

// snapshot describes upstreams for package placement. The caller holds the lock.
func (d *Dispatcher) snapshot(usable []*fleet.Upstream, now time.Time) []placement.Upstream {
	list := make([]placement.Upstream, len(usable))
	for i, u := range usable {
		s := d.state(u)
		list[i] = placement.Upstream{
			ID:       u.ID,
			Local:    u.DataCentre == d.cfg.DataCentre,
			Slots:    u.Slots,
			Online:   s.online,
			Batch:    s.batch,
			Doubtful: s.doubtful.After(now) || s.silent(now),
			Closed:   s.closedUntil.After(now),
		}
		if r := d.remote[s.key]; r != nil {
			list[i].Online += r.Online
			list[i].Batch += r.Batch
		}
	}
	return list
}

// silent reports whether work is in progress and nothing has come for silenceAfter.
func (u *upstream) silent(now time.Time) bool {
	if now.Sub(u.lastProgress) <= silenceAfter {
		return false
	}
	for g := range u.grants {
		if now.Sub(g.granted) > silenceAfter {
			return true
		}
	}
	return false
}

// overfull reports whether batch work of anyone has to give way on an upstream.
func (d *Dispatcher) overfull(u *fleet.Upstream) bool {
	s := d.state(u)
	online, batch := s.online, s.batch
	if r := d.remote[s.key]; r != nil {
		online += r.Online
		batch += r.Batch
	}
	return batch > 0 && online+batch > u.Slots
}
