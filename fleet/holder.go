package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ExpiryGrace is how long an upstream stays in use after its entry expired while
// the store was unavailable. Live upstreams register again within 2 s of the
// store's recovery; the remainder allows for propagation to the readers.
const ExpiryGrace = 2200 * time.Millisecond

// tombstoneTTL is how long a removed entry is remembered, so that a stale copy from a
// peer cannot restore it. It exceeds the delay of any peer's answer.
const tombstoneTTL = 5 * time.Minute

// View is an immutable snapshot of what a process knows of the deployment.
type View struct {
	Configuration *Configuration // nil until the first one is received
	Records       []Record       // including removed ones
	ListVersion   uint64         // highest version among the records
	Synced        bool           // the list of upstreams has been read at least once
	upstreams     map[string][]*Upstream
	versions      map[string][]string  // software versions of the upstreams that are listed or usable, by service
	listed        map[string]*Upstream // by id, those whose records are not removed
}

// Usable returns the upstreams of a service that accept new work.
func (v *View) Usable(service string) []*Upstream { return v.upstreams[service] }

// SoftwareVersions returns the versions of the upstreams of a service that are listed, also
// of draining ones, or usable, in no order. The caller must not change it.
func (v *View) SoftwareVersions(service string) []string { return v.versions[service] }

// Contains reports whether an upstream is in the list, usable or not.
func (v *View) Contains(id string) bool { return v.listed[id] != nil }

// Upstream returns an upstream of the list, usable or not; nil if it is not listed.
func (v *View) Upstream(id string) *Upstream { return v.listed[id] }

// Ready reports whether the view is complete enough to route requests.
func (v *View) Ready() bool { return v.Configuration != nil && v.Synced }

// Holder merges updates from the store and from peers and publishes views. It is
// safe for concurrent use.
type Holder struct {
	view atomic.Pointer[View]

	mu         sync.Mutex
	records    map[string]*recordState
	leaving    map[string]int64 // start of the incarnation that said that it leaves, by upstream id
	graceUntil time.Time        // removals before this time keep the upstream in use until then
}

type recordState struct {
	Record
	removedAt time.Time
	keptUntil time.Time // a removed upstream stays in use until then
}

// NewHolder returns a holder with an empty view.
func NewHolder() *Holder {
	h := &Holder{records: make(map[string]*recordState), leaving: make(map[string]int64)}
	h.view.Store(&View{})
	return h
}

// View returns the current view.
func (h *Holder) View() *View { return h.view.Load() }

// Configure applies a configuration unless an equal or newer one is in force. It
// reports whether it was applied.
func (h *Holder) Configure(c *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held := h.view.Load().Configuration; held != nil && held.Version >= c.Version {
		return false
	}
	next := *h.view.Load()
	next.Configuration = c
	h.view.Store(&next)
	return true
}

// StoreRecovered notes that the store can be read again after an outage.
// Upstreams found removed within ExpiryGrace stay in use until the grace period
// ends.
func (h *Holder) StoreRecovered(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.graceUntil = now.Add(ExpiryGrace)
}

// Replace applies a full list read at a version. Upstreams that are not in the list
// and have no newer version are removed.
func (h *Holder) Replace(list []Record, version uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[string]bool, len(list))
	for i := range list {
		seen[list[i].ID] = true
		h.apply(list[i], now)
	}
	for id, held := range h.records {
		if !seen[id] && !held.Removed && held.Version <= version {
			removed := held.Record
			removed.Removed, removed.Version = true, version
			h.apply(removed, now)
		}
	}
	h.rebuild(now)
}

// Apply merges changed entries.
func (h *Holder) Apply(list []Record, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range list {
		h.apply(list[i], now)
	}
	h.rebuild(now)
}

// MarkLeaving stops the use of an incarnation that has said that it leaves, until a
// later one is registered. It reports whether this was not known.
func (h *Holder) MarkLeaving(u *Upstream, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.records[u.ID]
	if held == nil || held.Started > u.Started || h.isLeaving(held) {
		return false
	}
	h.leaving[u.ID] = u.Started
	h.rebuild(now)
	return true
}

// isLeaving reports whether the incarnation has said that it leaves. The caller holds
// the lock.
func (h *Holder) isLeaving(held *recordState) bool {
	started, said := h.leaving[held.ID]
	return said && held.Started <= started
}

