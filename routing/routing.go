// Package routing chooses the upstream of an online attempt from a snapshot.
// It does no I/O and reads no clock.
package routing

import (
	"math"
	"time"

	"github.com/magnoliausher/magnoliausher/link"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Weights holds the parameters of upstream selection. Loads are in sequences per slot.
type Weights struct {
	LoadBound       float64       // an upstream at or above this load is chosen only when all candidates are
	PackBound       float64       // an upstream with online work is preferred up to this load
	AffinityBound   float64       // multiple of the mean load up to which an upstream with the cached prefix is preferred
	BatchWeight     float64       // load of a batch sequence relative to an online one
	PackMaxSent     int           // an upstream sent this many attempts since its last report is not packed further
	PackMaxInterval time.Duration // an upstream with a longer time between tokens is not packed further, unless it runs batch work
	StaleAfter      time.Duration // an upstream without news for longer than this is ineligible
}

// DefaultWeights returns the parameters used in production.
//
// BatchWeight is small because the agent preempts batch sequences for online work.
// PackBound keeps the online prompts of a packed upstream from pushing more than
// 5% of its steps beyond the target for the time between tokens.
// PackMaxSent bounds the prompts that queue behind each other on a packed upstream:
// reports are up to 500 ms apart, and the target for the first token is 310 ms.
// PackMaxInterval leaves a margin below the 55 ms target for the time between tokens.
// StaleAfter tolerates two consecutive missed reports (one is sent at least every 2 s).
func DefaultWeights() Weights {
	return Weights{
		LoadBound:       0.9,
		PackBound:       0.3,
		AffinityBound:   1.25,
		BatchWeight:     0.1,
		PackMaxSent:     6,
		PackMaxInterval: 45 * time.Millisecond,
		StaleAfter:      5 * time.Second,
	}
}

// Random is the subset of math/rand/v2.Rand that Choose needs.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Request describes an attempt to be routed. Choose does not retain its slices.
type Request struct {
	DataCentre string   // data centre of the entry
	Prefix     uint64   // hash of the cacheable prompt prefix; 0 for none
	Excluded   []string // agents that earlier attempts of the request were sent to
	Suspect    bool     // the request may have crashed an upstream; it must not share one with another suspect
	SuspectsAt []string // agents that are running a suspect request
	Now        time.Time
}

// Rule is the preference class of a candidate; lower values are preferred.
type Rule uint8

// Rules in order of preference.
const (
	LocalPrefix  Rule = iota // local, has the prefix cached, within the affinity bound
	LocalPacked              // local, has online work, within the pack bound
	LocalFree                // local, within the pack bound
	LocalBusy                // local, below the load bound
	RemotePrefix             // as LocalPrefix in another data centre
	RemotePacked             // as LocalPacked in another data centre
	RemoteFree               // as LocalFree in another data centre
	RemoteBusy               // as LocalBusy in another data centre
	Overloaded               // every candidate is at or above the load bound
	ruleCount
)

var ruleNames = [ruleCount]string{
	"local_prefix", "local_packed", "local_free", "local_busy",
	"remote_prefix", "remote_packed", "remote_free", "remote_busy", "overloaded",
}

// isPacking reports whether the rule consolidates online work on upstreams that
// already have some, so that lightly loaded ones become idle.
func (r Rule) isPacking() bool {
	switch r {
	case LocalPrefix, LocalPacked, RemotePrefix, RemotePacked:
		return true
	}
	return false
}

// String returns the name that logs use.
func (r Rule) String() string { return ruleNames[r] }

// CandidateCounts counts the candidates, and the other upstreams by the reason for
// which they are ineligible.
type CandidateCounts struct {
	Candidates   int
	Excluded     int
	Disconnected int
	Leaving      int
	Down         int
	Stale        int
	SuspectBusy  int
}

// Decision is the result of Choose.
type Decision struct {
	Index  int // position in the snapshot; -1 when there is no candidate
	Rule   Rule
	Load   float64 // load of the chosen upstream without the new attempt
	Counts CandidateCounts
}

// Found reports whether an upstream was chosen.
func (d *Decision) Found() bool { return d.Index >= 0 }

// Choose selects an upstream by the power of two choices among the candidates of
// the best rule that has any. Packing rules take the more loaded of the two, the
// other rules the less loaded.
func Choose(snapshot []link.Upstream, r *Request, w *Weights, rnd Random) Decision {
	local, remote, counts := summarizeCandidates(snapshot, r, w)
	if counts.Candidates == 0 {
		return Decision{Index: -1, Counts: counts}
	}
	s := sample{rule: ruleCount}
	for i := range snapshot {
		u := &snapshot[i]
		if eligibilityOf(u, r, w) == eligible {
			s.add(i, bestRule(u, r, w, &local, &remote), rnd)
		}
	}
	first := Load(&snapshot[s.picked[0]], w)
	if s.seen == 1 {
		return Decision{Index: s.picked[0], Rule: s.rule, Load: first, Counts: counts}
	}
	second := Load(&snapshot[s.picked[1]], w)
	better := second < first
	if s.rule.isPacking() {
		better = second > first
	}
	if better || (second == first && rnd.IntN(2) == 0) {
		return Decision{Index: s.picked[1], Rule: s.rule, Load: second, Counts: counts}
	}
	return Decision{Index: s.picked[0], Rule: s.rule, Load: first, Counts: counts}
}

// sample holds two random candidates of the best rule seen so far. Reservoir
// sampling gives every pair the same probability.
type sample struct {
	rule   Rule
	seen   int
	picked [2]int
}

func (s *sample) add(index int, rule Rule, rnd Random) {
	if rule > s.rule {
		return
	}
	if rule < s.rule {
		*s = sample{rule: rule}
	}
	slot := s.seen
	s.seen++
	if slot >= len(s.picked) {
		slot = rnd.IntN(s.seen)
	}
	if slot < len(s.picked) {
		s.picked[slot] = index
	}
}

// Load returns the sequences per slot: those in the last report plus the attempts
// that this entry has sent since.
func Load(u *link.Upstream, w *Weights) float64 {
	return weightedSequences(u, w) / slots(u)
}

func weightedSequences(u *link.Upstream, w *Weights) float64 {
	l := u.Load
	online := float64(l.GetOnlineActive()) + float64(l.GetOnlineQueued()) + float64(u.SentSince)
	// The report may lag behind; this entry's attempts in progress are a lower bound.
	online = max(online, float64(u.InProgress))
	return online + w.BatchWeight*float64(l.GetBatchActive())
}

func slots(u *link.Upstream) float64 {
	return float64(max(u.Load.GetSlots(), 1))
}

func hasOnlineWork(u *link.Upstream) bool {
	return u.Load.GetOnlineActive() > 0 || u.SentSince > 0 || u.InProgress > 0
}

type eligibility uint8

const (
	eligible eligibility = iota
	excluded
	disconnected
	leaving
	down
	stale
	suspectBusy
)

// eligibilityOf returns eligible for a candidate, otherwise the first reason against it.
func eligibilityOf(u *link.Upstream, r *Request, w *Weights) eligibility {
	switch {
	case !u.Connected:
		return disconnected
	case u.Leaving || u.Load.GetState() == rpc.UpstreamState_UPSTREAM_STATE_LEAVING:
		return leaving
	case u.Load.GetState() != rpc.UpstreamState_UPSTREAM_STATE_READY:
		return down
	case r.Now.Sub(u.LastHeard) > w.StaleAfter:
		return stale
	case contains(r.Excluded, u.AgentID):
		return excluded
	case r.Suspect && contains(r.SuspectsAt, u.AgentID):
		return suspectBusy
	}
	return eligible
}

func contains(ids []string, id string) bool {
	for _, have := range ids {
		if have == id {
			return true
		}
	}
	return false
}

// candidateTotals sums the candidates of the local data centre or of all others.
type candidateTotals struct {
	sequences float64
	slots     float64
}

// maxSequences returns the sequences that an upstream with n slots may run at the
// given multiple of the mean load, including the new request. It rounds up so that
// at least one request fits.
func (t *candidateTotals) maxSequences(multiple, n float64) float64 {
	return math.Ceil(multiple * (t.sequences + 1) / t.slots * n)
}

func summarizeCandidates(snapshot []link.Upstream, r *Request, w *Weights) (local, remote candidateTotals, t CandidateCounts) {
	for i := range snapshot {
		u := &snapshot[i]
		switch eligibilityOf(u, r, w) {
		case eligible:
			t.Candidates++
		case excluded:
			t.Excluded++
			continue
		case disconnected:
			t.Disconnected++
			continue
		case leaving:
			t.Leaving++
			continue
		case down:
			t.Down++
			continue
		case stale:
			t.Stale++
			continue
		case suspectBusy:
			t.SuspectBusy++
			continue
		}
		totals := &remote
		if u.DataCentre == r.DataCentre {
			totals = &local
		}
		totals.sequences += weightedSequences(u, w)
		totals.slots += slots(u)
	}
	return local, remote, t
}

// bestRule returns the most preferred rule that the candidate satisfies.
func bestRule(u *link.Upstream, r *Request, w *Weights, local, remote *candidateTotals) Rule {
	current := weightedSequences(u, w)
	n := slots(u)
	if current/n >= w.LoadBound {
		return Overloaded
	}
	totals, offset := local, LocalPrefix
	if u.DataCentre != r.DataCentre {
		totals, offset = remote, RemotePrefix
	}
	if hasPrefix(u, r.Prefix) && canPack(u, w) && current+1 <= max(totals.maxSequences(w.AffinityBound, n), w.PackBound*n) {
		return offset + LocalPrefix
	}
	if current+1 > w.PackBound*n {
		return offset + LocalBusy
	}
	if canPack(u, w) {
		return offset + LocalPacked
	}
	return offset + LocalFree
}

// canPack reports whether the upstream may take more online work by a packing rule.
// Many attempts since the last report indicate a burst, whose prompts would queue
// behind each other. A long time between tokens does not count while batch work
// runs, because the agent preempts that work.
func canPack(u *link.Upstream, w *Weights) bool {
	interval := time.Duration(u.Load.GetTokenIntervalUs()) * time.Microsecond
	if u.SentSince >= w.PackMaxSent {
		return false
	}
	return hasOnlineWork(u) && (interval <= w.PackMaxInterval || u.Load.GetBatchActive() > 0)
}

func hasPrefix(u *link.Upstream, prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	_, ok := u.Prefixes[prefix]
	return ok
}
