// Package routing chooses the upstream of an online attempt from a snapshot.
// It does no I/O and reads no clock.
package routing

import (
	"math"
	"time"

	"github.com/magnoliausher/magnoliausher/link"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Weights are the constants of the selection. Loads are sequences per slot.
type Weights struct {
	LoadBound       float64       // an upstream at or above it is used only when all are
	PackBound       float64       // an upstream with online work is preferred below it
	AffinityBound   float64       // multiple of the mean load up to which a cached prefix is preferred
	BatchWeight     float64       // load of a batch sequence relative to an online one
	PackMaxSent     int           // an upstream with as many own attempts since its report is not packed further
	PackMaxInterval time.Duration // an upstream with a longer time between tokens is not packed further
	StaleAfter      time.Duration // an upstream not heard of for this long is not used
}

// DefaultWeights returns the weights of production.
//
// Batch sequences count little because the agent preempts them for online work.
// PackBound keeps the online prompts of a packed upstream from lengthening more
// than 5% of its steps beyond the target between tokens.
// PackMaxSent bounds the prompts that wait for each other on a packed upstream:
// reports are up to 500 ms apart, and the target of the first token is 310 ms.
// PackMaxInterval leaves a margin below the target of 55 ms between tokens.
// StaleAfter covers two reports missed in a row (sent at least every 2 s).
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

// Random is the part of math/rand/v2.Rand that the selection needs.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Request says what the attempt needs. Slices are read, never kept.
type Request struct {
	DataCentre string   // of the entry
	Prefix     uint64   // hash of the cacheable prompt prefix; 0 for none
	Excluded   []string // agents that earlier attempts of the request used
	Suspect    bool     // the attempt must not share an upstream with another suspect
	SuspectsAt []string // agents known to run a suspect
	Now        time.Time
}

// Rule names the preference by which an upstream was chosen, best first.
type Rule uint8

// Rules in order of preference.
const (
	LocalPrefix  Rule = iota // local, holds the prefix, below the affinity bound
	LocalPacked              // local, carries online work, below the pack bound
	LocalFree                // local, below the pack bound
	LocalBusy                // local, below the load bound
	RemotePrefix             // as LocalPrefix in another data centre
	RemotePacked             // as LocalPacked in another data centre
	RemoteFree               // as LocalFree in another data centre
	RemoteBusy               // as LocalBusy in another data centre
	Overloaded               // every candidate is at or above the load bound
	rules
)

var ruleNames = [rules]string{
	"local_prefix", "local_packed", "local_free", "local_busy",
	"remote_prefix", "remote_packed", "remote_free", "remote_busy", "overloaded",
}

// packs reports whether the rule fills up upstreams that carry online work, so
// that the ones with little of it run empty.
func (r Rule) packs() bool {
	switch r {
	case LocalPrefix, LocalPacked, RemotePrefix, RemotePacked:
		return true
	}
	return false
}

// String gives the rule's name in logs.
func (r Rule) String() string { return ruleNames[r] }

// CandidateCounts counts upstreams by why they were no candidates.
type CandidateCounts struct {
	Candidates   int
	Excluded     int
	Disconnected int
	Leaving      int
	Down         int
	Stale        int
	SuspectBusy  int
}

// Decision is the chosen upstream.
type Decision struct {
	Index  int // in the snapshot; -1 when there is no candidate
	Rule   Rule
	Load   float64 // of the chosen upstream before the attempt
	Counts CandidateCounts
}

// Found reports whether an upstream was chosen.
func (d *Decision) Found() bool { return d.Index >= 0 }

// Choose selects an upstream: power of two choices within the best rule that
// has a candidate. Rules that pack prefer the higher load, the others the lower.
func Choose(snapshot []link.Upstream, r *Request, w *Weights, rnd Random) Decision {
	local, remote, tally := survey(snapshot, r, w)
	if tally.Candidates == 0 {
		return Decision{Index: -1, Counts: tally}
	}
	s := sample{rule: rules}
	for i := range snapshot {
		u := &snapshot[i]
		if obstacle(u, r, w) == none {
			s.offer(i, ruleOf(u, r, w, &local, &remote), rnd)
		}
	}
	first := Load(&snapshot[s.picked[0]], w)
	if s.seen == 1 {
		return Decision{Index: s.picked[0], Rule: s.rule, Load: first, Counts: tally}
	}
	second := Load(&snapshot[s.picked[1]], w)
	better := second < first
	if s.rule.packs() {
		better = second > first
	}
	if better || (second == first && rnd.IntN(2) == 0) {
		return Decision{Index: s.picked[1], Rule: s.rule, Load: second, Counts: tally}
	}
	return Decision{Index: s.picked[0], Rule: s.rule, Load: first, Counts: tally}
}

// sample keeps two candidates of the best rule so far, each pair with the same
// probability (reservoir sampling).
type sample struct {
	rule   Rule
	seen   int
	picked [2]int
}

func (s *sample) offer(index int, rule Rule, rnd Random) {
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

// Load is the last report plus own attempts sent since, per slot.
func Load(u *link.Upstream, w *Weights) float64 {
	return work(u, w) / slots(u)
}

func work(u *link.Upstream, w *Weights) float64 {
	l := u.Load
	online := float64(l.GetOnlineActive()) + float64(l.GetOnlineQueued()) + float64(u.SentSince)
	// The own attempts in progress are a lower bound when the report lags.
	online = max(online, float64(u.InProgress))
	return online + w.BatchWeight*float64(l.GetBatchActive())
}

func slots(u *link.Upstream) float64 {
	return float64(max(u.Load.GetSlots(), 1))
}

func hasOnline(u *link.Upstream) bool {
	return u.Load.GetOnlineActive() > 0 || u.SentSince > 0 || u.InProgress > 0
}

type reason uint8

const (
	none reason = iota
	excluded
	disconnected
	leaving
	down
	silent
	suspectBusy
)

// obstacle says why the upstream is no candidate.
func obstacle(u *link.Upstream, r *Request, w *Weights) reason {
	switch {
	case !u.Connected:
		return disconnected
	case u.Leaving || u.Load.GetState() == rpc.UpstreamState_UPSTREAM_STATE_LEAVING:
		return leaving
	case u.Load.GetState() != rpc.UpstreamState_UPSTREAM_STATE_READY:
		return down
	case r.Now.Sub(u.LastHeard) > w.StaleAfter:
		return silent
	case contains(r.Excluded, u.AgentID):
		return excluded
	case r.Suspect && contains(r.SuspectsAt, u.AgentID):
		return suspectBusy
	}
	return none
}

func contains(ids []string, id string) bool {
	for _, have := range ids {
		if have == id {
			return true
		}
	}
	return false
}

// zone sums up the candidates of the local or of all other data centres.
type zone struct {
	work  float64
	slots float64
}

// share is the work that an upstream with n slots may carry at multiple times
// the mean, the new request included, rounded up so that a request always fits.
func (z *zone) share(multiple, n float64) float64 {
	return math.Ceil(multiple * (z.work + 1) / z.slots * n)
}

func survey(snapshot []link.Upstream, r *Request, w *Weights) (local, remote zone, t CandidateCounts) {
	for i := range snapshot {
		u := &snapshot[i]
		switch obstacle(u, r, w) {
		case none:
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
		case silent:
			t.Stale++
			continue
		case suspectBusy:
			t.SuspectBusy++
			continue
		}
		z := &remote
		if u.DataCentre == r.DataCentre {
			z = &local
		}
		z.work += work(u, w)
		z.slots += slots(u)
	}
	return local, remote, t
}

// ruleOf gives the best rule that the candidate satisfies.
func ruleOf(u *link.Upstream, r *Request, w *Weights, local, remote *zone) Rule {
	have := work(u, w)
	n := slots(u)
	if have/n >= w.LoadBound {
		return Overloaded
	}
	z, offset := local, LocalPrefix
	if u.DataCentre != r.DataCentre {
		z, offset = remote, RemotePrefix
	}
	if holds(u, r.Prefix) && packable(u, w) && have+1 <= max(z.share(w.AffinityBound, n), w.PackBound*n) {
		return offset + LocalPrefix
	}
	if have+1 > w.PackBound*n {
		return offset + LocalBusy
	}
	if packable(u, w) {
		return offset + LocalPacked
	}
	return offset + LocalFree
}

// packable reports whether more online work may join. Many attempts since the
// report mean a burst, whose prompts would wait for each other. A long time between
// tokens beside batch work is no reason against it, because batch work gives way.
func packable(u *link.Upstream, w *Weights) bool {
	interval := time.Duration(u.Load.GetTokenIntervalUs()) * time.Microsecond
	if u.SentSince >= w.PackMaxSent {
		return false
	}
	return hasOnline(u) && (interval <= w.PackMaxInterval || u.Load.GetBatchActive() > 0)
}

func holds(u *link.Upstream, prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	_, ok := u.Prefixes[prefix]
	return ok
}
