package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/placement"
)

// faultScenario is a load of non-repeatable requests on upstreams of which one
// breaks some answers.
type faultScenario struct {
	gateways, upstreams, slots int
	rate                       float64 // requests per second, of all gateways
	// breaks reports whether the first upstream breaks an answer that starts at a time.
	breaks func(at time.Duration, random *rand.Rand) bool
	// all: the other upstreams break answers in the same way
	all      bool
	duration time.Duration
}

// run returns the numbers of requests that were sent, broken and late.
func (b faultScenario) run(t *testing.T, seed uint64) (sent, broken, late int) {
	var brokenCount, lateCount atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		records := make([]fleet.Upstream, b.upstreams)
		for i := range records {
			records[i] = fleet.Upstream{ID: fmt.Sprint("e", i), Slots: b.slots, DataCentre: fmt.Sprint("z", i%2)}
		}
		h := holder(records...)
		gateways := make([]*Dispatcher, b.gateways)
		for i := range gateways {
			gateways[i] = New(Config{Self: fmt.Sprint("g", i), DataCentre: fmt.Sprint("z", i%2), Holder: h,
				Random: rand.New(rand.NewPCG(seed, uint64(i+2)))})
		}
		start := time.Now()
		end := start.Add(b.duration)
		report := func(from *Dispatcher, lag time.Duration) {
			for _, to := range gateways {
				if to == from {
					continue
				}
				after := lag
				if to.cfg.DataCentre != from.cfg.DataCentre {
					after = 3 * lag // relayed by the collectors
				}
				time.AfterFunc(after, func() { to.MergeReport(from.cfg.Self, from.Report(), time.Now()) })
			}
		}
		for i, g := range gateways {
			g.OnChange(func(urgent bool) {
				if urgent {
					report(g, 2*time.Millisecond)
				}
			})
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				for ; time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
					report(g, 2*time.Millisecond)
				}
			}()
		}
		sendRequest := func(g *Dispatcher, service time.Duration, draw *rand.Rand) {
			arrived := time.Now()
			grant, err := g.Acquire(t.Context(), &Request{Service: "s", Arrived: arrived,
				Objective: arrived.Add(300 * time.Millisecond), Deadline: arrived.Add(5 * time.Second)})
			if err != nil || time.Since(arrived) > 250*time.Millisecond {
				lateCount.Add(1)
			}
			if err != nil {
				return
			}
			if (b.all || grant.Upstream.ID == "e0") && b.breaks(time.Since(start), draw) {
				time.Sleep(time.Millisecond)
				brokenCount.Add(1)
				grant.Release(Broken)
				return
			}
			time.Sleep(50 * time.Millisecond)
			grant.Progress()
			time.Sleep(service)
			grant.Release(Served)
		}
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / b.rate * float64(time.Second)))
			sent++
			go sendRequest(gateways[random.IntN(len(gateways))], time.Duration(400+random.IntN(400))*time.Millisecond,
				rand.New(rand.NewPCG(seed, random.Uint64())))
		}
		time.Sleep(10 * time.Second)
	})
	return sent, int(brokenCount.Load()), int(lateCount.Load())
}

// Guards against a flapping upstream, or one that breaks most answers, that attracts
// more and more non-repeatable requests because it looks idle. The permitted loss per
// recovery is the broken answers needed for the ejection plus the requests sent until
// all gateways know of it, which takes 6 ms at 120 requests per second.
func TestUpstreamThatBreaksAnswersIsEjected(t *testing.T) {
	const judged, unheard = ejectMinBroken, 2
	cases := []struct {
		name      string
		breaks    func(at time.Duration, random *rand.Rand) bool
		maxBroken int
	}{
		{"flaps four times", func(at time.Duration, _ *rand.Rand) bool {
			return at > 2*time.Second && at < 7600*time.Millisecond && at%(1400*time.Millisecond) < 700*time.Millisecond
		}, 4 * (judged + unheard)},
		{"breaks four in five", func(at time.Duration, random *rand.Rand) bool {
			return at > 2*time.Second && random.IntN(5) > 0
		}, 5 * (judged + unheard)}, // ejections of 0.5, 1, 2 and 4 s in 8 s, and one as a margin
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				sent, broken, late := faultScenario{gateways: 12, upstreams: 12, slots: 8, rate: 120, breaks: c.breaks, duration: 10 * time.Second}.run(t, seed)
				t.Logf("%d of %d broken, %d late", broken, sent, late)
				if broken > c.maxBroken || late > sent/100 {
					t.Errorf("%d of %d broken, want at most %d; %d late", broken, sent, c.maxBroken, late)
				}
			}
		})
	}
}

