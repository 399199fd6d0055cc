package limit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silentAfter is the silence of a source after which its admissions are no longer
	// predicted. Sources report at least each 250 ms.
	silentAfter = 750 * time.Millisecond
	// resyncAfter is the silence after which a source's increase is not charged but
	// replaced by the state of its bucket, since both sides have kept to their shares
	// meanwhile. Lost reports alone do not cause it.
	resyncAfter = 2 * time.Second
	// suspendedAfter is the time without SetMembers after which a process counts as
	// having been suspended. Calls follow each other within 250 ms.
	suspendedAfter = 500 * time.Millisecond
	// resyncTime is how long after a silence a source's counters are not charged, since
	// datagrams that waited meanwhile arrive first.
	resyncTime = 500 * time.Millisecond
	// collectorSilence is the silence after which the other collector of a data centre
	// is followed. The second one reports each 500 ms.
	collectorSilence = 600 * time.Millisecond
	// collectorReports is the number of reports without one of the followed collector
	// after which the other one is followed. The first collector sends at least two
	// between two of the second one, which must not be followed beside it.
	collectorReports = 3
	// collectorReportInterval is the time in which the parts of one report, and copies that
	// others pass on, count once.
	collectorReportInterval = 100 * time.Millisecond
	// offsetAge is how old what two collectors report may be to be compared, and how long
	// both have to have been unchanged before to be compared again. It exceeds the
	// difference of the ages of their reports.
	offsetAge = 100 * time.Millisecond
	// changedFor is how long after its last change an organisation is repeated each
	// repeatInterval. Repeating it in each report would be 9 Mbit/s at a collector that
	// passes on the digests of three data centres to ten gateways, of the 22 Mbit/s that
	// the smallest instance has.
	changedFor, repeatInterval = time.Second, 100 * time.Millisecond
	// establishedGap is the silence of all established processes after which the time in
	// which they report all organisations begins anew. One of them that is heard once, and
	// stopped then, would make all organisations look unused.
	establishedGap = 500 * time.Millisecond
	// rotationTime is the time in which all organisations were part of some report.
	rotationTime = 1200 * time.Millisecond
	// establishedAfter is the age at which a process counts as established though it has
	// met no established one: a whole window of the limit.
	establishedAfter = 5 * time.Second
	// startShare, startWindowSeconds and startTokens are the starting allowance: half of
	// the tenth and the 20 requests that the limit allows in excess in a window of 5 s. All
	// gateways together begin with it after a common start, so that the limit holds
	// whatever was admitted before. The other half covers reports that are late.
	startShare, startWindowSeconds, startTokens = 0.05, 5, 10
	// startAllowanceAge is the age from which the starting allowance is added, so that
	// processes that know what was spent are heard before. Requests wait 250 ms.
	startAllowanceAge = 200 * time.Millisecond
	// startingFor is the age up to which requests of a process that has not heard its peers
	// may wait for their reports. Processes that lost power together start within half a
	// second, and digests of other data centres come each 250 ms.
	startingFor = 1500 * time.Millisecond
	// toleranceTokens and toleranceSeconds are tokens beyond the burst that cover what
	// arrives late, as otherwise requests would be refused that the limit allows: without
	// them 7 of 200 simulated histories below the limit admitted less than 0.97, the worst
	// 0.873. They are at most a fifth of what the limit allows in excess.
	toleranceTokens, toleranceSeconds = 3, 0.1
	// partitionShare lets the parts of a partitioned deployment together admit more than
	// the rate, so that a few lost members cost nothing.
	partitionShare = 1.05
	// predictionMargin is the part of the prediction, in tolerances, that is ignored. The
	// prediction is wrong for a few reports after traffic has moved: without the margin 2
	// of 300 simulated histories below the limit admitted less than 0.97, the worst 0.948;
	// with it the worst admitted 0.995.
	predictionMargin = 2
	// predictionSmoothing is the time constant of the measured rates of other gateways.
	predictionSmoothing = 200 * time.Millisecond
	// Mean ages of what is reported by gateways of this data centre and of other ones.
	localReportAge, remoteReportAge = 30 * time.Millisecond, 80 * time.Millisecond
	// maxDebtSeconds and maxDebtTokens limit the tokens missing beyond the burst that
	// reports of others can cause. The second part covers gateways that each took the
	// same token.
	maxDebtSeconds, maxDebtTokens = 0.5, 20
	// forgetAfter is the silence after which the counters of a source are dropped.
	forgetAfter = time.Minute
	// minRetrySpread is the shortest time over which refused callers are spread.
	minRetrySpread = 250 * time.Millisecond
)

