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

// brokenDay is a load of requests that may not be sent again, on upstreams of
// which one breaks some answers.
type brokenDay struct {
	gateways, upstreams, slots int
	rate                       float64 // requests a second, of all gateways
	// breaks reports whether the first upstream breaks an answer that it begins at a time of the day.
	breaks func(at time.Duration, random *rand.Rand) bool
	// all: the others do the same
	all    bool
	length time.Duration
}

// play returns how many requests were sent, broken and late.
func (b brokenDay) play(t *testing.T, seed uint64) (sent, broken, late int) {
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
			gateways[i] = New(Config{Self: fmt.Sprint("g", i), DataCentre: fmt.Sprint("z", i%2), Holder: h})
		}
		start := time.Now()
		end := start.Add(b.length)
		report := func(from *Dispatcher, lag time.Duration) {
			for _, to := range gateways {
				if to == from {
					continue
				}
				after := lag
				if to.cfg.DataCentre != from.cfg.DataCentre {
					after = 3 * lag // by way of the collectors
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
		one := func(g *Dispatcher, service time.Duration, draw *rand.Rand) {
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
			go one(gateways[random.IntN(len(gateways))], time.Duration(400+random.IntN(400))*time.Millisecond,
				rand.New(rand.NewPCG(seed, random.Uint64())))
		}
		time.Sleep(10 * time.Second)
	})
	return sent, int(brokenCount.Load()), int(lateCount.Load())
}

// Guards against an upstream that goes down and up by turns, or that breaks most
// answers, and draws ever more requests because it looks empty. Nobody can send
// them again. What may be lost are the answers by which it is judged and what is
// sent until all have heard, 6 ms at 120 a second; once for each time that it
// comes back.
func TestUpstreamThatBreaksAnswersIsEjected(t *testing.T) {
	const judged, unheard = ejectMinBroken, 2
	cases := []struct {
		name   string
		breaks func(at time.Duration, random *rand.Rand) bool
		most   int
	}{
		{"flaps four times", func(at time.Duration, _ *rand.Rand) bool {
			return at > 2*time.Second && at < 7600*time.Millisecond && at%(1400*time.Millisecond) < 700*time.Millisecond
		}, 4 * (judged + unheard)},
		{"breaks four in five", func(at time.Duration, random *rand.Rand) bool {
			return at > 2*time.Second && random.IntN(5) > 0
		}, 5 * (judged + unheard)}, // pauses of 0.5, 1, 2 and 4 s in 8 s, and one in reserve
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				sent, broken, late := brokenDay{gateways: 12, upstreams: 12, slots: 8, rate: 120, breaks: c.breaks, length: 10 * time.Second}.play(t, seed)
				t.Logf("%d of %d broken, %d late", broken, sent, late)
				if broken > c.most || late > sent/100 {
					t.Errorf("%d of %d broken, want at most %d; %d late", broken, sent, c.most, late)
				}
			}
		})
	}
}

// Guards against sound upstreams that are ejected for the answer in twenty that
// a fault of a connection breaks: the rest would have to serve the whole load,
// and requests would wait.
func TestRareBreaksEjectNobody(t *testing.T) {
	rare := func(_ time.Duration, random *rand.Rand) bool { return random.IntN(20) == 0 }
	for seed := range uint64(3) {
		sent, broken, late := brokenDay{gateways: 12, upstreams: 12, slots: 8, rate: 130, all: true, breaks: rare, length: 10 * time.Second}.play(t, seed)
		t.Logf("%d of %d broken, %d late", broken, sent, late)
		if late > sent/100 {
			t.Errorf("%d of %d late", late, sent)
		}
	}
}

