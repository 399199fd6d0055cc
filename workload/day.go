package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// compressedHours scales a number of hours of a real day to the duration of the
// trace.
func (o Options) compressedHours(h float64) time.Duration {
	return time.Duration(h / hoursPerDay * float64(o.Duration)).Truncate(time.Millisecond)
}

// dayFraction returns the trace duration as a fraction of a real day.
func (o Options) dayFraction() float64 { return float64(o.Duration) / float64(fullDay) }

// Parameters of generated jobs.
const (
	minJobs           = 3
	maxItemsPerJob    = 200_000
	failingJobShare   = 0.3  // fraction of jobs with failing items
	maxFailingItems   = 5    // per job with failing items
	cancelledJobShare = 0.08 // fraction of jobs that are cancelled
	jobSizeSigma      = 0.8  // standard deviation of the logarithm of the item count
	urgentJobShare    = 0.2  // fraction of jobs that are due in half the usual time
)

// drawJobs generates the jobs of a day and their cancellations. Job sizes are
// log-normal and scaled to the day's total number of items.
func drawJobs(o Options, p *profile) []Event {
	random := randomStream(o, "jobs")
	demand := p.jobs
	count := max(int(float64(demand.count)*min(o.dayFraction(), 1)), minJobs)
	weights := make([]float64, count)
	total := 0.0
	for i := range weights {
		weights[i] = math.Exp(jobSizeSigma * random.NormFloat64())
		total += weights[i]
	}
	var events []Event
	for i, weight := range weights {
		items := float64(demand.items) * o.dayFraction() * weight / total
		events = append(events, drawJob(o, p, random, i, int(min(max(items, 1), maxItemsPerJob)))...)
	}
	return events
}

// drawJob generates one job and, for a fraction of jobs, its cancellation.
func drawJob(o Options, p *profile, random *rand.Rand, i, items int) []Event {
	demand := p.jobs
	dueHours := demand.dueHours
	if random.Float64() < urgentJobShare {
		dueHours /= 2
	}
	job := Job{
		Caller:       callerID(random.IntN(p.callers)),
		Service:      demand.service,
		Items:        items,
		PromptTokens: drawTokens(random, float64(demand.promptTokens)),
		OutputTokens: drawTokens(random, float64(demand.outputTokens)),
		Due:          o.compressedHours(dueHours),
	}
	if random.Float64() < failingJobShare {
		job.FailingItems = min(1+random.IntN(maxFailingItems), items)
	}
	submittedAt := o.compressedHours(demand.submitHour + random.Float64()*demand.submitSpreadHours)
	id := fmt.Sprintf("j%d", i+1)
	events := []Event{{At: submittedAt, Kind: KindJob, ID: id, Job: &job}}
	if random.Float64() < cancelledJobShare {
		cancelDelay := o.compressedHours(random.Float64() * dueHours / 2)
		events = append(events, Event{At: min(submittedAt+cancelDelay, o.Duration), Kind: KindCancel, ID: id})
	}
	return events
}

// Parameters of the bursts of the burst day.
const (
	burstCount        = 6
	burstHours        = 0.25
	burstFactor       = 3   // rate of the additional requests, as a multiple of the ordinary rate
	burstMarginHours  = 0.5 // at the start of each part of the day, before its burst
	burstSpacingHours = hoursPerDay / burstCount
)

// drawBursts divides the day into equal parts and places one burst at a random
// time in each.
func drawBursts(o Options) []window {
	random := randomStream(o, "bursts")
	list := make([]window, 0, burstCount)
	for i := range burstCount {
		slackHours := burstSpacingHours - burstHours - burstMarginHours
		from := o.compressedHours(float64(i*burstSpacingHours) + burstMarginHours + random.Float64()*slackHours)
		list = append(list, window{from: from, to: from + o.compressedHours(burstHours), factor: burstFactor})
	}
	return list
}

// Parameters of the faults of the faults day.
const (
	faultRounds         = 3 // each injects every kind of fault once
	faultPairs          = 4 // pairs of simultaneous faults
	minFaultDuration    = time.Second
	maxFaultDuration    = 30 * time.Second
	platformFaultFactor = 4 // multiplies the duration of platform faults
)

// drawFaults places faults of every kind, and pairs of simultaneous faults, at
// random times of the day. Fault durations are not compressed with the day, but
// capped at a twentieth of the trace duration.
func drawFaults(o Options, p *profile) []Event {
	random := randomStream(o, "faults")
	layout, _ := LayoutOf(o.Fleet) // Generate has validated the fleet
	var events []Event
	drawTime := func() time.Duration {
		return time.Duration(random.Float64() * float64(o.Duration)).Truncate(time.Millisecond)
	}
	for range faultRounds {
		for _, kind := range FaultKinds {
			events = append(events, drawFault(o, random, &layout, kind, drawTime()))
		}
	}
	for range faultPairs {
		start := drawTime()
		for range 2 {
			kind := FaultKinds[random.IntN(len(FaultKinds))]
			events = append(events, drawFault(o, random, &layout, kind, start))
		}
	}
	return events
}

func drawFault(o Options, random *rand.Rand, layout *Layout, kind FaultKind, at time.Duration) Event {
	const traceDivisor = 20
	duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
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
		duration *= platformFaultFactor
	case FaultAnswerLost:
		duration = 0
	}
	fault.For = min(duration, o.Duration/traceDivisor).Truncate(time.Millisecond)
	return Event{At: at, Kind: KindFault, Fault: fault}
}

// Parameters of the poison requests of the faults day. Each is sent several
// times at a fixed interval.
const (
	poisonRequests = 2
	poisonSends    = 4 // per poison request, including the first
	poisonInterval = 4 * time.Second
)

// drawPoisonRequests generates requests that crash each engine that runs them.
// A resend differs from the first request only in its time and id.
func drawPoisonRequests(o Options, p *profile) []Event {
	random := randomStream(o, "poison")
	generator := newRequestGenerator(p, p.services[0])
	var events []Event
	for i := range poisonRequests {
		request := generator.draw(random)
		request.Poison = true
		at := time.Duration(random.Float64() * float64(o.Duration)).Truncate(time.Millisecond)
		for n := range poisonSends {
			start := at + time.Duration(n)*poisonInterval
			if start >= o.Duration {
				break
			}
			resend := *request
			events = append(events, Event{At: start, Kind: KindRequest, ID: fmt.Sprintf("x%d-%d", i+1, n+1), Request: &resend})
		}
	}
	return events
}
