package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/storage"
)

// DefaultLinksPerService is the number of agents of each service that an entry
// links to at the target size.
const DefaultLinksPerService = 3

// DefaultProgressTimeout ends an attempt without events. It covers the wait in
// an agent's queue and a long prefill; silent connections are found by pings.
const DefaultProgressTimeout = 30 * time.Second

// grantBuffer bounds the grants waiting for the batch runner. Further ones
// are dropped and lapse at the agent.
const grantBuffer = 1024

// EntryClientConfig describes the entry and what it shares with its links.
type EntryClientConfig struct {
	ID          string
	DataCentre  string
	Incarnation uint64
	Holder      *contract.Holder
	Suspects    *poison.Table
	Members     *instance.Table
	TLS         *tls.Config // nil for HTTP/2 without TLS
	Logger      zerolog.Logger

	LinksPerService int           // 0: DefaultLinksPerService
	ProgressTimeout time.Duration // 0: DefaultProgressTimeout

	dial dialer // replaced by tests
}

// EntryClient keeps an entry's links to the agents of its subset. It implements
// Runner, BatchCoordinator and Fleet.
//
// Lock order: EntryClient.mu before entryLink.mu and before the membership's
// lock. No lock is held while the holder or the suspects are called.
type EntryClient struct {
	*PeerHandler
	cfg    EntryClientConfig
	spread *spread
	grants chan Grant
	plan   plan // used by Serve only

	mu        sync.Mutex
	links     map[string]*entryLink // by agent id
	byService map[string][]*entryLink
	demands   map[string]Demand
	expanded  map[string]time.Time // services with a doubled subset, since when
}

var (
	_ Runner         = (*EntryClient)(nil)
	_ SubsetReporter = (*EntryClient)(nil)
	_ BatchCoordinator      = (*EntryClient)(nil)
	_ Fleet          = (*EntryClient)(nil)
)

// NewEntryClient returns the entry's end of its links. Serve opens them.
func NewEntryClient(cfg EntryClientConfig) *EntryClient {
	if cfg.LinksPerService <= 0 {
		cfg.LinksPerService = DefaultLinksPerService
	}
	if cfg.ProgressTimeout <= 0 {
		cfg.ProgressTimeout = DefaultProgressTimeout
	}
	if cfg.dial == nil {
		cfg.dial = defaultDialer()
	}
	s := newSpread(cfg.ID, cfg.DataCentre, cfg.Incarnation, cfg.Holder, cfg.Suspects, cfg.Logger)
	return &EntryClient{
		PeerHandler: &PeerHandler{
			bodies:    s.bodies,
			instances: func() []*rpc.PeerInstance { return listedInstances(cfg.Members) },
		},
		cfg:       cfg,
		spread:    s,
		grants:    make(chan Grant, grantBuffer),
		links:     make(map[string]*entryLink),
		byService: make(map[string][]*entryLink),
		demands:   make(map[string]Demand),
		expanded:  make(map[string]time.Time),
	}
}

// SetLeaving tells all agents that the entry brings no new work.
func (e *EntryClient) SetLeaving() { e.spread.setLeaving() }

// Upstreams returns what is known of the linked agents of a service, sorted by
// agent id. Links that left the subset are not included.
func (e *EntryClient) Upstreams(service string) []Upstream {
	now := time.Now()
	links := e.linksOf(service)
	upstreams := make([]Upstream, 0, len(links))
	for _, l := range links {
		if u, ok := l.snapshot(now); ok {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// linksOf returns a list that is replaced, never changed.
func (e *EntryClient) linksOf(service string) []*entryLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byService[service]
}

// snapshot joins the link's view with the membership.
func (l *entryLink) snapshot(now time.Time) (Upstream, bool) {
	member, present := l.side.cfg.Members.Member(l.agent.ID, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return Upstream{}, false
	}
	u := l.view
	u.Connected = u.Connected && now.Sub(u.LastHeard) <= silentAfter
	u.Leaving = u.Leaving || member.Leaving
	u.Weight = member.Weight
	if !present {
		u.Connected = false
	}
	return u, true
}

// SetDemand announces the batch work held for a service to its agents.
func (e *EntryClient) SetDemand(service string, d Demand) {
	e.mu.Lock()
	e.demands[service] = d
	links := e.byService[service]
	e.mu.Unlock()
	for _, l := range links {
		l.wakeUp()
	}
}

func (e *EntryClient) demand(service string) Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.demands[service]
}

func (l *entryLink) wakeUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer != nil {
		l.peer.wakeUp()
	}
}

// Grants delivers the agents' permissions.
func (e *EntryClient) Grants() <-chan Grant { return e.grants }

// AnnounceCancelled spreads the id of a cancelled job to all processes.
func (e *EntryClient) AnnounceCancelled(jobID string) {
	e.spread.announceCancelled(jobID, "", time.Now())
}

// Cancelled delivers ids of cancelled jobs that other processes announced.
func (e *EntryClient) Cancelled() <-chan string { return e.spread.cancelOut }

// Config returns the process's configuration.
func (e *EntryClient) Config() *contract.Holder { return e.cfg.Holder }

// Versions returns the last known configuration version of every instance of
// the membership, sorted by id. HeardAt is zero for those never heard of. For
// instances without a link it is the time at which the version was first known.
func (e *EntryClient) Versions() []InstanceVersion {
	now := time.Now()
	members := e.cfg.Members.Members(storage.RoleEntry, now)
	members = append(members, e.cfg.Members.Members(storage.RoleAgent, now)...)
	versions := make([]InstanceVersion, 0, len(members))
	for i := range members {
		versions = append(versions, e.spread.versionOf(members[i].ID, now))
	}
	slices.SortFunc(versions, func(a, b InstanceVersion) int { return cmp.Compare(a.InstanceID, b.InstanceID) })
	return versions
}

// link returns the link to an agent, or nil.
func (e *EntryClient) link(agentID string) *entryLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.links[agentID]
}

// Serve keeps the links in accordance with the membership until ctx ends, then
// closes them. (Run is the method of Runner that starts an attempt.)
func (e *EntryClient) Serve(ctx context.Context) error {
	defer e.stopAll()
	for {
		changed := e.cfg.Members.Changed()
		e.reconcile(ctx, time.Now())
		// Bursts of changes, such as a list after an outage, are handled together.
		pause.For(ctx, reconcileMin)
		timer := time.NewTimer(reconcileMax)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// stopAll ends all links and waits for their goroutines.
func (e *EntryClient) stopAll() {
	e.mu.Lock()
	links := make([]*entryLink, 0, len(e.links))
	for _, l := range e.links {
		links = append(links, l)
	}
	e.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
	for _, l := range links {
		<-l.done
	}
}
