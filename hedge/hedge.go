// Package hedge decides when a request whose first attempt is slow gets a second one at
// another upstream, and limits how many do. Its functions take times and counts, do no
// I/O and read no clock. Nothing is exchanged between gateways: each keeps to the
// percentage of its own requests, and so does their sum.
package hedge

import (
	"slices"
	"sync"
	"time"
)

// Policy holds the operator's settings.
type Policy struct {
	Percent        int           // of a service's requests that may be hedged within budgetWindow; 0 turns hedging off
	Quantile       int           // percent of the answers that had begun by the time a request is hedged
	Floor          time.Duration // least time before a request is hedged
	MaxLoadPercent int           // share of a service's slots in use up to which its requests are hedged
}

// Load is what a gateway knows of a service's capacity, from all gateways.
type Load struct {
	Slots   int
	InUse   int
	Waiting int  // requests waiting for a slot
	Ejected bool // an upstream is ejected or on probation
}

// Refusal says why a request is not hedged. The values are labels of a metric.
type Refusal string

// Refusals.
const (
	Allowed    Refusal = ""
	FewSamples Refusal = "few_samples" // too few answers were measured
	Suspect    Refusal = "suspect"     // the request, or a part of it, was running at a crash
	Ejected    Refusal = "ejected"
	Waiting    Refusal = "waiting"
	Overloaded Refusal = "load"
	OverBudget Refusal = "budget"
	NoSlot     Refusal = "no_slot" // no other upstream has a free slot
)

// Hedger decides for one gateway. It is safe for concurrent use.
type Hedger struct {
	mu       sync.Mutex
	policy   Policy
	epoch    time.Time // of all times kept; the first one that was passed in
	services map[string]*service
}

type service struct {
	budget budget
	speed  speed
	used   time.Duration // when it was last used
}

// New returns a Hedger that has measured nothing.
func New(p Policy) *Hedger { return &Hedger{policy: p, services: make(map[string]*service)} }

// SetPolicy replaces the policy. What was measured and spent is kept.
func (h *Hedger) SetPolicy(p Policy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy = p
	for _, s := range h.services {
		s.speed.invalidate()
	}
}

// Enabled reports whether any request may be hedged. A nil Hedger hedges none.
func (h *Hedger) Enabled() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.policy.Percent > 0
}

// Arrived counts a request that may be hedged and returns the delay after which it is,
// counted from the start of its first attempt. It returns false if too few answers were
// measured.
func (h *Hedger) Arrived(name string, now time.Time) (delay time.Duration, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, at := h.service(name, now)
	s.budget.addRequest(at)
	delay, known = s.speed.quantile(h.policy.Quantile, at)
	return max(delay, h.policy.Floor), known
}

// Answered records the time from the start of an attempt to its answer.
func (h *Hedger) Answered(name string, took time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, at := h.service(name, now)
	s.speed.record(took, at)
}

// Start decides whether a request is hedged now and, if it is, charges the budget.
func (h *Hedger) Start(name string, load Load, now time.Time) Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, at := h.service(name, now)
	switch {
	case load.Ejected:
		return Ejected
	case load.Waiting > 0:
		return Waiting
	case (load.InUse+1)*100 > h.policy.MaxLoadPercent*load.Slots:
		return Overloaded
	case !s.budget.spend(h.policy.Percent, at):
		return OverBudget
	}
	return Allowed
}

// Return gives back what Start charged at a time, for an attempt that was not sent.
func (h *Hedger) Return(name string, charged time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, at := h.service(name, charged)
	s.budget.giveBack(at)
}

// service returns the state of a service and the time since the epoch. Services that
// were not used for as long as answers are kept are removed when a new one appears.
func (h *Hedger) service(name string, now time.Time) (*service, time.Duration) {
	if h.epoch.IsZero() {
		h.epoch = now
	}
	at := max(now.Sub(h.epoch), 0)
	s := h.services[name]
	if s == nil {
		for other, o := range h.services {
			if at-o.used > sampleMaxAge {
				delete(h.services, other)
			}
		}
		s = &service{}
		h.services[name] = s
	}
	s.used = max(s.used, at)
	return s, at
}

