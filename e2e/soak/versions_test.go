package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// From firstVersionsSeed on.
const (
	versionEngineCount = 7
	versionEvents      = 30 // long enough for checkpoints of items
	streamCallerCount  = 8
	maxTries           = 12 // of a stream
	// drainTime is the least time from the announcement of a release to its start; all
	// gateways have read the list by then.
	drainTime = 2 * time.Second
	// soundFor is how long a gateway must have been up for its take-ups to be expected to
	// go on, and engineSoundFor the same for engines.
	soundFor       = 5 * time.Second
	engineSoundFor = time.Second
	// lossWindow is how long before the start of a stream the losses of gateways count.
	lossWindow = 2 * time.Second
)

// Take-ups of all seeds at sound gateways with two engines of their version, and those of
// them that went on.
var expectedTakeUps, continuedTakeUps atomic.Int64

// loss is a gateway that was stopped, killed or paused.
type loss struct {
	gateway string
	at      time.Time
}

func (d *deployment) recordLoss(g *gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.losses = append(d.losses, loss{g.name, time.Now()})
}

// lostSince returns the number of gateways that were lost since a time.
func (d *deployment) lostSince(since time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make(map[string]bool)
	for _, l := range d.losses {
		if l.at.After(since) {
			names[l.gateway] = true
		}
	}
	return len(names)
}

// sound reports whether the gateway has been up for soundFor.
func (g *gateway) sound() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stopping && time.Since(g.upSince) > soundFor
}

// softwareVersion returns the version that an engine begins with: one of two in even
// seeds, of three in others.
func (d *deployment) softwareVersion(i int) string {
	return fmt.Sprint("v", 1+uint64(i)%(2+d.seed%2))
}

// injectVersionFault releases another version at an engine, or breaks streams.
func (d *deployment) injectVersionFault(g *gateway, e int) {
	id, before, _ := d.engines[e].Identity()
	software := before
	for software == before {
		software = d.softwareVersion(d.random.IntN(6))
	}
	if d.random.IntN(2) == 0 {
		id = fmt.Sprintf("e%d-%d", e, d.random.IntN(1<<20))
	}
	release := func() {
		d.logEvent("engine %d crashes and is replaced by %s with %s", e, id, software)
		d.engines[e].Replace(id, software)
	}
	if d.plannedOnly {
		d.releaseAfterDraining(e, id, software)
		return
	}
	faults := []func(){
		release, release,
		func() { d.releaseAfterDraining(e, id, software) },
		func() { d.logEvent("engine %d crashes", e); d.engines[e].Crash() },
		func() { d.relays[e].Reset(); d.logEvent("connections to engine %d reset", e) },
		func() { d.logEvent("SIGKILL to %s", g.name); g.restart(syscall.SIGKILL) },
		func() {
			if d.random.IntN(2) == 0 {
				d.logEvent("SIGKILL to all gateways")
				d.killAndRestartGateways()
			}
		},
	}
	faults[d.random.IntN(len(faults))]()
}

// releaseAfterDraining replaces an engine, in the background, once it has no more work.
func (d *deployment) releaseAfterDraining(e int, id, software string) {
	d.mu.Lock()
	busy := d.releasing[e]
	d.releasing[e] = true
	d.mu.Unlock()
	if busy {
		return
	}
	d.logEvent("engine %d drains to be replaced by %s with %s", e, id, software)
	d.registerEngine(e, "draining")
	d.pending.Go(func() {
		time.Sleep(drainTime)
		for end := time.Now().Add(requestTimeout); d.engines[e].Running() > 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		d.logEvent("engine %d is replaced", e)
		d.engines[e].Replace(id, software)
		time.Sleep(2 * restartDelay)
		d.mu.Lock()
		delete(d.releasing, e)
		d.mu.Unlock()
	})
}

// enginesInService returns the starts of the engines of a version that are in service.
func (d *deployment) enginesInService(software string) []string {
	var list []string
	for _, e := range d.engines[:len(d.engines)-1] {
		if id, s, started := e.Identity(); s == software && e.InService(engineSoundFor) {
			list = append(list, fmt.Sprint(id, started))
		}
	}
	return list
}

// textEvent is an event of an answer with the version that wrote it.
type textEvent struct {
	software, id string
	n            int
}

// parseEvents returns the whole events of a body and what follows them.
func parseEvents(body string) (events []textEvent, rest string) {
	for {
		text, after, found := strings.Cut(body, "\n\n")
		if !found {
			return events, body
		}
		var e textEvent
		var n int
		if _, err := fmt.Sscanf(text, "id: %d\ndata: %s %s", &n, &e.software, &e.id); err != nil {
			return events, body
		}
		e.n, e.id = n, strings.TrimSuffix(e.id, fmt.Sprint("-", n))
		if platformtest.VersionEventText(e.software, e.id, n) != text+"\n\n" {
			return events, body
		}
		events, body = append(events, e), after
	}
}

// areWhole reports whether events are all that follow one, of one request and version.
func areWhole(events []textEvent, id string, after int) bool {
	for i, e := range events {
		if e.id != id || e.n != after+1+i || e.software != events[0].software {
			return false
		}
	}
	return after+len(events) == versionEvents
}

