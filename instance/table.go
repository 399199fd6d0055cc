// Package instance holds the membership of the fleet: the platform's lagging
// list joined with what the links observe, and the choice of the agents that
// an entry links to.
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
	// DefaultSlowStart is the time in which a newcomer reaches full weight. A fresh
	// engine has an empty prefix cache and has not compiled its kernels.
	DefaultSlowStart = 30 * time.Second
	// DefaultMinWeight is a newcomer's weight at the start of its ramp.
	DefaultMinWeight = 0.1
	// DefaultUnlistedRetention bounds how long an instance that the list no longer
	// shows stays usable while its link works.
	DefaultUnlistedRetention = 10 * time.Minute
)

// Config holds the limits of a Table. Zero fields get the defaults.
type Config struct {
	SlowStart         time.Duration
	MinWeight         float64
	UnlistedRetention time.Duration
}

// Observation is what a link knows of its peer.
type Observation struct {
	Connected   bool
	Leaving     bool
	Silent      bool
	Incarnation uint64 // 0 when not heard yet
}

// Member is one instance as the table sees it at one time.
type Member struct {
	storage.Instance
	Observed Observation
	Listed   bool    // in the platform's last list
	Leaving  bool    // by the list or by its own notice; it gets nothing new
	Usable   bool    // may get new work
	Weight   float64 // 0 to 1; share of new work relative to others
}

type record struct {
	instance   storage.Instance
	observed   Observation
	listed     bool
	unlistedAt time.Time // when the list first lacked it
	rampFrom   time.Time // zero: full weight
}

// Table joins the platform's list with observations of links.
type Table struct {
	cfg Config

	mu       sync.Mutex
	records  map[string]*record // by instance id
	revision uint64
	loaded   bool
	lists    uint64        // lists taken so far
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

// ApplyList takes a list of the platform. A nil list or one with the present
// revision changes nothing. A lower revision is taken, because the service may
// have restarted its count; Poll reads one list at a time, so it is no late answer.
func (t *Table) ApplyList(list []storage.Instance, revision uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list == nil || (t.loaded && revision == t.revision) {
		return
	}
	seen := make(map[string]struct{}, len(list))
	for _, in := range list {
		seen[in.ID] = struct{}{}
		t.list(in, now)
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
	t.removeGone(now)
	t.notify()
}

// ApplyPeers takes instances that peers know. They stand in for the platform's
// list until it is first read.
func (t *Table) ApplyPeers(list []storage.Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded || len(list) == 0 {
		return
	}
	for _, in := range list {
		t.list(in, now)
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

// ListCount counts the lists taken, from the platform or from peers, so that a
// change of the count shows a new list.
func (t *Table) ListCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lists
}

// list takes one line of the platform's list.
func (t *Table) list(in storage.Instance, now time.Time) {
	r := t.records[in.ID]
	if r == nil {
		r = &record{}
		t.records[in.ID] = r
		if t.loaded { // the first list shows instances that may be old
			r.rampFrom = now
		}
	}
	r.instance = in
	r.listed = true
	r.unlistedAt = time.Time{}
}

// Observe takes what a link knows of its peer. Unknown instances are ignored.
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
		r.rampFrom = now
	}
	if old.Leaving && !restarted {
		o.Leaving = true // a process that leaves never returns to work
	}
	if o == old {
		return
	}
	r.observed = o
	t.notify()
}

// notify wakes the watchers.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change. Take it before
// reading the table, so that no change is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Revision returns the revision of the last list, 0 before the first.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Members returns the instances of a role sorted by id. Unlisted ones are
// included while their link works, for at most KeepUnlisted.
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

// Member returns one instance.
func (t *Table) Member(id string, now time.Time) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || !t.present(r, now) {
		return Member{}, false
	}
	return t.member(r, now), true
}

// present reports whether the instance may still exist.
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

// weight rises linearly from MinWeight to 1 during the ramp.
func (t *Table) weight(r *record, now time.Time) float64 {
	age := now.Sub(r.rampFrom)
	if r.rampFrom.IsZero() || age >= t.cfg.SlowStart {
		return 1
	}
	share := float64(max(0, age)) / float64(t.cfg.SlowStart)
	return t.cfg.MinWeight + (1-t.cfg.MinWeight)*share
}

// removeGone forgets instances that are neither listed nor linked.
func (t *Table) removeGone(now time.Time) {
	for id, r := range t.records {
		if !t.present(r, now) {
			delete(t.records, id)
		}
	}
}
