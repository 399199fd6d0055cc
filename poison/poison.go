// Package poison records the requests, and the parts of their prompts, that were in
// progress when an upstream crashed. Processes exchange and merge their tables, so that
// every process refuses a request that crashes upstreams, or one with a part that does.
package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

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
	// DefaultSoundTTL is how long an answer shows that the parts of its prompt are sound.
	// It bounds the time until a part is noticed that began to crash upstreams.
	DefaultSoundTTL = 30 * time.Second
	// DefaultMaxSound limits the parts that are known to be sound.
	DefaultMaxSound = 4096
)

// clearedTTL is how long a cleared record is kept, so that copies of its earlier state
// that are still exchanged do not restore it.
const clearedTTL = time.Minute

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
	SoundTTL        time.Duration
	MaxSound        int
	// OnChange is called, without locks held, after a fingerprint was blocked or
	// released. May be nil.
	OnChange func(Change)
}

// Change describes that a fingerprint was blocked or released.
type Change struct {
	Fingerprint uint64
	Blocked     bool
	Crashes     []uint64 // ids of the crashes that count, before a release
	Evidence    Evidence
}

// Evidence is the reason for a change.
type Evidence struct {
	Kind      EvidenceKind
	RequestID string // of the request whose answer cleared the fingerprint, if Kind is EvidenceAnswer
}

// EvidenceKind is a kind of Evidence, as it is logged.
type EvidenceKind string

// Kinds of Evidence.
const (
	EvidenceCrash EvidenceKind = "crash" // at this process
	// EvidenceLateCrash is a crash at this process well after the answer had begun. Peers
	// learn of it only together with a second crash.
	EvidenceLateCrash EvidenceKind = "late_crash"
	EvidenceAnswer    EvidenceKind = "answer"         // at this process
	EvidenceEarlier   EvidenceKind = "earlier_answer" // at this process, not long ago
	EvidencePeer      EvidenceKind = "peer"
	EvidenceExpired   EvidenceKind = "expired"
)

// record is the state of a fingerprint. Of two records that are merged, the one of the
// higher generation holds; those of the same generation yield the union of their crash
// IDs and the later expiry.
type record struct {
	generation uint32
	crashIDs   []uint64 // sorted, at most maxCrashIDs
	expires    time.Time
	sequence   uint64    // sequence number of the last change, for ExportSince
	own, heard uint64    // sequence numbers of the last changes for peers by this process, and by a peer
	crashedAt  time.Time // when this process learned of the last crash
	trialAt    time.Time // start of this process's last trial since then; zero for none
}

// Table holds the suspects known to a process.
type Table struct {
	cfg Config

	mu       sync.Mutex
	records  map[uint64]*record // by fingerprint
	sequence uint64
	changed  chan struct{}                     // closed at the next change
	sound    *simplelru.LRU[uint64, time.Time] // last answer with a part, by fingerprint
	changes  []Change                          // not yet passed to OnChange
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
	if cfg.SoundTTL <= 0 {
		cfg.SoundTTL = DefaultSoundTTL
	}
	if cfg.MaxSound <= 0 {
		cfg.MaxSound = DefaultMaxSound
	}
	sound, err := simplelru.NewLRU[uint64, time.Time](cfg.MaxSound, nil)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Table{
		cfg:     cfg,
		records: make(map[uint64]*record),
		changed: make(chan struct{}),
		sound:   sound,
	}
}

// unlock releases t.mu and passes the changes on.
func (t *Table) unlock() {
	changes := t.changes
	t.changes = nil
	t.mu.Unlock()
	if t.cfg.OnChange == nil {
		return
	}
	for _, c := range changes {
		t.cfg.OnChange(c)
	}
}

// RecordCrash records that the fingerprints were in progress at a crash, except for
// parts that are known to be sound. It returns the fingerprints that were recorded.
func (t *Table) RecordCrash(crashID uint64, fingerprints []uint64, now time.Time) []uint64 {
	return t.recordCrash(crashID, fingerprints, Evidence{Kind: EvidenceCrash}, now)
}

// RecordLateCrash is RecordCrash for requests whose answers were well under way.
func (t *Table) RecordLateCrash(crashID uint64, fingerprints []uint64, now time.Time) {
	t.recordCrash(crashID, fingerprints, Evidence{Kind: EvidenceLateCrash}, now)
}

func (t *Table) recordCrash(crashID uint64, fingerprints []uint64, evidence Evidence, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.unlock()
	changed := false
	var recorded []uint64
	for _, fp := range fingerprints {
		if t.isSound(fp, now) {
			continue
		}
		recorded = append(recorded, fp)
		var generation uint32
		if r := t.live(fp, now); r != nil {
			generation = r.generation
		}
		if t.mergeRecord(fp, record{generation: generation, crashIDs: []uint64{crashID}, expires: now.Add(t.cfg.TTL)}, evidence, now) {
			changed = true
		}
	}
	t.evictAndNotify(changed, now)
	return recorded
}

// RecordSound records an answer to a request. Its parts did not crash the upstream, so
// earlier crashes are no evidence against them, nor against the request.
func (t *Table) RecordSound(s *Subject, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	evidence := Evidence{Kind: EvidenceAnswer, RequestID: s.RequestID}
	changed := t.clear(s.Request, evidence, now)
	for _, p := range s.Parts {
		t.sound.Add(p.Fingerprint, now)
		changed = t.clear(p.Fingerprint, evidence, now) || changed
	}
	t.evictAndNotify(changed, now)
}

