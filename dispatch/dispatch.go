// Package dispatch tracks the requests that all gateways have in progress at each
// upstream, queues online requests, and grants upstream slots according to package
// placement. Lock order: Dispatcher.mu is a leaf lock; no call out of the package
// is made while it is held.
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
	"github.com/magnoliausher/magnoliausher/speed"
)

// Errors of Acquire.
var (
	// ErrNoUpstream is returned if the service has no usable upstream.
	ErrNoUpstream = errors.New("no upstream of the service is in use")
	// ErrNoCapacity is returned if the estimated queueing time exceeds the deadline.
	ErrNoCapacity = errors.New("the request cannot be served before its deadline")
)

// Class is the class of a request.
type Class uint8

// Classes of requests.
const (
	Online Class = iota
	Batch
)

// Outcome says how a request on a grant ended. It determines the health of the
// upstream.
type Outcome uint8

// Outcomes of grants.
const (
	Served        Outcome = iota // the answer was complete
	Full                         // the upstream rejected the request without running it
	ConnectFailed                // the connection could not be established
	Broken                       // the answer was truncated, corrupt or missing
	Cancelled                    // the gateway or the caller cancelled it; says nothing about the upstream
)

// Key identifies an upstream or a service in reports by a hash of its id.
type Key uint32

// KeyOf returns the key of an upstream id or service name.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// UpstreamLoad is the number of requests in progress on one upstream, from one
// gateway or from a group of them.
type UpstreamLoad struct {
	Key    Key
	Online int
	Batch  int
}

// Report is the load and health information that a gateway sends to its peers.
type Report struct {
	DataCentre string
	Loads      []UpstreamLoad
	Backlog    Backlog        // batch items waiting for a slot
	Waiting    map[Key]int    // online requests waiting for a slot, by service
	Outcomes   []OutcomeStats // of upstreams with recent broken answers or ejections
	// Incarnation of the sender. Speeds are its counters of work since its start, of
	// upstreams where they have changed, in rotation. Empty from earlier builds.
	Incarnation uint64
	Speeds      []speed.Counter
}

// Config of a Dispatcher.
type Config struct {
	Self       string // name of this gateway, unique among all gateways
	DataCentre string
	Holder     *fleet.Holder
	Log        zerolog.Logger
	// Random is the source of placement decisions. If it is nil, one with a random
	// seed is used.
	Random *rand.Rand
}

// Dispatcher grants slots of upstreams. It is safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	onChange func(urgent bool)

	mu           sync.Mutex
	upstreams    map[string]*upstreamState
	remoteTotals map[Key]*UpstreamLoad // load from all peers and other data centres
	peers        map[string]*peerState
	dataCentres  map[string]*remoteDataCentre // by name, without the local one
	advertised   map[Key]advertisedLoad       // local loads as last sent in digests
	refreshQueue []Key                        // keys of advertised, in the order in which refreshes repeat them
	queues       map[string]*queue            // by service
	remoteShares map[Key]int                  // requests in progress at other gateways, by organisation
	backlog      Backlog
	lastDigest   Digest
	recovery     recovery
	speeds       speeds
	batchWake    chan struct{} // buffered; signals that batch capacity may be available
}

type peerState struct {
	report    Report
	lastHeard time.Time
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Dispatcher{
		speeds:       newSpeeds(),
		cfg:          cfg,
		onChange:     func(bool) {},
		upstreams:    make(map[string]*upstreamState),
		remoteTotals: make(map[Key]*UpstreamLoad),
		peers:        make(map[string]*peerState),
		dataCentres:  make(map[string]*remoteDataCentre),
		advertised:   make(map[Key]advertisedLoad),
		queues:       make(map[string]*queue),
		recovery:     recovery{created: time.Now()},
		batchWake:    make(chan struct{}, 1),
	}
}

// OnChange sets the function that is called, without locks held, after the local
// report has changed. urgent means that peers must learn of it at once, because
// their batch work has to be preempted or an upstream broke an answer. OnChange
// must be called before the dispatcher is used.
func (d *Dispatcher) OnChange(f func(urgent bool)) { d.onChange = f }

// notifyChange preempts local batch work if needed and notifies the peers.
func (d *Dispatcher) notifyChange(urgent bool) {
	if urgent {
		d.PreemptBatch()
	}
	d.onChange(urgent)
}

// BatchStartQuota returns how many of the batch items waiting at this gateway may
// start now. The quota is valid until the next reports of the peers arrive.
func (d *Dispatcher) BatchStartQuota(service string, waiting int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queue(service).waiters.Len() > 0 || d.holdsBatch(time.Now()) {
		return 0
	}
	all, key := waiting, KeyOf(service)
	for _, p := range d.peers {
		all += p.report.Backlog.Of(key)
	}
	for _, g := range d.dataCentres {
		all += g.Backlog.Of(key)
	}
	list := d.snapshot(d.cfg.Holder.View().Usable(service), true, time.Now())
	return placement.BatchStartQuota(list, waiting, all, d.cfg.Random.Float64())
}