// Expire ends elapsed grace periods and drops old tombstones.
func (h *Holder) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	due := false
	for id, held := range h.records {
		if !held.keptUntil.IsZero() && !held.keptUntil.After(now) {
			held.keptUntil = time.Time{}
			due = true
		}
		if held.Removed && now.Sub(held.removedAt) > tombstoneTTL {
			delete(h.records, id)
			delete(h.leaving, id)
		}
	}
	if due {
		h.rebuild(now)
	}
}

func (h *Holder) apply(r Record, now time.Time) {
	held := h.records[r.ID]
	if held == nil {
		h.records[r.ID] = &recordState{Record: r, removedAt: now}
		return
	}
	if r.Version <= held.Version {
		return
	}
	next := &recordState{Record: r}
	if r.Removed && held.Started == 0 {
		delete(h.leaving, r.ID) // nothing else tells a later incarnation from this one
	}
	if r.Removed {
		next.Upstream = held.Upstream
		next.removedAt = now
		if held.usable() && now.Before(h.graceUntil) {
			next.keptUntil = h.graceUntil
		}
	}
	h.records[r.ID] = next
}

// rebuild publishes a view of the current records. The caller holds the lock.
func (h *Holder) rebuild(now time.Time) {
	next := *h.view.Load()
	next.Synced = true
	next.ListVersion = 0
	next.Records = make([]Record, 0, len(h.records))
	next.upstreams = make(map[string][]*Upstream)
	next.versions = make(map[string][]string)
	next.listed = make(map[string]*Upstream)
	for _, held := range h.records {
		next.Records = append(next.Records, held.Record)
		next.ListVersion = max(next.ListVersion, held.Version)
		if !held.Removed {
			u := held.Upstream
			next.listed[held.ID] = &u
			next.addVersion(&u)
		}
		if h.isLeaving(held) {
			continue
		}
		if held.usable() || held.keptUntil.After(now) && !held.Draining {
			u := held.Upstream
			next.upstreams[u.Service] = append(next.upstreams[u.Service], &u)
			next.addVersion(&u)
		}
	}
	h.view.Store(&next)
}

func (v *View) addVersion(u *Upstream) {
	if list := v.versions[u.Service]; !slices.Contains(list, u.SoftwareVersion) {
		v.versions[u.Service] = append(list, u.SoftwareVersion)
	}
}

// State is the part of a view that gateways exchange.
type State struct {
	Version uint64 // of the configuration; 0 for none
	Routes  []Route
	Limits  Limits
	// Organisations of the configuration, with the hashes of their keys only; null if
	// callers need no keys.
	Organisations []Organisation
	// HasOrganisations says that the sender knows organisations. The build before does not,
	// and what it sends would open all routes to callers without keys.
	HasOrganisations bool
	Listed           bool
	Records          []Record
	// HasSoftwareVersions says that the sender knows software versions. In what the build
	// before sends, all upstreams would seem to have the same.
	HasSoftwareVersions bool
}

// StateSince returns what a peer lacks that has the given versions of the
// configuration and of the list. 0 means that it has none.
func (v *View) StateSince(configuration, list uint64) State {
	s := State{Listed: v.Synced, HasOrganisations: true, HasSoftwareVersions: true}
	for i := range v.Records {
		if v.Records[i].Version > list {
			s.Records = append(s.Records, v.Records[i])
		}
	}
	if c := v.Configuration; c != nil && c.Version > configuration {
		s.Version, s.Routes, s.Limits, s.Organisations = c.Version, c.Routes, c.Limits, c.Organisations()
	}
	return s
}

// Versions returns the versions of the view in the form that StateSince takes. The
// list version is 0 until a full list has been read.
func (v *View) Versions() (configuration, list uint64) {
	if v.Configuration != nil {
		configuration = v.Configuration.Version
	}
	if v.Synced {
		list = v.ListVersion
	}
	return configuration, list
}

// MergeState merges newer state received from a peer.
func (h *Holder) MergeState(s State, now time.Time) {
	if s.Version > 0 && s.HasOrganisations {
		h.Configure(NewOrganisationConfiguration(s.Version, s.Routes, s.Limits, s.Organisations))
	}
	if s.Listed && s.HasSoftwareVersions {
		h.Apply(s.Records, now)
	}
}