// Guards against a gateway whose own network breaks connections, and that turns
// all others away from sound upstreams; and against a service whose upstreams
// are all ejected and get nothing.
func TestOneReporterEjectsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 8}, fleet.Upstream{ID: "b", Slots: 8})})
		tell := func(name string, key Key, broken int) {
			d.MergeReport(name, Report{Outcomes: []OutcomeStats{{Key: key, Broken: broken, Reporters: 1}}}, time.Now())
		}
		mustAcquire(t, d).Release(Cancelled) // both are known
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
		tell("p", KeyOf("a"), 9)
		if used := count(); used["a"] == 0 {
			t.Errorf("one gateway's word: %v", used)
		}
		tell("q", KeyOf("a"), 1)
		if used := count(); used["a"] != 0 {
			t.Errorf("after two gateways' word: %v", used)
		}
		tell("p", KeyOf("b"), 2)
		tell("q", KeyOf("b"), 2)
		if used := count(); used["a"]+used["b"] != 8 {
			t.Errorf("with all ejected: %v", used)
		}
	})
}

// Guards against a second, longer ejection for the answers that led to the first
// one, or that had begun before it.
func TestOldEvidenceDoesNotEjectAgain(t *testing.T) {
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
		exchange() // the last report before the pause ends
		time.Sleep(101 * time.Millisecond)
		old[4].Release(Broken)
		old[5].Release(Broken)
		exchange()
		if state.ejection.inRow != 1 {
			t.Errorf("ejected again by answers that began before the first ejection")
		}
		time.Sleep(maxOutcomeAge - baseEjectionTime)
		mustAcquire(t, d).Release(Broken)
		if state.ejection.inRow != 2 {
			t.Errorf("%d ejections after another broken answer", state.ejection.inRow)
		}
	})
}

// Guards against an upstream that breaks answers for minutes and whose pause, doubled
// each time, overflows.
func TestPauseStaysBounded(t *testing.T) {
	var e ejection
	now := time.Now()
	for i := range 100 {
		e.eject(now)
		if pause := e.until.Sub(now); pause < baseEjectionTime || pause > maxEjectionTime {
			t.Fatalf("pause %d: %v", i+1, pause)
		}
		now = e.until.Add(time.Second)
	}
	e.eject(now.Add(ejectionResetTime + time.Second))
	if pause := e.until.Sub(e.began); pause != baseEjectionTime {
		t.Errorf("first pause after a calm time: %v", pause)
	}
}

// Guards against requests that break on an ejected upstream because the others
// are full for a moment, and against requests that wait for dead ones.
func TestEjectedUpstreamsAreUsedOnlyIfTheOthersAreDead(t *testing.T) {
	list := func() []placement.Upstream {
		return []placement.Upstream{{ID: "ejected", Slots: 8}, {ID: "b", Slots: 8, Unavailable: true}, {ID: "c", Slots: 8, Unavailable: true}}
	}
	avoided := []bool{true, false, false}
	full := list()
	if excludeAvoided(full, avoided, []bool{false, false, false}); !full[0].Unavailable {
		t.Error("used while the others are full")
	}
	refusing := list()
	if excludeAvoided(refusing, avoided, []bool{false, true, true}); refusing[0].Unavailable || !refusing[0].Degraded {
		t.Errorf("the others refuse connections: %+v", refusing[0])
	}
}

// Guards against requests that may not be sent again on an upstream of which
// nobody knows whether it works again, and against one that is left alone for good.
func TestTrialAfterEjection(t *testing.T) {
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
			t.Errorf("on trial: a request that may not be sent again went to %s", got)
		}
		trial := acquire(true)
		if got := sentTo(true); trial.Upstream.ID != "near" || got != "far" {
			t.Errorf("on trial: sent to %s, and beside it to %s", trial.Upstream.ID, got)
		}
		trial.Progress()
		if got := sentTo(false); got != "near" {
			t.Errorf("after an answer has begun: sent to %s", got)
		}
		trial.Release(Served)
		time.Sleep(maxOutcomeAge) // reports hold evidence for longer than this test does
		eject()
		time.Sleep(2*baseEjectionTime - time.Millisecond)
		if got := sentTo(true); got != "far" {
			t.Errorf("the second pause is no longer than the first: sent to %s", got)
		}
		time.Sleep(probationPeriod + 2*time.Millisecond)
		if got := sentTo(false); got != "near" {
			t.Errorf("left alone for good: sent to %s", got)
		}
	})
}
