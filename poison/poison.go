// Package poison records the requests that were in progress when an upstream
// crashed. Processes exchange and merge their tables, so that every process
// refuses a request that crashes upstreams.
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
	// DefaultMaxFingerprints limits the table. It has room for the requests of 16
	// engines, with 256 requests each, that crash within one TTL.
	DefaultMaxFingerprints = 4096
	// DefaultHopAllowance is subtracted from the remaining time in each export. It
	// exceeds the transit time of a message on a live connection, so that a copy
	// expires before its source without synchronized clocks.
	DefaultHopAllowance = 2 * time.Second
)

// maxCrashIDs limits the crash IDs of a fingerprint. The smallest IDs are kept,
// which makes the union of limited sets independent of the merge order.
const maxCrashIDs = 8

// expiryChangeDivisor sets the increase of an expiry, TTL/expiryChangeDivisor, above
// which it counts as a change without a new crash ID. Smaller increases come from
// copies that arrive over fewer hops.
const expiryChangeDivisor = 10

// Status determines how a request may be run.
type Status int

// Statuses of a request.
const (
	Clear   Status = iota // no restriction
	Suspect               // may run only where no other suspect is running
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

// Config holds the limits of a Table. Zero fields select the defaults.
type Config struct {
	TTL             time.Duration
	BlockAfter      int
	MaxFingerprints int
	HopAllowance    time.Duration
}

// record is the state of a fingerprint. Merging two records yields the union of
// their crash IDs and the later expiry.
type record struct {
	crashIDs []uint64 // sorted, at most maxCrashIDs
	expires  time.Time
	sequence uint64 // sequence number of the last change, for ExportSince
}

// Table holds the suspects known to a process.
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

// RecordCrash records that the requests were in progress at a crash.
func (t *Table) RecordCrash(crashID uint64, fingerprints []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, fp := range fingerprints {
		if t.mergeRecord(fp, []uint64{crashID}, now.Add(t.cfg.TTL), now) {
			changed = true
		}
	}
	t.evictAndNotify(changed, now)
}

// Merge merges suspects of another process and reports whether the table has
// changed. Merging is commutative, associative and idempotent as long as the table
// is below its limit.
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
		if t.mergeRecord(s.GetFingerprint(), s.GetCrashIds(), now.Add(remaining), now) {
			changed = true
		}
	}
	t.evictAndNotify(changed, now)
	return changed
}

// mergeRecord merges a record and reports whether the change must be propagated
// to peers.
func (t *Table) mergeRecord(fp uint64, crashes []uint64, expires, now time.Time) bool {
	r := t.records[fp]
	if r == nil || !r.expires.After(now) {
		r = &record{}
		t.records[fp] = r
	}
	union := unionIDs(r.crashIDs, crashes)
	changed := !slices.Equal(union, r.crashIDs)
	if expires.Sub(r.expires) > t.cfg.TTL/expiryChangeDivisor {
		changed = true
	}
	r.crashIDs = union
	if expires.After(r.expires) {
		r.expires = expires
	}
	if changed {
		t.sequence++
		r.sequence = t.sequence
	}
	return changed
}

// unionIDs returns the maxCrashIDs smallest IDs of both sets in ascending order.
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

// evictAndNotify enforces the size limit and notifies watchers of a change.
func (t *Table) evictAndNotify(changed bool, now time.Time) {
	if len(t.records) > t.cfg.MaxFingerprints {
		t.evict(now)
	}
	if !changed {
		return
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// evict removes expired records, then the excess of unblocked before blocked
// records in order of expiry, so that blocked requests stay blocked.
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
	slices.SortFunc(fps, t.compareForEviction)
	for _, fp := range fps[:excess] {
		delete(t.records, fp)
	}
}

// compareForEviction orders fingerprints by eviction: unblocked before blocked ones,
// then by expiry.
func (t *Table) compareForEviction(a, b uint64) int {
	ra, rb := t.records[a], t.records[b]
	blockedA := len(ra.crashIDs) >= t.cfg.BlockAfter
	blockedB := len(rb.crashIDs) >= t.cfg.BlockAfter
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

// Export returns all suspects with their remaining time minus the hop allowance.
func (t *Table) Export(now time.Time) []*rpc.Suspect {
	suspects, _ := t.ExportSince(0, now)
	return suspects
}

// ExportSince returns the suspects that changed after a sequence number, and the
// number to pass in the next call. 0 selects all suspects.
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
			CrashIds:    slices.Clone(r.crashIDs),
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

// NextChange returns a channel that is closed at the next change. Callers obtain it
// before they read the table, so that they miss no change.
func (t *Table) NextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Status returns how a request may be run at the given time.
func (t *Table) Status(fingerprint uint64, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fingerprint]
	if r == nil || !r.expires.After(now) {
		return Clear
	}
	if len(r.crashIDs) >= t.cfg.BlockAfter {
		return Blocked
	}
	return Suspect
}

// Remaining returns the time until the status of the fingerprint is Clear, or 0 if
// it already is.
func (t *Table) Remaining(fingerprint uint64, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[fingerprint]
	if r == nil {
		return 0
	}
	return max(0, r.expires.Sub(now))
}

// Len returns the number of fingerprints in the table, including expired ones.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
