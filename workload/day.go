package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// hours is a duration of a real day, compressed into the trace.
func (o Options) hours(h float64) time.Duration {
	return time.Duration(h / hoursPerDay * float64(o.Duration)).Truncate(time.Millisecond)
}

// share is the trace's part of a real day.
func (o Options) share() float64 { return float64(o.Duration) / float64(fullDay) }

// Limits and shares of generated jobs.
const (
	leastJobs      = 3
	mostItems      = 200_000 // per job
	failingShare   = 0.3     // of jobs have items that fail
	mostFailing    = 5       // items of such a job
	cancelledShare = 0.08    // of jobs are cancelled
	jobSizeSpread  = 0.8     // standard deviation of the logarithm of the items
	urgentShare    = 0.2     // of jobs are due in half the time
)

// jobs draws the jobs of a day and their cancellations.
func jobs(o Options, p *profile) []Event {
	random := stream(o, "jobs")
	demand := p.jobs
	count := max(int(float64(demand.count)*min(o.share(), 1)), leastJobs)
	weights := make([]float64, count)
	total := 0.0
	for i := range weights {
		weights[i] = math.Exp(jobSizeSpread * random.NormFloat64())
		total += weights[i]
	}
	var events []Event
	for i, weight := range weights {
		items := float64(demand.items) * o.share() * weight / total
		events = append(events, drawJob(o, p, random, i, int(min(max(items, 1), mostItems)))...)
	}
	return events
}

// drawJob returns a job and, for some, its cancellation.
func drawJob(o Options, p *profile, random *rand.Rand, i, items int) []Event {
	demand := p.jobs
	due := demand.dueHours
	if random.Float64() < urgentShare {
		due /= 2
	}
	job := Job{
		Caller:       callerID(random.IntN(p.callers)),
		Service:      demand.service,
		Items:        items,
		PromptTokens: drawTokens(random, float64(demand.promptTokens)),
		OutputTokens: drawTokens(random, float64(demand.outputTokens)),
		Due:          o.hours(due),
	}
	if random.Float64() < failingShare {
		job.FailingItems = min(1+random.IntN(mostFailing), items)
	}
	submit := o.hours(demand.hour + random.Float64()*demand.spreadHours)
	id := fmt.Sprintf("j%d", i+1)
	events := []Event{{At: submit, Kind: KindJob, ID: id, Job: &job}}
	if random.Float64() < cancelledShare {
		after := o.hours(random.Float64() * due / 2)
		events = append(events, Event{At: min(submit+after, o.Duration), Kind: KindCancel, ID: id})
	}
	return events
}

// Bursts of the burst day.
const (
	burstCount   = 6
	burstHours   = 0.25
	burstFactor  = 3 // added to the ordinary rate
	burstWarmup  = 0.5
	burstSpacing = hoursPerDay / burstCount
)

// bursts places one burst in each equal part of the day.
func bursts(o Options) []window {
	random := stream(o, "bursts")
	list := make([]window, 0, burstCount)
	for i := range burstCount {
		room := burstSpacing - burstHours - burstWarmup
		from := o.hours(float64(i*burstSpacing) + burstWarmup + random.Float64()*room)
		list = append(list, window{from: from, to: from + o.hours(burstHours), factor: burstFactor})
	}
	return list
}

// Faults of the faults day.
const (
	roundsOfFaults = 3 // of every kind
	combinedFaults = 4 // pairs of faults at the same time
	faultShortest  = time.Second
	faultLongest   = 30 * time.Second
	platformFactor = 4 // platform faults last longer
)

// faults places faults of every kind, and pairs of them, over the day. Their
// durations are real ones, but at most a twentieth of the trace.
func faults(o Options, p *profile) []Event {
	random := stream(o, "faults")
	layout, _ := LayoutOf(o.Fleet) // checked by Generate
	var events []Event
	at := func() time.Duration {
		return time.Duration(random.Float64() * float64(o.Duration)).Truncate(time.Millisecond)
	}
	for range roundsOfFaults {
		for _, kind := range FaultKinds {
			events = append(events, drawFault(o, random, &layout, kind, at()))
		}
	}
	for range combinedFaults {
		when := at()
		for range 2 {
			kind := FaultKinds[random.IntN(len(FaultKinds))]
			events = append(events, drawFault(o, random, &layout, kind, when))
		}
	}
	return events
}

func drawFault(o Options, random *rand.Rand, layout *Layout, kind FaultKind, at time.Duration) Event {
	const shareOfTrace = 20
	length := faultShortest + time.Duration(random.Int64N(int64(faultLongest-faultShortest)))
	fault := &Fault{Kind: kind}
	switch kind {
	case FaultUpstreamCrash, FaultUpstreamSilent, FaultUpstreamLeaving:
		upstreams := layout.Services[0].Upstreams
		fault.Target = upstreams[random.IntN(len(upstreams))].ID
	case FaultInstanceLost:
		fault.Target = layout.Entries[random.IntN(len(layout.Entries))].ID
	case FaultDataCentreLost:
		fault.Target = layout.DataCentres[random.IntN(len(layout.DataCentres))]
	case FaultPlatformDown, FaultPlatformSlow:
		length *= platformFactor
	case FaultAnswerLost:
		length = 0
	}
	fault.For = min(length, o.Duration/shareOfTrace).Truncate(time.Millisecond)
	return Event{At: at, Kind: KindFault, Fault: fault}
}

// Poison requests of the faults day: each is sent again some seconds later.
const (
	poisonRequests = 2
	poisonResends  = 4
	poisonPause    = 4 * time.Second
)

// poison draws requests that crash each engine that runs them. The resends have
// ids of their own; all else is as in the first.
func poison(o Options, p *profile) []Event {
	random := stream(o, "poison")
	draws := newRequests(p, p.services[0])
	var events []Event
	for i := range poisonRequests {
		request := draws.draw(random)
		request.Poison = true
		at := time.Duration(random.Float64() * float64(o.Duration)).Truncate(time.Millisecond)
		for n := range poisonResends {
			when := at + time.Duration(n)*poisonPause
			if when >= o.Duration {
				break
			}
			again := *request
			events = append(events, Event{At: when, Kind: KindRequest, ID: fmt.Sprintf("x%d-%d", i+1, n+1), Request: &again})
		}
	}
	return events
}