// Rate is a limit of online requests over all gateways.
type Rate struct {
	PerSecond float64 // 0 for no limit
	Burst     int
}

// Usage is what a gateway or a data centre tells of an organisation.
type Usage struct {
	Organisation uint32  // OrganisationHash of its name
	Admitted     uint64  // requests since the start of the reporting process, less tokens returned
	Spent        float64 // tokens missing from the bucket of all gateways
	// Learnt tells whether Spent is based on what others have spent or on the starting
	// allowance. An empty bucket of a process that has just started is not.
	Learnt bool
}

// Source is a process that reports usage.
type Source struct {
	Name        string
	Incarnation uint64
	Established bool // it has learnt what others have spent
}

// SharedDecision is the outcome for one request, and what it was based on.
type SharedDecision struct {
	Decision
	TokensLeft   float64
	Price        float64 // tokens taken, for Return
	Alive, Known int     // gateways; Known is 0 while the member rows have not been read
	// Starting is set for a refusal by a process that has just started and has not heard
	// its peers. The same request may be admitted as soon as it has.
	Starting bool
}

// OrganisationHash identifies an organisation in reports.
func OrganisationHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Shared applies the rates of organisations over all gateways. Each gateway keeps a
// bucket per organisation that stands for all gateways: it charges its own admissions at
// once and those of others when they are reported. Until then it charges what the others
// probably admit. A gateway that does not hear all members charges each request more
// than one token, so that it keeps to its share of the rate and the burst. Shared is safe
// for concurrent use.
type Shared struct {
	random   func() float64 // in [0, 1)
	started  time.Time
	onChange func()

	mu               sync.Mutex
	alive, known     int
	membersAt        time.Time
	establishedHeard time.Time // first report of an established process, without gaps since
	establishedLast  time.Time // last report of one
	usageHeard       bool      // some report carried usage, so that it told whether its sender is established
	startAllowance   bool      // the starting allowance is part of the buckets
	gateways         map[string]*origin
	dataCentres      map[string]*dataCentre
	accounts         map[uint32]*account
}

// origin is a process that reports usage.
type origin struct {
	incarnation uint64
	heard       time.Time
	resyncUntil time.Time
	dataCentre  *dataCentre // that it is a collector of; nil for a gateway of this data centre
	counted     time.Time   // when reports was last raised
	reports     int         // since the last report of the followed collector
	first       bool        // the first incarnation that was heard
}

// dataCentre is another data centre. Its collectors count the same requests, so only
// one is followed.
type dataCentre struct {
	collectors map[string]*origin
	followed   *origin
}

// account is the state of one organisation.
type account struct {
	rate    Rate
	bucket  TokenBucket
	learnt  bool // what others have spent
	granted bool // the starting allowance
	adopted bool // the state of a process with the starting allowance
	// reserved are the tokens that requests cost beyond one while this process was starting
	// and had not heard all others. They are returned when it hears all while it is still
	// starting: the counters of the others tell by then what those admitted.
	reserved                   float64
	admitted                   uint64 // by this process
	inDataCentre               uint64 // admitted in this data centre, as this process has heard
	changed, changedHere       time.Time
	reported, reportedToOthers time.Time // when last part of a report to this data centre and to others
	counters                   map[*origin]*counter
	removed                    time.Time // when the organisation lost its rate; zero while it has one
}

// counter is the last value that an origin has reported for an organisation.
type counter struct {
	value     uint64
	offset    int64 // to the counter of the followed collector
	compared  bool  // offset is known
	heard     time.Time
	increased time.Time
	perSecond float64 // smoothed increase
}

// NewShared returns a limiter of a process that started at the given time. random
// returns numbers in [0, 1).
func NewShared(started time.Time, random func() float64) *Shared {
	return &Shared{random: random, started: started, onChange: func() {}, alive: 1, gateways: make(map[string]*origin),
		dataCentres: make(map[string]*dataCentre), accounts: make(map[uint32]*account)}
}

// OnChange sets the function that is called after each change of this gateway's own
// counters. It must be called before the limiter is used.
func (s *Shared) OnChange(f func()) { s.onChange = f }