const (
	// budgetWindow is the window over which hedged requests are limited. Many gateways
	// share the requests of a service: at 34 of them one gets about 15 in 10 s, of which
	// 5 percent would never be a whole request.
	budgetWindow = time.Minute
	bucketWidth  = 600 * time.Millisecond
	// windowBuckets is the number of whole buckets within the window. One more bucket is
	// kept, of which a part is within it.
	windowBuckets = int64(budgetWindow / bucketWidth)
)

// budget counts the requests and the hedged ones over a sliding window. What is only
// partly within the window counts as hedged and does not count as requests, so that
// rounding never exceeds the percentage.
type budget struct {
	requests, hedged [windowBuckets + 1]uint32
	newest           int64 // number of the newest bucket
}

// bucket returns the index of the newest bucket after it was advanced to a time.
func (b *budget) bucket(at time.Duration) int64 {
	number := int64(at / bucketWidth)
	for first := max(b.newest+1, number-windowBuckets); first <= number; first++ {
		b.requests[first%(windowBuckets+1)], b.hedged[first%(windowBuckets+1)] = 0, 0
	}
	b.newest = max(b.newest, number)
	return b.newest % (windowBuckets + 1)
}

func (b *budget) addRequest(at time.Duration) { b.requests[b.bucket(at)]++ }

// spend charges one hedged request unless that exceeds the percentage.
func (b *budget) spend(percent int, at time.Duration) bool {
	current := b.bucket(at)
	oldest := (current + 1) % (windowBuckets + 1)
	requests, hedged := 0, 1
	for i := range b.requests {
		hedged += int(b.hedged[i])
		if int64(i) != oldest {
			requests += int(b.requests[i])
		}
	}
	if hedged*100 > percent*requests {
		return false
	}
	b.hedged[current]++
	return true
}

func (b *budget) giveBack(at time.Duration) {
	number := int64(at / bucketWidth)
	if i := number % (windowBuckets + 1); b.newest-number <= windowBuckets && b.hedged[i] > 0 {
		b.hedged[i]--
	}
}

const (
	// maxSamples and sampleMaxAge bound the memory of answers. 1,024 answers cover a
	// period of alternating load of 6 s at 170 requests/s to a service; at 4 requests/s
	// a minute yields 240.
	maxSamples   = 1024
	sampleMaxAge = time.Minute
	// minSamples is the least number of answers from which a quantile is computed, and
	// minBeyond the least number that must lie beyond it. With so few, single slow answers
	// can raise the delay, and the budget bounds what a low one costs; with 100 answers a
	// gateway of 34 would hedge nothing in its first minute.
	minSamples = 20
	minBeyond  = 1
	// quantileTTL is how long a quantile is used before it is computed again.
	quantileTTL = 250 * time.Millisecond
)

// speed holds the newest times from the start of an attempt to its answer.
type speed struct {
	samples  []sample // a ring once it has maxSamples
	next     int
	computed time.Duration // when cached was computed
	cached   time.Duration
	known    bool
	scratch  []time.Duration
}

type sample struct{ took, at time.Duration }

func (s *speed) record(took, at time.Duration) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, sample{took, at})
		return
	}
	s.samples[s.next] = sample{took, at}
	s.next = (s.next + 1) % maxSamples
}

func (s *speed) invalidate() { s.known = false }

// quantile returns the time by which a percentage of the answers had arrived.
func (s *speed) quantile(percent int, at time.Duration) (time.Duration, bool) {
	if s.known && at-s.computed < quantileTTL {
		return s.cached, true
	}
	s.computed, s.scratch = at, s.scratch[:0]
	for _, m := range s.samples {
		if at-m.at <= sampleMaxAge {
			s.scratch = append(s.scratch, m.took)
		}
	}
	n := len(s.scratch)
	if s.known = n >= max(minSamples, minBeyond*100/(100-percent)); s.known {
		slices.Sort(s.scratch)
		s.cached = s.scratch[(n*percent+99)/100-1]
	}
	return s.cached, s.known
}
