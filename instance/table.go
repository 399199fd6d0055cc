// Package instance maintains the membership of the fleet. It merges the
// platform's instance list, which lags, with the state observed on links, and
// selects the subset of agents that an entry connects to.
package instance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

// Defaults of Config.
const (
	// DefaultSlowStart is the time until a new instance has full weight. A newly
	// started engine has an empty prefix cache and has not compiled its kernels.
	DefaultSlowStart = 30 * time.Second
	// DefaultMinWeight is the weight at the beginning of the slow start.
	DefaultMinWeight = 0.1
	// DefaultUnlistedRetention limits how long an instance that is no longer in
	// the list remains usable while its link works.
	DefaultUnlistedRetention = 10 * time.Minute
)

// Config configures a Table. Zero fields are set to the defaults.
type Config struct {
	SlowStart         time.Duration
	MinWeight         float64
	UnlistedRetention time.Duration
}

// Observation is the state of a peer as observed on a link.
type Observation struct {
	Connected   bool
	Leaving     bool
	Silent      bool
	Incarnation uint64 // 0 if not received yet
}

// Member is the state of one instance at one time.
type Member struct {
	storage.Instance
	Observed Observation
	Listed   bool    // in the last list of the platform
	Leaving  bool    // according to the list or its own notice; gets no new work
	Usable   bool    // may get new work
	Weight   float64 // 0 to 1; share of new work relative to others
}

type record struct {
	instance      storage.Instance
	observed      Observation
	listed        bool
	unlistedAt    time.Time // time of the first list without it
	slowStartFrom time.Time // start of the slow start; zero means full weight
}

// Table merges the platform's instance list with observations of links. It is
// safe for concurrent use.
type Table struct {
	cfg Config

	mu       sync.Mutex
	records  map[string]*record // by instance id
	revision uint64
	loaded   bool
	lists    uint64        // lists applied so far
	changed  chan struct{} // closed at the next change
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.SlowStart <= 0 {
		cfg.SlowStart = DefaultSlowStart
	}
	if cfg.MinWeight <= 0 {
		cfg.MinWeight = DefaultMinWeight
	}
	if cfg.UnlistedRetention <= 0 {
		cfg.UnlistedRetention = DefaultUnlistedRetention
	}
	return &Table{
		cfg:     cfg,
		records: make(map[string]*record),
		changed: make(chan struct{}),
	}
}

// ApplyList applies a list of the platform. It ignores a nil list and a list with
// the current revision. A lower revision is applied, because the platform may
// have restarted its counter; it can't be a delayed response, because Poll reads
// one list at a time.
func (t *Table) ApplyList(list []storage.Instance, revision uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list == nil || (t.loaded && revision == t.revision) {
		return
	}
	seen := make(map[string]struct{}, len(list))
	for _, in := range list {
		seen[in.ID] = struct{}{}
		t.applyItem(in, now)
	}
	for id, r := range t.records {
		if _, ok := seen[id]; ok {
			continue
		}
		if r.listed {
			r.listed = false
			r.unlistedAt = now
		}
	}
	t.revision = revision
	t.loaded = true
	t.lists++
	t.removeAbsent(now)
	t.notify()
}

// ApplyPeers applies a list of instances from peers, which is used until the
// platform's list has been read once.
func (t *Table) ApplyPeers(list []storage.Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded || len(list) == 0 {
		return
	}
	for _, in := range list {
		t.applyItem(in, now)
	}
	t.lists++
	t.notify()
}

// Loaded reports whether the platform's list has been read.
func (t *Table) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// ListCount returns the number of lists applied, from the platform or from peers.
// A changed count means that there is a new list.
func (t *Table) ListCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lists
}

// applyItem applies one item of an instance list.
func (t *Table) applyItem(in storage.Instance, now time.Time) {
	r := t.records[in.ID]
	if r == nil {
		r = &record{}
		t.records[in.ID] = r
		if t.loaded { // instances in the first list may have been running for long
			r.slowStartFrom = now
		}
	}
	r.instance = in
	r.listed = true
	r.unlistedAt = time.Time{}
}

// Observe applies the state observed on a link. Unknown instances are ignored.
func (t *Table) Observe(id string, o Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		return
	}
	old := r.observed
	if o.Incarnation == 0 {
		o.Incarnation = old.Incarnation
	}
	restarted := old.Incarnation != 0 && o.Incarnation != old.Incarnation
	if restarted {
		r.slowStartFrom = now
	}
	if old.Leaving && !restarted {
		o.Leaving = true // a leaving process never accepts work again
	}
	if o == old {
		return
	}
	r.observed = o
	t.notify()
}

// notify wakes the receivers of Changed.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change. Call it before
// reading the table, so that no change is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Revision returns the revision of the platform's last list, or 0 before the
// first one.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Members returns the instances of a role sorted by id. It includes unlisted
// instances while their link works, for at most Config.UnlistedRetention.
func (t *Table) Members(role storage.Role, now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, r := range t.records {
		if r.instance.Role == role && t.present(r, now) {
			members = append(members, t.member(r, now))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Member returns the instance with the id, if it is present.
func (t *Table) Member(id string, now time.Time) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || !t.present(r, now) {
		return Member{}, false
	}
	return t.member(r, now), true
}

// present reports whether the instance is listed, or unlisted with a working link
// within the retention time.
func (t *Table) present(r *record, now time.Time) bool {
	if r.listed {
		return true
	}
	working := r.observed.Connected && !r.observed.Silent
	return working && now.Sub(r.unlistedAt) < t.cfg.UnlistedRetention
}

func (t *Table) member(r *record, now time.Time) Member {
	m := Member{
		Instance: r.instance,
		Observed: r.observed,
		Listed:   r.listed,
		Leaving:  r.observed.Leaving || r.instance.State == storage.InstanceLeaving,
		Weight:   t.weight(r, now),
	}
	m.Usable = !m.Leaving && !m.Observed.Silent
	return m
}

// weight increases linearly from MinWeight to 1 during the slow start.
func (t *Table) weight(r *record, now time.Time) float64 {
	age := now.Sub(r.slowStartFrom)
	if r.slowStartFrom.IsZero() || age >= t.cfg.SlowStart {
		return 1
	}
	share := float64(max(0, age)) / float64(t.cfg.SlowStart)
	return t.cfg.MinWeight + (1-t.cfg.MinWeight)*share
}

// removeAbsent deletes the records of instances that are no longer present.
func (t *Table) removeAbsent(now time.Time) {
	for id, r := range t.records {
		if !t.present(r, now) {
			delete(t.records, id)
		}
	}
}