// RoomForBatch returns what batch work may use of a service.
func (d *Dispatcher) RoomForBatch(service string) placement.BatchRoom {
	d.mu.Lock()
	defer d.mu.Unlock()
	return placement.RoomForBatch(d.snapshot(d.cfg.Holder.View().Usable(service), true, time.Now()))
}

// TryAcquireBatch returns a grant for a batch item at an upstream that accepts permits, nil
// for all of the service. It returns nil if no slot is free.
func (d *Dispatcher) TryAcquireBatch(service string, accepts func(*fleet.Upstream) bool) *Grant {
	return d.tryAcquireBatch(service, accepts, placement.PickBatch)
}

// TryAcquireUrgentBatch is TryAcquireBatch for an item that is short of time.
func (d *Dispatcher) TryAcquireUrgentBatch(service string, accepts func(*fleet.Upstream) bool) *Grant {
	return d.tryAcquireBatch(service, accepts, placement.PickUrgentBatch)
}

func (d *Dispatcher) tryAcquireBatch(service string, accepts func(*fleet.Upstream) bool, pick func([]placement.Upstream, placement.Random) int) *Grant {
	d.mu.Lock()
	now := time.Now()
	if d.holdsBatch(now) {
		d.mu.Unlock()
		return nil
	}
	usable := accepted(d.cfg.Holder.View().Usable(service), accepts)
	i := pick(d.snapshot(usable, true, now), d.cfg.Random.IntN)
	if i < 0 {
		d.mu.Unlock()
		return nil
	}
	g := d.newGrant(usable[i], Batch, now)
	d.mu.Unlock()
	d.notifyChange(false)
	return g
}

// BatchWake returns a channel that is signalled when batch capacity may have become
// available.
func (d *Dispatcher) BatchWake() <-chan struct{} { return d.batchWake }

func (d *Dispatcher) wakeBatch() {
	select {
	case d.batchWake <- struct{}{}:
	default:
	}
}

// SetBacklog sets the numbers of batch items waiting at this gateway, by service.
func (d *Dispatcher) SetBacklog(items map[string]int) {
	backlog := Backlog{Services: make(map[Key]int, len(items))}
	for service, n := range items {
		if n > 0 {
			backlog.Items += n
			backlog.Services[KeyOf(service)] += n
		}
	}
	d.mu.Lock()
	changed := !d.backlog.equal(backlog)
	d.backlog = backlog
	d.mu.Unlock()
	if changed {
		d.notifyChange(false)
	}
}

// upstreamFor returns the state of an upstream and creates it if needed. The health
// is reset for a new incarnation under the same id.
func (d *Dispatcher) upstreamFor(u *fleet.Upstream) *upstreamState {
	s := d.upstreams[u.ID]
	if s == nil {
		s = &upstreamState{key: KeyOf(u.ID), started: u.Started, grants: make(map[*Grant]struct{})}
		d.upstreams[u.ID] = s
	}
	if u.Started > s.started {
		s.started = u.Started
		s.health = health{}
		s.speed = 1
		d.speeds.estimator.Reset(uint32(s.key))
	}
	return s
}

// totalLoad returns the requests in progress at an upstream from all gateways.
func (d *Dispatcher) totalLoad(s *upstreamState) (online, batch int) {
	online, batch = s.online, s.batch
	if r := d.remoteTotals[s.key]; r != nil {
		online += r.Online
		batch += r.Batch
	}
	return online, batch
}

// snapshot returns the upstreams in the form that package placement takes.
// repeatable says that the request to be placed may be sent again. d.mu must be
// held.
func (d *Dispatcher) snapshot(usable []*fleet.Upstream, repeatable bool, now time.Time) []placement.Upstream {
	list := make([]placement.Upstream, len(usable))
	avoided, unreachable, anyAvoided := make([]bool, len(usable)), make([]bool, len(usable)), false
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
		unreachable[i] = s.connectFailuresInRow > 0 && list[i].Unavailable
		anyAvoided = anyAvoided || avoided[i]
	}
	if anyAvoided {
		excludeAvoided(list, avoided, unreachable)
	}
	d.setSpeeds(list, usable, now)
	return list
}

// exceedsSlots reports whether batch work of any gateway has to be preempted on an
// upstream.
func (d *Dispatcher) exceedsSlots(u *fleet.Upstream) bool {
	online, batch := d.totalLoad(d.upstreamFor(u))
	return batch > 0 && online+batch > u.Slots
}
