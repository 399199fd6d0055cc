package workload

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Day names what a generated day is like.
type Day string

// Days. The burst and the faults day hold all events of the ordinary day of the
// same seed and more, so that their results compare.
const (
	Ordinary Day = "ordinary"
	Burst    Day = "burst"  // short rises of the online rate
	Faults   Day = "faults" // faults of every kind, alone and two at once, and poison requests
)

// Options choose a trace.
type Options struct {
	Fleet    Fleet
	Day      Day
	Duration time.Duration // into which the course of a day is compressed
	Seed     uint64
}

const (
	hoursPerDay = 24
	fullDay     = hoursPerDay * time.Hour
	shortest    = time.Second
)

// Generate returns the events of a trace in order of time. Rates per second are
// those of a real day whatever the duration; the daily course of the rate, the
// times of jobs and their due times are compressed into the duration, and the
// numbers of jobs and items shrink with it. The error is a finding.List.
func Generate(o Options) (iter.Seq[Event], error) {
	var findings finding.List
	p, ok := profiles[o.Fleet]
	if !ok {
		findings.Add(finding.Finding{Key: "fleet", Value: string(o.Fleet), Reason: "unknown fleet"})
	}
	if o.Day != Ordinary && o.Day != Burst && o.Day != Faults {
		findings.Add(finding.Finding{Key: "day", Value: string(o.Day), Reason: "unknown day"})
	}
	if o.Duration < shortest || o.Duration > maxTime {
		findings.Add(finding.Finding{Key: "duration", Value: o.Duration.String(), Reason: fmt.Sprintf("not between %s and %s", shortest, maxTime)})
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return func(yield func(Event) bool) { merge(sources(o, &p), yield) }, nil
}

// source gives events in order of time, false at its end.
type source func() (Event, bool)

// sources returns the parts of a trace. Each has a random sequence of its own,
// so that one day differs from another only in its additional parts.
func sources(o Options, p *profile) []source {
	var list []source
	for i, service := range p.services {
		all := window{from: 0, to: o.Duration, factor: 1}
		list = append(list, newArrivals(o, p, service, fmt.Sprintf("r%d-", i+1), all))
	}
	list = append(list, ordered(jobs(o, p)))
	switch o.Day {
	case Burst:
		for i, w := range bursts(o) {
			list = append(list, newArrivals(o, p, p.services[0], fmt.Sprintf("b%d-", i+1), w))
		}
	case Faults:
		list = append(list, ordered(faults(o, p)), ordered(poison(o, p)))
	}
	return list
}

// merge yields the events of all sources in order of time, at equal times in
// the order of the sources.
func merge(list []source, yield func(Event) bool) {
	heads := make([]Event, len(list))
	open := make([]bool, len(list))
	for i, next := range list {
		heads[i], open[i] = next()
	}
	for {
		first := -1
		for i := range heads {
			if open[i] && (first < 0 || heads[i].At < heads[first].At) {
				first = i
			}
		}
		if first < 0 || !yield(heads[first]) {
			return
		}
		heads[first], open[first] = list[first]()
	}
}

// ordered gives prepared events in order of time.
func ordered(events []Event) source {
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return func() (Event, bool) {
		if len(events) == 0 {
			return Event{}, false
		}
		e := events[0]
		events = events[1:]
		return e, true
	}
}

// stream returns the random sequence of a part of the trace.
func stream(o Options, part string) *rand.Rand {
	var high uint64
	for _, c := range []byte(part) {
		high = high*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(high, o.Seed))
}

// window is a part of the day with a factor on the online rate.
type window struct {
	from, to time.Duration
	factor   float64
}

// arrivals is a Poisson process whose rate follows the course of the day.
type arrivals struct {
	o      Options
	p      *profile
	draws  requests
	prefix string // of the ids
	window window
	random *rand.Rand
	at     time.Duration
	n      int
}

func newArrivals(o Options, p *profile, service serviceProfile, prefix string, w window) source {
	a := &arrivals{o: o, p: p, draws: newRequests(p, service), prefix: prefix, window: w, random: stream(o, prefix), at: w.from}
	return a.next
}

// next draws arrivals at the peak rate and keeps the share that the curve gives.
func (a *arrivals) next() (Event, bool) {
	peak := a.draws.service.peakRate * a.window.factor
	for {
		a.at += time.Duration(a.random.ExpFloat64() / peak * float64(time.Second))
		if a.at >= a.window.to {
			return Event{}, false
		}
		if a.random.Float64() < a.p.level(a.at, a.o.Duration) {
			break
		}
	}
	a.n++
	return Event{
		At:      a.at.Truncate(time.Millisecond),
		Kind:    KindRequest,
		ID:      fmt.Sprintf("%s%d", a.prefix, a.n),
		Request: a.draws.draw(a.random),
	}, true
}

// level is the online rate as a share of the peak, between the hours of the curve.
func (p *profile) level(at, duration time.Duration) float64 {
	hour := float64(at) / float64(duration) * hoursPerDay
	whole := math.Floor(hour)
	share := hour - whole
	now := p.curve[int(whole)%hoursPerDay]
	then := p.curve[(int(whole)+1)%hoursPerDay]
	return now + (then-now)*share
}

// Spread of token counts: the standard deviation of their logarithm.
const tokenSpread = 0.6

// Exponents of the popularity of callers and prefixes; the first is the most popular.
const (
	callerSkew = 0.8
	prefixSkew = 1
)

// requests draws the requests of one service.
type requests struct {
	service  serviceProfile
	callers  ranks
	prefixes ranks
}

func newRequests(p *profile, service serviceProfile) requests {
	return requests{
		service:  service,
		callers:  newRanks(p.callers, callerSkew),
		prefixes: newRanks(p.prefixes, prefixSkew),
	}
}

func (q *requests) draw(random *rand.Rand) *Request {
	service := q.service
	r := &Request{
		Caller:     callerID(q.callers.draw(random)),
		Service:    service.name,
		Repeatable: random.Float64() >= service.nonRepeating,
	}
	if service.engine {
		r.Prefix = fmt.Sprintf("p%d", q.prefixes.draw(random)+1)
		r.PromptTokens = PrefixTokens(r.Prefix) + drawTokens(random, service.promptTokens)
		r.OutputTokens = drawTokens(random, service.outputTokens)
	}
	return r
}

// drawTokens draws a log-normal count with a median, from 1 to 16 times the median.
func drawTokens(random *rand.Rand, median float64) int {
	const most = 16
	n := median * math.Exp(tokenSpread*random.NormFloat64())
	return int(min(max(n, 1), most*median))
}

// ranks holds the cumulative weights of ranks that fall with a power of the rank.
type ranks []float64

func newRanks(n int, skew float64) ranks {
	list := make(ranks, n)
	total := 0.0
	for i := range list {
		total += math.Pow(float64(i+1), -skew)
		list[i] = total
	}
	return list
}

func (r ranks) draw(random *rand.Rand) int {
	at := random.Float64() * r[len(r)-1]
	return min(sort.SearchFloat64s(r, at), len(r)-1)
}