// Guards against ejecting upstreams of which a network fault breaks one answer in
// twenty: the others would have to serve the whole load, and requests would queue.
func TestLowFailureRateDoesNotEject(t *testing.T) {
	rare := func(_ time.Duration, random *rand.Rand) bool { return random.IntN(20) == 0 }
	for seed := range uint64(3) {
		sent, broken, late := faultScenario{gateways: 12, upstreams: 12, slots: 8, rate: 130, all: true, breaks: rare, duration: 10 * time.Second}.run(t, seed)
		t.Logf("%d of %d broken, %d late", broken, sent, late)
		if late > sent/100 {
			t.Errorf("%d of %d late", late, sent)
		}
	}
}

// Guards against a single gateway with a faulty network that makes all others eject
// healthy upstreams, and against a service that gets no requests because all of its
// upstreams are ejected.
func TestSingleReporterDoesNotEject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 8}, fleet.Upstream{ID: "b", Slots: 8})})
		report := func(name string, key Key, broken int) {
			d.MergeReport(name, Report{Outcomes: []OutcomeStats{{Key: key, Broken: broken, Reporters: 1}}}, time.Now())
		}
		mustAcquire(t, d).Release(Cancelled) // makes both upstreams known to the dispatcher
		count := func() map[string]int {
			used := make(map[string]int)
			var grants []*Grant
			for range 8 {
				g := mustAcquire(t, d)
				used[g.Upstream.ID]++
				grants = append(grants, g)
			}
			for _, g := range grants {
				g.Release(Cancelled)
			}
			return used
		}
		report("p", KeyOf("a"), 9)
		if used := count(); used["a"] == 0 {
			t.Errorf("reported by one gateway: %v", used)
		}
		report("q", KeyOf("a"), 1)
		if used := count(); used["a"] != 0 {
			t.Errorf("reported by two gateways: %v", used)
		}
		report("p", KeyOf("b"), 2)
		report("q", KeyOf("b"), 2)
		if used := count(); used["a"]+used["b"] != 8 {
			t.Errorf("with all ejected: %v", used)
		}
	})
}

// Guards against a second, longer ejection because of answers that led to the first
// one or had started before it.
func TestOldOutcomesDoNotEjectAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := holder(fleet.Upstream{ID: "a", Slots: 8})
		d, other := New(Config{Self: "g", Holder: h}), New(Config{Self: "o", Holder: h})
		exchange := func() {
			d.MergeReport("o", other.Report(), time.Now())
			other.MergeReport("g", d.Report(), time.Now())
		}
		var old []*Grant
		for range 4 {
			old = append(old, mustAcquire(t, d), mustAcquire(t, other))
		}
		for _, g := range old[:4] {
			g.Release(Broken)
			exchange()
		}
		state := d.upstreams["a"]
		if state.ejection.inRow != 1 {
			t.Fatalf("%d ejections", state.ejection.inRow)
		}
		time.Sleep(baseEjectionTime - 100*time.Millisecond)
		exchange() // the last report before the ejection ends
		time.Sleep(101 * time.Millisecond)
		old[4].Release(Broken)
		old[5].Release(Broken)
		exchange()
		if state.ejection.inRow != 1 {
			t.Errorf("ejected again because of answers that started before the first ejection")
		}
		time.Sleep(maxOutcomeAge - baseEjectionTime)
		mustAcquire(t, d).Release(Broken)
		if state.ejection.inRow != 2 {
			t.Errorf("%d ejections after another broken answer", state.ejection.inRow)
		}
	})
}

