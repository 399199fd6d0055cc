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

// DefaultProgressTimeout is the longest time an attempt may go without an
// event. It covers the wait in an agent's queue and a long prefill; pings
// detect silent connections.
const DefaultProgressTimeout = 30 * time.Second

// grantBuffer limits the grants waiting for the batch runner. Further grants
// are dropped and expire at the agent.
const grantBuffer = 1024

// EntryClientConfig configures an EntryClient.
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

// EntryClient maintains an entry's links to the agents of its subset. It
// implements Runner, BatchCoordinator and Fleet.
//
// Lock order: EntryClient.mu before entryLink.mu and before the lock of the
// instance table. No lock is held while the holder or the suspects are called.
type EntryClient struct {
	*PeerHandler
	cfg    EntryClientConfig
	gossip *gossip
	grants chan Grant
	plan   subsetPlan // accessed only by Serve

	mu        sync.Mutex
	links     map[string]*entryLink // by agent id
	byService map[string][]*entryLink
	demands   map[string]Demand
	expanded  map[string]time.Time // services with a doubled subset, and when it was last needed
}

var (
	_ Runner           = (*EntryClient)(nil)
	_ SubsetReporter   = (*EntryClient)(nil)
	_ BatchCoordinator = (*EntryClient)(nil)
	_ Fleet            = (*EntryClient)(nil)
)

// NewEntryClient returns a client without links; Serve opens them.
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
	s := newGossip(cfg.ID, cfg.DataCentre, cfg.Incarnation, cfg.Holder, cfg.Suspects, cfg.Logger)
	return &EntryClient{
		PeerHandler: &PeerHandler{
			codec:     s.codec,
			instances: func() []*rpc.PeerInstance { return listedInstances(cfg.Members) },
		},
		cfg:       cfg,
		gossip:    s,
		grants:    make(chan Grant, grantBuffer),
		links:     make(map[string]*entryLink),
		byService: make(map[string][]*entryLink),
		demands:   make(map[string]Demand),
		expanded:  make(map[string]time.Time),
	}
}

// SetLeaving notifies all agents that the entry sends no new work.
func (e *EntryClient) SetLeaving() { e.gossip.setLeaving() }

// Upstreams returns the state of the linked agents of a service, sorted by
// agent id. Links that left the subset are excluded.
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

// linksOf returns the links of a service. The slice is replaced on changes,
// never modified.
func (e *EntryClient) linksOf(service string) []*entryLink {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byService[service]
}

// snapshot combines the link's state with that of the instance table. It
// reports false for a retired link.
func (l *entryLink) snapshot(now time.Time) (Upstream, bool) {
	member, present := l.entry.cfg.Members.Member(l.agent.ID, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return Upstream{}, false
	}
	u := l.upstream
	u.Connected = u.Connected && now.Sub(u.LastHeard) <= silenceTimeout
	u.Leaving = u.Leaving || member.Leaving
	u.Weight = member.Weight
	if !present {
		u.Connected = false
	}
	return u, true
}

// SetDemand announces the pending batch work of a service to its agents.
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

// Grants delivers the agents' grants.
func (e *EntryClient) Grants() <-chan Grant { return e.grants }

// AnnounceCancelled propagates the id of a cancelled job to all entries and
// agents.
func (e *EntryClient) AnnounceCancelled(jobID string) {
	e.gossip.announceCancelled(jobID, "", time.Now())
}

// Cancelled delivers the ids of cancelled jobs that other instances announced.
func (e *EntryClient) Cancelled() <-chan string { return e.gossip.cancelledIDs }

// Config returns the holder of this instance's configuration.
func (e *EntryClient) Config() *contract.Holder { return e.cfg.Holder }

// Versions returns the last known configuration version of every instance in
// the instance table, sorted by id. HeardAt is zero if no version is known.
// For instances without a link it is the time at which the version was first
// known.
func (e *EntryClient) Versions() []InstanceVersion {
	now := time.Now()
	members := e.cfg.Members.Members(storage.RoleEntry, now)
	members = append(members, e.cfg.Members.Members(storage.RoleAgent, now)...)
	versions := make([]InstanceVersion, 0, len(members))
	for i := range members {
		versions = append(versions, e.gossip.versionOf(members[i].ID, now))
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

// Serve keeps the links in sync with the instance table until ctx ends, then
// closes them. (Run is the method of Runner that starts an attempt.)
func (e *EntryClient) Serve(ctx context.Context) error {
	defer e.stopAll()
	for {
		changed := e.cfg.Members.Changed()
		e.reconcile(ctx, time.Now())
		// Handles bursts of changes, such as a list after an outage, together.
		pause.For(ctx, minReconcileInterval)
		timer := time.NewTimer(maxReconcileInterval)
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