// SetRates replaces the organisations that have a rate.
func (s *Shared) SetRates(rates map[string]Rate, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := make(map[uint32]bool, len(rates))
	for name, rate := range rates {
		if rate.PerSecond > 0 {
			s.account(name, rate, now)
			keep[OrganisationHash(name)] = true
		}
	}
	for hash, a := range s.accounts {
		switch {
		case keep[hash]:
			a.removed = time.Time{}
		case a.removed.IsZero():
			a.removed = now
		case now.Sub(a.removed) > forgetAfter:
			// Not sooner: a counter that begins anew under the same incarnation would look
			// like returned tokens to gateways that have not seen the removal.
			delete(s.accounts, hash)
		}
	}
}

// SetMembers tells how many gateways, with this one, were heard lately and how many
// there are; known is 0 until the process has learnt it. It must be called several times
// a second: a process that was suspended counts as partitioned until the next call. The
// result is true for the call that adds the starting allowance.
func (s *Shared) SetMembers(alive, known int, now time.Time) (startAllowance bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known == 0 {
		return false
	}
	if s.membersAt.IsZero() {
		for _, a := range s.accounts {
			a.bucket.updatedAt = now // fills from here on
		}
	}
	s.alive, s.known, s.membersAt = max(alive, 1), max(known, alive, 1), now
	if s.commonStart(now) {
		s.startAllowance, startAllowance = true, true
		for _, a := range s.accounts {
			a.refill(now)
			a.grant()
		}
	}
	if s.share(now) >= 1 {
		for _, a := range s.accounts {
			if now.Sub(s.started) < startingFor {
				a.bucket.spent = max(0, a.bucket.spent-a.reserved)
			}
			a.reserved = 0
		}
	}
	for name, o := range s.gateways {
		if now.Sub(o.heard) > forgetAfter {
			delete(s.gateways, name)
			s.forget(o)
		}
	}
	for _, d := range s.dataCentres {
		for name, o := range d.collectors {
			if now.Sub(o.heard) > forgetAfter && o != d.followed {
				delete(d.collectors, name)
				s.forget(o)
			}
		}
	}
	return startAllowance
}

// commonStart reports whether this process has just learnt that the others have started
// with it: it hears a third of the members, and none is established. A process that
// restarts alone hears established ones first. Members are counted before their usage is
// heard: reports without usage do not tell whether their sender is established. A process
// that hears nobody may be cut off.
func (s *Shared) commonStart(now time.Time) bool {
	age := now.Sub(s.started)
	return !s.startAllowance && s.usageHeard && age >= startAllowanceAge && age < establishedAfter && s.alive > 1 && 3*s.alive >= s.known && s.establishedHeard.IsZero()
}

// grant adds the starting allowance, unless the state of another process has it.
func (a *account) grant() {
	if !a.learnt && !a.adopted {
		a.granted = true
		a.bucket.spent = max(0, a.bucket.spent-startTokens-startShare*(startWindowSeconds*a.rate.PerSecond+float64(a.rate.Burst)))
	}
}

func (s *Shared) forget(o *origin) {
	for _, a := range s.accounts {
		delete(a.counters, o)
	}
}

// Admit takes a token of an organisation.
func (s *Shared) Admit(organisation string, r Rate, now time.Time) SharedDecision {
	d := s.admit(organisation, r, now)
	if d.Reason == Allowed {
		s.onChange()
	}
	return d
}

func (s *Shared) admit(organisation string, r Rate, now time.Time) SharedDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(organisation, r, now)
	share := s.share(now)
	expected := max(0, a.expected(now)-predictionMargin*a.tolerance()) / share
	left := float64(max(r.Burst, 1)) - a.bucket.spent
	young := now.Sub(s.started) < establishedAfter
	if s.membersAt.IsZero() && (young || !a.learnt) { // one of an unknown number of gateways
		left = min(left, -a.tolerance())
	}
	d := SharedDecision{TokensLeft: left, Price: 1 / share, Alive: s.reachable(now), Known: s.known}
	needed := 1.0
	if young && !a.learnt { // others may take their share of the same few tokens
		needed = d.Price
	}
	if missing := needed + expected - left - a.tolerance(); missing > 0 {
		wait := min(missing/r.PerSecond, maxRetryAfter.Seconds())
		wait += s.random() * max(wait, minRetrySpread.Seconds())
		d.Decision = Decision{Reason: RateLimited, RetryAfter: time.Duration(math.Ceil(wait * float64(time.Second)))}
		d.Starting = s.starting(a, now)
		return d
	}
	a.bucket.spent += d.Price
	if s.reserve(a, d.Price-1, now) {
		d.Price = 1 // the rest is returned when all gateways are heard
	}
	a.count(1, now)
	return d
}