// isSound reports whether a recent answer shows that a part is sound.
func (t *Table) isSound(fp uint64, now time.Time) bool {
	at, known := t.sound.Peek(fp)
	return known && now.Sub(at) < t.cfg.SoundTTL
}

// live returns the record of a fingerprint, or nil.
func (t *Table) live(fp uint64, now time.Time) *record {
	if r := t.records[fp]; r != nil && r.expires.After(now) {
		return r
	}
	return nil
}

// clear removes the crashes of a fingerprint and reports whether there were any.
func (t *Table) clear(fp uint64, evidence Evidence, now time.Time) bool {
	r := t.live(fp, now)
	if r == nil || len(r.crashIDs) == 0 {
		return false
	}
	return t.mergeRecord(fp, record{generation: r.generation + 1, expires: now.Add(clearedTTL)}, evidence, now)
}

// Merge merges suspects of another process and reports whether the table has
// changed. Merging is commutative, associative and idempotent as long as the table
// is below its limit.
func (t *Table) Merge(suspects []*rpc.Suspect, now time.Time) (changed bool) {
	if len(suspects) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.unlock()
	for _, s := range suspects {
		remaining := time.Duration(s.GetExpiresInMs()) * time.Millisecond
		remaining = min(remaining, t.cfg.TTL)
		if remaining <= 0 || len(s.GetCrashIds()) == 0 && s.GetGeneration() == 0 {
			continue
		}
		fp := s.GetFingerprint()
		if t.mergeRecord(fp, record{generation: s.GetGeneration(), crashIDs: s.GetCrashIds(), expires: now.Add(remaining)}, Evidence{Kind: EvidencePeer}, now) {
			changed = true
		}
		if t.isSound(fp, now) {
			changed = t.clear(fp, Evidence{Kind: EvidenceEarlier}, now) || changed
		}
	}
	t.evictAndNotify(changed, now)
	return changed
}

// mergeRecord merges a record and reports whether the change must be propagated
// to peers.
func (t *Table) mergeRecord(fp uint64, other record, evidence Evidence, now time.Time) bool {
	r := t.live(fp, now)
	if r == nil {
		r = &record{generation: other.generation}
		t.records[fp] = r
	}
	before := r.crashIDs
	switch {
	case other.generation < r.generation:
		return false
	case other.generation > r.generation:
		r.generation, r.crashIDs, r.expires, r.trialAt = other.generation, nil, time.Time{}, time.Time{}
	}
	union := unionIDs(r.crashIDs, other.crashIDs)
	changed := !slices.Equal(union, before)
	later := other.expires.Sub(r.expires) > t.cfg.TTL/expiryChangeDivisor
	changed = changed || later
	if len(union) > len(r.crashIDs) || later { // a full record shows a new crash by its expiry only
		r.crashedAt, r.trialAt = now, time.Time{}
	}
	r.crashIDs = union
	if other.expires.After(r.expires) {
		r.expires = other.expires
	}
	if changed {
		t.sequence++
		r.sequence = t.sequence
		switch {
		case evidence.Kind == EvidencePeer:
			r.heard = t.sequence
		case evidence.Kind != EvidenceLateCrash || len(union) > 1:
			r.own = t.sequence
		}
	}
	t.noteChange(fp, before, union, evidence)
	return changed
}

// noteChange records that a fingerprint was blocked or released, for OnChange.
func (t *Table) noteChange(fp uint64, before, after []uint64, evidence Evidence) {
	was, is := len(before) >= t.cfg.BlockAfter, len(after) >= t.cfg.BlockAfter
	switch {
	case is && !was:
		t.changes = append(t.changes, Change{Fingerprint: fp, Blocked: true, Crashes: slices.Clone(after), Evidence: evidence})
	case was && !is:
		t.changes = append(t.changes, Change{Fingerprint: fp, Crashes: slices.Clone(before), Evidence: evidence})
	}
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
			t.noteChange(fp, r.crashIDs, nil, Evidence{Kind: EvidenceExpired})
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
	defer t.unlock()
	if sequence == t.sequence {
		return nil, sequence
	}
	t.removeExpired(now)
	var suspects []*rpc.Suspect
	for fp, r := range t.records {
		if r.sequence <= sequence {
			continue
		}
		if s := t.export(fp, r, now); s != nil {
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, compareFingerprint)
	return suspects, t.sequence
}

// export returns a record as it is sent, or nil if it expires on the way.
func (t *Table) export(fp uint64, r *record, now time.Time) *rpc.Suspect {
	remaining := r.expires.Sub(now) - t.cfg.HopAllowance
	if remaining < time.Millisecond {
		return nil
	}
	return &rpc.Suspect{Fingerprint: fp, CrashIds: slices.Clone(r.crashIDs), Generation: r.generation,
		ExpiresInMs: uint32(remaining / time.Millisecond)}
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
	r := t.live(fingerprint, now)
	switch {
	case r == nil || len(r.crashIDs) == 0:
		return Clear
	case len(r.crashIDs) >= t.cfg.BlockAfter:
		return Blocked
	}
	return Suspect
}

// Remaining returns the time until the status of the fingerprint is Clear, or 0 if
// it already is.
func (t *Table) Remaining(fingerprint uint64, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.live(fingerprint, now)
	if r == nil || len(r.crashIDs) == 0 {
		return 0
	}
	return r.expires.Sub(now)
}

// Len returns the number of fingerprints in the table, including expired ones.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