// isWholeOutput reports whether an item's output is complete, from one software version.
func (d *deployment) isWholeOutput(id, output string) bool {
	if d.seed < firstVersionsSeed {
		return output == platformtest.ExpectedOutput(id, 5)
	}
	var events []textEvent
	for i, line := range strings.Split(output, "\n") {
		software, text, _ := strings.Cut(line, " ")
		events = append(events, textEvent{software, strings.TrimSuffix(text, fmt.Sprint("-", i+1)), i + 1})
	}
	return areWhole(events, id, 0)
}

// stream is an answer that a caller takes up again until it is whole.
type stream struct {
	events []textEvent // of all its requests, in order
	tries  []*request
}

// callStreams requests streams, breaks some of them off, and takes broken ones up at
// random gateways. A caller that gets no event begins anew.
func (d *deployment) callStreams(caller int) {
	random := rand.New(rand.NewPCG(d.seed, uint64(400+caller)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; d.running(); n++ {
		s := &stream{}
		began := time.Now()
		for try := 0; try < maxTries && d.running(); try++ {
			r := &request{id: fmt.Sprintf("resume-s%d-%d-%d", caller, n, try), kind: "resume"}
			if d.tryStream(random, client, s, r, began) || len(s.events) == 0 {
				break
			}
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		}
		d.mu.Lock()
		d.streams = append(d.streams, s)
		d.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// tryStream makes one request for a stream and reports whether the stream is complete.
func (d *deployment) tryStream(random *rand.Rand, client *http.Client, s *stream, r *request, began time.Time) bool {
	g := d.gateways[random.IntN(len(d.gateways))]
	r.gateway = g.name
	var before []string
	if len(s.events) > 0 {
		r.after = len(s.events)
		if random.IntN(8) > 0 {
			r.resumes = s.events[0].id
		}
		before = d.enginesInService(s.events[0].software)
	}
	timeout := requestTimeout
	if random.IntN(3) == 0 {
		timeout = time.Duration(60+random.IntN(600)) * time.Millisecond
	}
	sound, faultFree := g.sound(), d.faultFree.Load()
	r.send(client, g, timeout)
	r.faultFree = faultFree && timeout == requestTimeout && r.after == 0 // faults may have hidden where others began
	var events []textEvent
	if r.status == http.StatusOK {
		events, _ = parseEvents(r.body)
	}
	whole := r.status == http.StatusOK && r.err == nil
	if r.resumes != "" && sound && g.sound() && 3*d.lostSince(began.Add(-lossWindow)) <= len(d.gateways) {
		after := d.enginesInService(s.events[0].software)
		inService := slices.DeleteFunc(before, func(e string) bool { return !slices.Contains(after, e) })
		if goesOn := whole || len(events) > 0; len(inService) >= 2 && (goesOn || timeout == requestTimeout) {
			d.recordTakeUp(r, goesOn)
		}
	}
	s.events = append(s.events, events...)
	s.tries = append(s.tries, r)
	d.mu.Lock()
	d.sent = append(d.sent, r)
	d.mu.Unlock()
	return whole
}

// recordTakeUp counts a take-up that is expected to go on.
func (d *deployment) recordTakeUp(r *request, goesOn bool) {
	d.mu.Lock()
	d.expected++
	if goesOn {
		d.continued++
	}
	d.mu.Unlock()
	if goesOn {
		return
	}
	d.logEvent("%s did not go on at %s after event %d of %s: status %d, %v", r.id, r.gateway, r.after, r.resumes, r.status, r.err)
}

// checkStreams requires that the text which callers joined from their requests has no gap
// and comes from one software version.
func (d *deployment) checkStreams() {
	var takeUps, unnamed, wentOn, refused int
	for _, s := range d.streams {
		for _, r := range s.tries {
			if r.after == 0 {
				continue
			}
			takeUps++
			switch {
			case promisesNotRun(r.status):
				refused++
			case r.status == http.StatusOK:
				wentOn++
			}
			if r.resumes == "" {
				unnamed++
			}
		}
		for i, e := range s.events {
			of := slices.IndexFunc(s.tries, func(r *request) bool { return r.id == e.id })
			if e.n != i+1 || e.software != s.events[0].software || of < 0 || s.tries[of].after > i {
				d.t.Errorf("seed %d: event %d that a caller joined is %+v, the first one %+v; requests %s", d.seed, i+1, e, s.events[0], s.describe())
				break
			}
		}
	}
	expectedTakeUps.Add(int64(d.expected))
	continuedTakeUps.Add(int64(d.continued))
	if d.seed >= firstVersionsSeed {
		d.t.Logf("seed %d: %d streams, %d take-ups (%d without the first request), of which %d were answered and %d refused; %d were expected to go on, and %d did",
			d.seed, len(d.streams), takeUps, unnamed, wentOn, refused, d.expected, d.continued)
	}
}

func (s *stream) describe() string {
	var b strings.Builder
	for _, r := range s.tries {
		fmt.Fprintf(&b, "%s at %s after %d: %d, %v; ", r.id, r.gateway, r.after, r.status, r.err)
	}
	return b.String()
}