// reserve notes tokens that were taken for gateways that a starting process has not heard,
// and reports whether it has.
func (s *Shared) reserve(a *account, tokens float64, now time.Time) bool {
	if tokens <= 0 || a.learnt || now.Sub(s.started) >= startingFor {
		return false
	}
	a.reserved += tokens
	return true
}

// starting reports whether the next reports of other gateways may show that there are
// tokens.
func (s *Shared) starting(a *account, now time.Time) bool {
	return now.Sub(s.started) < startingFor && (s.membersAt.IsZero() || !a.learnt && s.alive < s.known)
}

// Return gives back what Admit took for a request that has not run.
func (s *Shared) Return(organisation string, price float64, now time.Time) {
	defer s.onChange()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[OrganisationHash(organisation)]
	if a == nil {
		return
	}
	a.refill(now)
	a.bucket.spent = max(0, a.bucket.spent-price)
	a.count(-1, now)
}

func (a *account) tolerance() float64 { return toleranceTokens + toleranceSeconds*a.rate.PerSecond }

// count adds requests of this process. A sum of returns wraps around, and so do the
// differences that receivers compute.
func (a *account) count(requests int64, now time.Time) {
	a.admitted += uint64(requests)
	a.inDataCentre += uint64(requests)
	a.changed, a.changedHere = now, now
}

// account returns the state of an organisation, refilled up to now.
func (s *Shared) account(organisation string, r Rate, now time.Time) *account {
	hash := OrganisationHash(organisation)
	a := s.accounts[hash]
	if a == nil {
		a = &account{rate: r, learnt: s.established(now), counters: make(map[*origin]*counter)}
		if !a.learnt { // empty at the start of the process
			a.bucket = TokenBucket{spent: float64(r.Burst) + a.tolerance(), updatedAt: now}
			if s.startAllowance {
				a.grant()
			}
		}
		s.accounts[hash] = a
	}
	a.refill(now)
	if a.rate != r { // a debt of a higher limit would last too long under a lower one
		a.rate = r
		a.bucket.spent = min(a.bucket.spent, float64(r.Burst)+a.tolerance())
	}
	if !a.learnt && s.rotated() { // no established process has reported this organisation
		a.learnt = true
		if !a.granted && !a.adopted {
			a.bucket.spent = min(a.bucket.spent, max(0, float64(int64(a.inDataCentre))))
		}
	}
	return a
}

func (a *account) refill(now time.Time) { a.bucket = a.bucket.Refill(now, a.rate.PerSecond) }

// established reports whether this process has learnt what others have spent.
func (s *Shared) established(now time.Time) bool {
	return now.Sub(s.started) >= establishedAfter || s.rotated()
}

// rotated reports whether established processes had time to report all organisations.
func (s *Shared) rotated() bool {
	return !s.establishedHeard.IsZero() && s.establishedLast.Sub(s.establishedHeard) >= rotationTime
}

// Limits reports whether an organisation has a rate, by its hash.
func (s *Shared) Limits(hash uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[hash]
	return a != nil && a.removed.IsZero()
}

// Established reports whether this process has learnt what others have spent.
func (s *Shared) Established(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.established(now)
}

// reachable returns the number of gateways that this one hears, with itself.
func (s *Shared) reachable(now time.Time) int {
	if now.Sub(s.membersAt) > suspendedAfter {
		return 1
	}
	return s.alive
}

// share returns the part of the rate that this gateway and those that it hears may admit.
func (s *Shared) share(now time.Time) float64 {
	return min(1, partitionShare*float64(s.reachable(now))/float64(max(s.known, 1)))
}

// expected returns how many requests the other gateways have probably admitted since
// their last reports.
func (a *account) expected(now time.Time) float64 {
	total := 0.0
	for o, c := range a.counters {
		age := now.Sub(o.heard)
		if c.perSecond == 0 || age > silentAfter {
			continue
		}
		if o.dataCentre == nil {
			age += localReportAge
		} else if o.dataCentre.followed == o {
			age += remoteReportAge
		} else {
			continue
		}
		// A report that leaves the organisation out says that nothing has changed.
		total += c.perSecond * age.Seconds() * math.Exp(-o.heard.Sub(c.heard).Seconds()/predictionSmoothing.Seconds())
	}
	return total
}
