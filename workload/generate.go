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

// Day selects the scenario of a generated trace.
type Day string

// Scenarios. The burst and faults days contain all events of the ordinary day of
// the same seed plus additional ones, so that their results are comparable.
const (
	Ordinary Day = "ordinary"
	Burst    Day = "burst"  // short increases of the online request rate
	Faults   Day = "faults" // faults of every kind, single and in simultaneous pairs, and poison requests
)

// Options are the parameters of a generated trace.
type Options struct {
	Fleet    Fleet
	Day      Day
	Duration time.Duration // of the trace, into which a whole day is compressed
	Seed     uint64
}

const (
	hoursPerDay = 24
	fullDay     = hoursPerDay * time.Hour
	minDuration = time.Second
)

// Generate returns the events of a trace in order of time. Request rates per
// second are those of a real day, independent of the duration. The daily rate
// curve, the submission times of jobs and their deadlines are compressed into
// the duration, and the numbers of jobs and items are scaled down with it. The
// error is a finding.List.
func Generate(o Options) (iter.Seq[Event], error) {
	var findings finding.List
	p, ok := profiles[o.Fleet]
	if !ok {
		findings.Add(finding.Finding{Key: "fleet", Value: string(o.Fleet), Reason: "unknown fleet"})
	}
	if o.Day != Ordinary && o.Day != Burst && o.Day != Faults {
		findings.Add(finding.Finding{Key: "day", Value: string(o.Day), Reason: "unknown day"})
	}
	if o.Duration < minDuration || o.Duration > maxTime {
		findings.Add(finding.Finding{Key: "duration", Value: o.Duration.String(), Reason: fmt.Sprintf("not between %s and %s", minDuration, maxTime)})
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return func(yield func(Event) bool) { merge(sources(o, &p), yield) }, nil
}

// source returns its next event in order of time, or false after the last one.
type source func() (Event, bool)

// sources returns the event sources of a trace. Each has its own random stream,
// so that a scenario only adds events and leaves those of other sources
// unchanged.
func sources(o Options, p *profile) []source {
	var list []source
	for i, service := range p.services {
		all := window{from: 0, to: o.Duration, factor: 1}
		list = append(list, newArrivals(o, p, service, fmt.Sprintf("r%d-", i+1), all))
	}
	list = append(list, sortedSource(drawJobs(o, p)))
	switch o.Day {
	case Burst:
		for i, w := range drawBursts(o) {
			list = append(list, newArrivals(o, p, p.services[0], fmt.Sprintf("b%d-", i+1), w))
		}
	case Faults:
		list = append(list, sortedSource(drawFaults(o, p)), sortedSource(drawPoisonRequests(o, p)))
	}
	return list
}

// merge yields the events of all sources in order of time. Events at the same
// time are in the order of their sources.
func merge(list []source, yield func(Event) bool) {
	heads := make([]Event, len(list))
	open := make([]bool, len(list))
	for i, next := range list {
		heads[i], open[i] = next()
	}
	for {
		earliest := -1
		for i := range heads {
			if open[i] && (earliest < 0 || heads[i].At < heads[earliest].At) {
				earliest = i
			}
		}
		if earliest < 0 || !yield(heads[earliest]) {
			return
		}
		heads[earliest], open[earliest] = list[earliest]()
	}
}

// sortedSource sorts events by time and returns a source of them. The sort is
// stable.
func sortedSource(events []Event) source {
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

// randomStream returns the random number generator of a part of the trace,
// seeded with the part's name and the seed of the options.
func randomStream(o Options, part string) *rand.Rand {
	var streamSeed uint64
	for _, c := range []byte(part) {
		streamSeed = streamSeed*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(streamSeed, o.Seed))
}

// window is a time interval in which the online rate is multiplied by a factor.
type window struct {
	from, to time.Duration
	factor   float64
}

// arrivals generates online requests as a Poisson process whose rate follows the
// daily rate curve.
type arrivals struct {
	o         Options
	p         *profile
	generator requestGenerator
	idPrefix  string // of the generated request ids
	window    window
	random    *rand.Rand
	at        time.Duration
	n         int
}

func newArrivals(o Options, p *profile, service serviceProfile, idPrefix string, w window) source {
	a := &arrivals{o: o, p: p, generator: newRequestGenerator(p, service), idPrefix: idPrefix, window: w, random: randomStream(o, idPrefix), at: w.from}
	return a.next
}

// next generates arrivals at the peak rate and accepts each with the probability
// given by the daily rate curve (thinning).
func (a *arrivals) next() (Event, bool) {
	peak := a.generator.service.peakRate * a.window.factor
	for {
		a.at += time.Duration(a.random.ExpFloat64() / peak * float64(time.Second))
		if a.at >= a.window.to {
			return Event{}, false
		}
		if a.random.Float64() < a.p.relativeRate(a.at, a.o.Duration) {
			break
		}
	}
	a.n++
	return Event{
		At:      a.at.Truncate(time.Millisecond),
		Kind:    KindRequest,
		ID:      fmt.Sprintf("%s%d", a.idPrefix, a.n),
		Request: a.generator.draw(a.random),
	}, true
}

// relativeRate returns the online rate at a time as a fraction of the peak rate,
// interpolated linearly between the hourly values.
func (p *profile) relativeRate(at, duration time.Duration) float64 {
	hour := float64(at) / float64(duration) * hoursPerDay
	wholeHour := math.Floor(hour)
	fraction := hour - wholeHour
	currentRate := p.hourlyRates[int(wholeHour)%hoursPerDay]
	nextRate := p.hourlyRates[(int(wholeHour)+1)%hoursPerDay]
	return currentRate + (nextRate-currentRate)*fraction
}

// tokenSigma is the standard deviation of the logarithm of token counts.
const tokenSigma = 0.6

// Zipf exponents of the popularity of callers and prompt prefixes. The first
// caller and the first prefix are the most popular.
const (
	callerZipfExponent = 0.8
	prefixZipfExponent = 1
)

// requestGenerator generates the online requests of one service.
type requestGenerator struct {
	service  serviceProfile
	callers  zipfWeights
	prefixes zipfWeights
}

func newRequestGenerator(p *profile, service serviceProfile) requestGenerator {
	return requestGenerator{
		service:  service,
		callers:  newZipfWeights(p.callers, callerZipfExponent),
		prefixes: newZipfWeights(p.prefixes, prefixZipfExponent),
	}
}

func (g *requestGenerator) draw(random *rand.Rand) *Request {
	service := g.service
	r := &Request{
		Caller:     callerID(g.callers.draw(random)),
		Service:    service.name,
		Repeatable: random.Float64() >= service.nonRepeatableShare,
	}
	if service.engine {
		r.Prefix = fmt.Sprintf("p%d", g.prefixes.draw(random)+1)
		r.PromptTokens = PrefixTokens(r.Prefix) + drawTokens(random, service.promptTokens)
		r.OutputTokens = drawTokens(random, service.outputTokens)
	}
	return r
}

// drawTokens draws a token count from a log-normal distribution with the given
// median, limited to between 1 and 16 times the median.
func drawTokens(random *rand.Rand, median float64) int {
	const maxMedianMultiple = 16
	n := median * math.Exp(tokenSigma*random.NormFloat64())
	return int(min(max(n, 1), maxMedianMultiple*median))
}

// zipfWeights holds the cumulative weights of a Zipf distribution, in which the
// weight of a rank falls with a power of the rank.
type zipfWeights []float64

func newZipfWeights(n int, exponent float64) zipfWeights {
	list := make(zipfWeights, n)
	total := 0.0
	for i := range list {
		total += math.Pow(float64(i+1), -exponent)
		list[i] = total
	}
	return list
}

func (w zipfWeights) draw(random *rand.Rand) int {
	target := random.Float64() * w[len(w)-1]
	return min(sort.SearchFloat64s(w, target), len(w)-1)
}
