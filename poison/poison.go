// Package poison keeps the requests that were in progress when an upstream
// crashed. The tables of all processes are merged along the control streams,
// so that a request that crashes upstreams is refused on every entry.
package poison

import (
	"slices"
	"sync"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Defaults of Config.
const (
	// DefaultTTL is how long a suspect is kept after its last crash.
	DefaultTTL = 10 * time.Minute
	// DefaultBlockAfter is the number of crashes after which a request is refused.
	DefaultBlockAfter = 2
	// DefaultMaxFingerprints bounds the table; 16 engines with 256 requests each can crash within one TTL.
	DefaultMaxFingerprints = 4096
	// DefaultHopAllowance is subtracted from the remaining time at each export.
	// It exceeds the time that a message can spend on a live connection, so a
	// copy expires before its source although clocks are not compared.
	DefaultHopAllowance = 2 * time.Second
)

// maxCrashIDs bounds the set of one fingerprint. The smallest ids are kept,
// which makes the union of bounded sets independent of the order of merges.
const maxCrashIDs = 8

// spreadDivisor: an expiry that rises by more than TTL/spreadDivisor without a
// new crash id counts as a change. Smaller rises come from shorter paths.
const spreadDivisor = 10

// Status says how a request may be run.
type Status int

// Values of Status.
const (
	Clear   Status = iota // no restriction
	Suspect               // only where no other suspect runs
	Blocked               // refused
)

// String returns the name used in logs and metrics.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Blocked:
		return "blocked"
	default:
		return "clear"
	}
}

// Config holds the limits of a Table. Zero fields get the defaults.
type Config struct {
	TTL             time.Duration
	BlockAfter      int
	MaxFingerprints int
	HopAllowance    time.Duration
}

// record is the state of one fingerprint. Two records merge to the union of
// the ids and the later expiry.
type record struct {
	crashes  []uint64 // sorted, at most maxCrashIDs
	expires  time.Time
	sequence uint64 // of the last change, for ExportSince
}

// Table holds the suspects known to one process.
type Table struct {
	cfg Config

	mu       sync.Mutex
	records  map[uint64]*record // by fingerprint
	sequence uint64
	changed  chan struct{} // closed at the next change
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.TTL <= 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.BlockAfter <= 0 {
		cfg.BlockAfter = DefaultBlockAfter
	}
	if cfg.MaxFingerprints <= 0 {
		cfg.MaxFingerprints = DefaultMaxFingerprints
	}
	if cfg.HopAllowance <= 0 {
		cfg.HopAllowance = DefaultHopAllowance
	}
	return &Table{
		cfg:     cfg,
		records: make(map[uint64]*record),
		changed: make(chan struct{}),
	}
}

// RecordCrash records that the requests were in progress at one crash.
func (t *Table) RecordCrash(crashID uint64, fingerprints []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, fp := range fingerprints {
		if t.join(fp, []uint64{crashID}, now.Add(t.cfg.TTL), now) {
			changed = true
		}
	}
	t.finish(changed, now)
}

// Merge joins suspects of another process and reports whether any was new here.
// The merge is commutative, associative and idempotent while the table is below
// its bound.
func (t *Table) Merge(suspects []*rpc.Suspect, now time.Time) (changed bool) {
	if len(suspects) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspects {
		remaining := time.Duration(s.GetExpiresInMs()) * time.Millisecond
		remaining = min(remaining, t.cfg.TTL)
		if remaining <= 0 || len(s.GetCrashIds()) == 0 {
			continue
		}
		if t.join(s.GetFingerprint(), s.GetCrashIds(), now.Add(remaining), now) {
			changed = true
		}
	}
	t.finish(changed, now)
	return changed
}

// join merges one record and reports whether peers should hear of it.
func (t *Table) join(fp uint64, crashes []uint64, expires, now time.Time) bool {
	r := t.records[fp]
	if r == nil || !r.expires.After(now) {
		r = &record{}
		t.records[fp] = r
	}
	union := unionIDs(r.crashes, crashes)
	changed := !slices.Equal(union, r.crashes)
	if expires.Sub(r.expires) > t.cfg.TTL/spreadDivisor {
		changed = true
	}
	r.crashes = union
	if expires.After(r.expires) {
		r.expires = expires
	}
	if changed {
		t.sequence++
		r.sequence = t.sequence
	}
	return changed
}

