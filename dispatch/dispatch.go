// Package dispatch keeps count of the requests that all gateways have in
// progress at each upstream, queues online requests, and hands out upstreams
// as package placement decides. Lock order: Dispatcher.mu is a leaf; no call
// out of the package is made under it.
package dispatch

import (
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
	Served        Outcome = iota // a whole answer came
	Full                         // the upstream did not run the request
	ConnectFailed                // no connection could be opened
	Broken                       // the answer was cut, spoilt or missing
	Cancelled                    // the gateway or the caller ended it; no evidence
)

// Key identifies an upstream in reports: a hash of its id.
type Key uint32

// KeyOf returns the key of an upstream id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// UpstreamLoad is the work of one gateway on one upstream.
type UpstreamLoad struct {
	Key    Key
	Online int
	Batch  int
}

// Report is what a gateway tells its peers.
type Report struct {
	DataCentre string
	Loads      []UpstreamLoad
	Backlog    int            // batch items that wait for a slot
	Waiting    map[Key]int    // online requests that wait, by service
	Outcomes   []OutcomeStats // against upstreams that broke answers
}

// Config of a Dispatcher.
type Config struct {
	Self       string // name of this gateway, unique among members
	DataCentre string
	Holder     *fleet.Holder
	Log        zerolog.Logger
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	onChange func(urgent bool)

	mu           sync.Mutex
	upstreams    map[string]*upstreamState
	remoteTotals map[Key]*UpstreamLoad // sums over all peers and groups
	peers        map[string]*peerState
	dataCentres  map[string]*remoteDataCentre // by data centre, without the own one
	advertised   map[Key]advertisedLoad       // what digests have said of the own data centre
	refreshQueue []Key                        // of told, in the order in which refreshes repeat them
	queues       map[string]*queue            // by service
	backlog      int
	lastDigest   Digest
	batchWake    chan struct{} // buffered; batch work may have room
}

type peerState struct {
	report    Report
	lastHeard time.Time
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:          cfg,
		onChange:     func(bool) {},
		upstreams:    make(map[string]*upstreamState),
		remoteTotals: make(map[Key]*UpstreamLoad),
		peers:        make(map[string]*peerState),
		dataCentres:  make(map[string]*remoteDataCentre),
		advertised:   make(map[Key]advertisedLoad),
		queues:       make(map[string]*queue),
		batchWake:    make(chan struct{}, 1),
	}
}

// OnChange sets what is called, without locks, after the own report changed.
// Urgent: a peer's batch work has to give way. It is set before the first use.
func (d *Dispatcher) OnChange(f func(urgent bool)) { d.onChange = f }

// notifyChange gives up own batch work where needed and tells the peers.
func (d *Dispatcher) notifyChange(urgent bool) {
	if urgent {
		d.PreemptBatch()
	}
	d.onChange(urgent)
}

// BatchStartQuota returns how many of the items that wait here may start now. It
// holds until the reports of the peers have been heard again.
func (d *Dispatcher) BatchStartQuota(service string, waiting int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.queue(service).waiters) > 0 {
		return 0
	}
	all := waiting
	for _, p := range d.peers {
		all += p.report.Backlog
	}
	for _, g := range d.dataCentres {
		all += g.Backlog
	}
	list := d.snapshot(d.cfg.Holder.View().Usable(service), true, time.Now())
	return placement.BatchStartQuota(list, waiting, all, rand.Float64())
}

// TryAcquireBatch returns a slot for a batch item, or nil if none is free.
func (d *Dispatcher) TryAcquireBatch(service string) *Grant {
	d.mu.Lock()
	now := time.Now()
	usable := d.cfg.Holder.View().Usable(service)
	i := placement.PickBatch(d.snapshot(usable, true, now), rand.IntN)
	if i < 0 {
		d.mu.Unlock()
		return nil
	}
	g := d.newGrant(usable[i], Batch, now)
	d.mu.Unlock()
	d.notifyChange(false)
	return g
}

// BatchWake carries a signal when batch work may have got room.
func (d *Dispatcher) BatchWake() <-chan struct{} { return d.batchWake }

func (d *Dispatcher) wakeBatch() {
	select {
	case d.batchWake <- struct{}{}:
	default:
	}
}

// SetBacklog tells how many batch items wait here.
func (d *Dispatcher) SetBacklog(items int) {
	d.mu.Lock()
	changed := d.backlog != items
	d.backlog = items
	d.mu.Unlock()
	if changed {
		d.notifyChange(false)
	}
}

// upstreamFor returns the record of an upstream. A new incarnation under the same id
// starts without evidence.
func (d *Dispatcher) upstreamFor(u *fleet.Upstream) *upstreamState {
	s := d.upstreams[u.ID]
	if s == nil {
		s = &upstreamState{key: KeyOf(u.ID), started: u.Started, grants: make(map[*Grant]struct{})}
		d.upstreams[u.ID] = s
	}
	if u.Started > s.started {
		s.started = u.Started
		s.health = health{}
	}
	return s
}

// totalLoad returns the requests of all gateways at an upstream.
func (d *Dispatcher) totalLoad(s *upstreamState) (online, batch int) {
	online, batch = s.online, s.batch
	if r := d.remoteTotals[s.key]; r != nil {
		online += r.Online
		batch += r.Batch
	}
	return online, batch
}

// snapshot describes upstreams for package placement. The caller holds the lock.
// repeatable: the request that is to be placed may be sent again.
func (d *Dispatcher) snapshot(usable []*fleet.Upstream, repeatable bool, now time.Time) []placement.Upstream {
	list := make([]placement.Upstream, len(usable))
	avoided, dead, anyAvoided := make([]bool, len(usable)), make([]bool, len(usable)), false
	for i, u := range usable {
		s := d.upstreamFor(u)
		online, batch := d.totalLoad(s)
		list[i] = placement.Upstream{
			ID:          u.ID,
			Local:       u.DataCentre == d.cfg.DataCentre,
			Slots:       u.Slots,
			Online:      online,
			Batch:       batch,
			Degraded:    s.degradedUntil.After(now) || s.stalled(now),
			Unavailable: s.unavailableUntil.After(now),
		}
		avoided[i] = s.shouldAvoid(repeatable, now)
		dead[i] = s.connectFailuresInRow > 0 && list[i].Unavailable
		anyAvoided = anyAvoided || avoided[i]
	}
	if anyAvoided {
		excludeAvoided(list, avoided, dead)
	}
	return list
}

// exceedsSlots reports whether batch work of anyone has to give way on an upstream.
func (d *Dispatcher) exceedsSlots(u *fleet.Upstream) bool {
	online, batch := d.totalLoad(d.upstreamFor(u))
	return batch > 0 && online+batch > u.Slots
}