// Guards against an overflow of the ejection time, which doubles each time, if an
// upstream breaks answers for minutes.
func TestEjectionTimeIsBounded(t *testing.T) {
	var e ejection
	now := time.Now()
	for i := range 100 {
		e.eject(now)
		if ejectionTime := e.until.Sub(now); ejectionTime < baseEjectionTime || ejectionTime > maxEjectionTime {
			t.Fatalf("ejection %d: %v", i+1, ejectionTime)
		}
		now = e.until.Add(time.Second)
	}
	e.eject(now.Add(ejectionTTL + time.Second))
	if ejectionTime := e.until.Sub(e.began); ejectionTime != baseEjectionTime {
		t.Errorf("first ejection after ejectionTTL: %v", ejectionTime)
	}
}

// Guards against sending requests to an ejected upstream because the others are
// momentarily full, and against waiting for unreachable upstreams.
func TestEjectedUpstreamsAreUsedOnlyIfOthersRefuseConnections(t *testing.T) {
	list := func() []placement.Upstream {
		return []placement.Upstream{{ID: "ejected", Slots: 8}, {ID: "b", Slots: 8, Unavailable: true}, {ID: "c", Slots: 8, Unavailable: true}}
	}
	avoided := []bool{true, false, false}
	full := list()
	if excludeAvoided(full, avoided, []bool{false, false, false}); !full[0].Unavailable {
		t.Error("ejected upstream used while the others are full")
	}
	refusing := list()
	if excludeAvoided(refusing, avoided, []bool{false, true, true}); refusing[0].Unavailable || !refusing[0].Degraded {
		t.Errorf("the others refuse connections: %+v", refusing[0])
	}
}

// Guards against sending non-repeatable requests to an upstream that has not yet
// proven to work after an ejection, and against one that is never used again.
func TestProbeAfterEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", DataCentre: "z", Holder: holder(
			fleet.Upstream{ID: "near", DataCentre: "z", Slots: 8}, fleet.Upstream{ID: "far", Slots: 8})})
		acquire := func(repeatable bool) *Grant {
			r := request(5 * time.Second)
			r.Repeatable = repeatable
			g, err := d.Acquire(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			return g
		}
		sentTo := func(repeatable bool) string {
			g := acquire(repeatable)
			defer g.Release(Cancelled)
			return g.Upstream.ID
		}
		eject := func() {
			for _, name := range []string{"p", "q"} {
				d.MergeReport(name, Report{Outcomes: []OutcomeStats{{Key: KeyOf("near"), Broken: 2, Reporters: 1}}}, time.Now())
			}
			for _, name := range []string{"p", "q"} {
				d.MergeReport(name, Report{}, time.Now())
			}
		}
		sentTo(false)
		eject()
		if got := sentTo(true); got != "far" {
			t.Errorf("ejected: sent to %s", got)
		}
		time.Sleep(baseEjectionTime + time.Millisecond)
		if got := sentTo(false); got != "far" {
			t.Errorf("on probation: a non-repeatable request went to %s", got)
		}
		probe := acquire(true)
		if got := sentTo(true); probe.Upstream.ID != "near" || got != "far" {
			t.Errorf("on probation: sent to %s, and concurrently to %s", probe.Upstream.ID, got)
		}
		probe.Progress()
		if got := sentTo(false); got != "near" {
			t.Errorf("after an answer has started: sent to %s", got)
		}
		probe.Release(Served)
		time.Sleep(maxOutcomeAge) // outcomes within maxOutcomeAge of an ejection are ignored
		eject()
		time.Sleep(2*baseEjectionTime - time.Millisecond)
		if got := sentTo(true); got != "far" {
			t.Errorf("the second ejection is not longer than the first: sent to %s", got)
		}
		time.Sleep(probationPeriod + 2*time.Millisecond)
		if got := sentTo(false); got != "near" {
			t.Errorf("not used again after probation: sent to %s", got)
		}
	})
}