// unionIDs returns the maxCrashIDs smallest ids of both sets, sorted.
func unionIDs(a, b []uint64) []uint64 {
	union := make([]uint64, 0, len(a)+len(b))
	union = append(union, a...)
	union = append(union, b...)
	slices.Sort(union)
	union = slices.Compact(union)
	if len(union) > maxCrashIDs {
		union = union[:maxCrashIDs]
	}
	return union
}

// finish bounds the table and wakes the watchers.
func (t *Table) finish(changed bool, now time.Time) {
	if len(t.records) > t.cfg.MaxFingerprints {
		t.evict(now)
	}
	if !changed {
		return
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// evict removes expired records, then those with the fewest crashes and the
// earliest expiry, so that blocked requests stay blocked.
func (t *Table) evict(now time.Time) {
	t.removeExpired(now)
	excess := len(t.records) - t.cfg.MaxFingerprints
	if excess <= 0 {
		return
	}
	fps := make([]uint64, 0, len(t.records))
	for fp := range t.records {
		fps = append(fps, fp)
	}
	slices.SortFunc(fps, t.compareValue)
	for _, fp := range fps[:excess] {
		delete(t.records, fp)
	}
}

// compareValue orders fingerprints by how much is lost by forgetting them.
func (t *Table) compareValue(a, b uint64) int {
	ra, rb := t.records[a], t.records[b]
	blockedA := len(ra.crashes) >= t.cfg.BlockAfter
	blockedB := len(rb.crashes) >= t.cfg.BlockAfter
	if blockedA != blockedB {
		if blockedB {
			return -1
		}
		return 1
	}
	if c := ra.expires.Compare(rb.expires); c != 0 {
		return c
	}
	if a < b {
		return -1
	}
	return 1
}

func (t *Table) removeExpired(now time.Time) {
	for fp, r := range t.records {
		if !r.expires.After(now) {
			delete(t.records, fp)
		}
	}
}

// Export returns all suspects with their remaining time less the hop allowance.
func (t *Table) Export(now time.Time) []*rpc.Suspect {
	suspects, _ := t.ExportSince(0, now)
	return suspects
}

// ExportSince returns the suspects that changed after a sequence number, and
// the number to pass next time. 0 selects all.
func (t *Table) ExportSince(sequence uint64, now time.Time) ([]*rpc.Suspect, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sequence == t.sequence {
		return nil, sequence
	}
	t.removeExpired(now)
	var suspects []*rpc.Suspect
	for fp, r := range t.records {
		if r.sequence <= sequence {
			continue
		}
		remaining := r.expires.Sub(now) - t.cfg.HopAllowance
		if remaining < time.Millisecond {
			continue
		}
		suspects = append(suspects, &rpc.Suspect{
			Fingerprint: fp,
			CrashIds:    slices.Clone(r.crashes),
			ExpiresInMs: uint32(remaining / time.Millisecond),
		})
	}
	slices.SortFunc(suspects, compareFingerprint)
	return suspects, t.sequence
}

func compareFingerprint(a, b *rpc.Suspect) int {
	if a.Fingerprint < b.Fingerprint {
		return -1
	}
	if a.Fingerprint > b.Fingerprint {
		return 1
	}
	return 0
}

// NextChange returns a channel that is closed at the next change. Take it before
// reading the table, so that no change is missed.
func (t *Table) NextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Status says how a request may be run now.
func (t *Table) Status(fingerprint uint64, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fingerprint]
	if r == nil || !r.expires.After(now) {
		return Clear
	}
	if len(r.crashes) >= t.cfg.BlockAfter {
		return Blocked
	}
	return Suspect
}

// Remaining returns the time until the fingerprint is Clear, 0 when it is.
func (t *Table) Remaining(fingerprint uint64, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fingerprint]
	if r == nil {
		return 0
	}
	return max(0, r.expires.Sub(now))
}

// Len returns the number of fingerprints held, including expired ones.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
