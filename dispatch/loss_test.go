package dispatch

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/fleet"
)

const (
	simLossAt        = simPeakPeriod - simPeakDuration + 200*time.Millisecond // in the first peak
	simStartSpan     = 500 * time.Millisecond                                 // within which lost gateways start
	simReturnSpan    = 5 * time.Second                                        // after the first start, which is measured
	simRetrySpan     = time.Second                                            // within which callers retry
	simMemberRead    = 20 * time.Millisecond                                  // from the start of a gateway until it knows the others
	simJobClaim      = 100 * time.Millisecond                                 // from the start of a gateway to its first batch items
	simLossFirstByte = 40 * time.Millisecond
	simObjective     = 300 * time.Millisecond
)

// loss is the loss of gateways in a peak. The methods accept nil, for a play without one.
type loss struct {
	down    time.Duration // until the first gateway starts again
	lost    int           // gateways, the first ones
	unaware bool          // gateways don't know how many others there are
	oracle  bool          // after the loss, waiting requests are served with knowledge of all upstreams
	// newest: the oracle serves the newest of those that can be in time first.
	newest bool

	engines  map[string]*simUpstream
	locked   func(func())
	live     []*Dispatcher
	lives    []context.Context
	starts   []time.Time // of gateways that were lost
	returned time.Time   // when the first gateway started again
	waiting  []*oracleWaiter
	first    []time.Duration // from the first attempt to the first event; 0 without an answer
	arrival  []time.Duration // from the last attempt
}

type oracleWaiter struct {
	objective time.Time
	granted   chan *simUpstream
}

// setMembers tells a gateway how many others there are, as package peer does.
func (l *loss) setMembers(g *Dispatcher, known int) {
	if l == nil || l.unaware || time.Since(g.recovery.created) < simMemberRead {
		return
	}
	g.mu.Lock()
	heard := g.gatewayCount()
	g.mu.Unlock()
	g.SetMembers(heard, known, time.Now())
}

func (l *loss) byOracle() (is bool) {
	if l != nil {
		l.locked(func() { is = l.oracle && !l.returned.IsZero() })
	}
	return is
}

// batchWaits reports whether a gateway has no batch items yet.
func (l *loss) batchWaits(i int) (waits bool) {
	if l != nil && !l.byOracle() {
		l.locked(func() { waits = l.starts != nil && time.Since(l.starts[i]) < simJobClaim })
		return waits
	}
	return l != nil
}

// itemLength returns the time that a batch item takes. It differs where gateways are lost,
// as items that start together would all keep their slots until the same moment.
func (l *loss) itemLength() time.Duration {
	if l == nil {
		return 4 * time.Second
	}
	return 2*time.Second + rand.N(4*time.Second)
}

// start loses the gateways and starts them again.
func (l *loss) start(seed uint64, engines map[string]*simUpstream, locked func(func()), live []*Dispatcher, restart func(int) *Dispatcher) {
	if l == nil {
		return
	}
	locked(func() { l.engines, l.live, l.starts = engines, live, make([]time.Time, len(live)) })
	stops := make([]context.CancelFunc, len(live))
	for i := range live {
		life, stop := context.WithCancel(context.Background())
		l.lives, stops[i] = append(l.lives, life), stop
	}
	go func() {
		time.Sleep(simLossAt)
		locked(func() {
			l.returned = time.Now().Add(l.down)
			for i := range l.lost {
				live[i] = nil
				stops[i]()
			}
		})
		random := rand.New(rand.NewPCG(seed, 2))
		for i := range l.lost {
			delay := l.down + time.Duration(random.Int64N(int64(simStartSpan)))
			time.AfterFunc(delay, func() {
				g := restart(i)
				locked(func() { live[i], l.lives[i], l.starts[i] = g, context.Background(), time.Now() })
			})
		}
	}()
}

// call sends a request to up to two gateways.
func (l *loss) call(gateways []int, service, retryDelay time.Duration) {
	began := time.Now()
	for try, i := range gateways {
		arrived := time.Now()
		firstEvent, done := l.attempt(i, service)
		if done || try == len(gateways)-1 {
			l.locked(func() {
				if l.returned.IsZero() || arrived.Before(l.returned) || arrived.After(l.returned.Add(simReturnSpan)) {
					return
				}
				if !done {
					l.first, l.arrival = append(l.first, 0), append(l.arrival, 0)
					return
				}
				l.first, l.arrival = append(l.first, firstEvent.Sub(began)), append(l.arrival, firstEvent.Sub(arrived))
			})
			return
		}
		time.Sleep(simRetrySpan/10 + retryDelay)
	}
}

// attempt returns when the answer began, and false if it was not completed.
func (l *loss) attempt(i int, service time.Duration) (firstEvent time.Time, done bool) {
	var g *Dispatcher
	var life context.Context
	l.locked(func() { g, life = l.live[i], l.lives[i] })
	if g == nil {
		return firstEvent, false
	}
	arrived := time.Now()
	var u *simUpstream
	var grant *Grant
	if l.byOracle() {
		u = l.oracleAcquire(arrived)
	} else {
		var err error
		grant, err = g.Acquire(life, &Request{Service: "s", Arrived: arrived, Objective: arrived.Add(simObjective), Deadline: arrived.Add(5 * time.Second)})
		if err != nil {
			return firstEvent, false
		}
		u = l.engines[grant.Upstream.ID]
	}
	var ready <-chan struct{}
	l.locked(func() {
		ready = u.begin()
		if grant == nil {
			u.granted--
		}
	})
	ended := make(chan struct{})
	var begun time.Time
	go func() { // the upstream runs it to the end, also without the gateway
		<-ready
		time.Sleep(simLossFirstByte)
		begun = time.Now()
		if grant != nil {
			grant.Progress()
		}
		time.Sleep(service - simLossFirstByte)
		l.locked(u.end)
		if grant != nil {
			grant.Release(Served)
		}
		l.locked(l.oracleServe)
		close(ended)
	}()
	select {
	case <-ended:
		return begun, true
	case <-life.Done():
		return time.Time{}, false
	}
}

// oracleAcquire waits for a slot of any upstream.
func (l *loss) oracleAcquire(arrived time.Time) *simUpstream {
	w := &oracleWaiter{objective: arrived.Add(simObjective - simLossFirstByte), granted: make(chan *simUpstream, 1)}
	l.locked(func() {
		l.waiting = append(l.waiting, w)
		l.oracleServe()
	})
	return <-w.granted
}

// oracleServe grants free slots: requests that can be in time first, then the oldest.
func (l *loss) oracleServe() {
	for _, u := range l.engines {
		for n := u.slots - u.running - u.granted; n > 0 && len(l.waiting) > 0; n-- {
			now := time.Now()
			w := slices.MinFunc(l.waiting, func(a, b *oracleWaiter) int {
				late := func(w *oracleWaiter) int {
					if w.objective.Before(now) {
						return 1
					}
					return 0
				}
				order := a.objective.Compare(b.objective)
				if l.newest && late(a) == 0 {
					order = -order
				}
				return cmp.Or(late(a)-late(b), order)
			})
			l.waiting = slices.DeleteFunc(l.waiting, func(other *oracleWaiter) bool { return other == w })
			u.granted++
			w.granted <- u
		}
	}
}

// shareWithin returns the share of the requests within the objective, and the median.
func shareWithin(times []time.Duration) (share float64, median time.Duration) {
	times = slices.Clone(times)
	for i, d := range times {
		if d == 0 {
			times[i] = time.Hour // refused
		}
	}
	slices.Sort(times)
	n, _ := slices.BinarySearch(times, simObjective+1)
	return float64(n) / float64(len(times)), times[len(times)/2]
}

// play runs the load of the users' deployment, 368 slots and steps of 0.38 and 1.85 of a
// mean of 213 requests a second, and returns the times to the first event from the first
// attempt and from the last one.
func (l loss) play(t *testing.T, seeds uint64) (first, arrival []time.Duration) {
	for seed := range seeds {
		run := l
		contentionScenario{gateways: 32, upstreams: 46, slots: 8, rate: 213, peaks: true, service: 750 * time.Millisecond, batch: true,
			duration: simLossAt + l.down + simReturnSpan + simStartSpan, loss: &run}.lateShare(t, seed)
		first, arrival = append(first, run.first...), append(arrival, run.arrival...)
	}
	share, median := shareWithin(first)
	shareArrival, medianArrival := shareWithin(arrival)
	t.Logf("%d of 32 gateways down for %v, unaware %v, oracle %v (newest first %v): %d requests; from the first attempt %.3f in time, median %v; from the last %.3f, %v",
		l.lost, l.down, l.unaware, l.oracle, l.newest, len(first), share, median, shareArrival, medianArrival)
	return first, arrival
}

var lossSeeds = flag.Uint64("sim.losses", 1, "plays of each case of a loss of gateways")

// Guards against gateways that fill upstreams beyond their slots after all were lost: none
// knows what the others start and what upstreams still run, so that requests that could be
// in time wait in upstreams behind others and behind batch items. The parts of an oracle's
// gain that are wanted are below the measured ones (0.28, 0.42, 0.82 and 0.98) by the
// difference between two plays.
func TestLossOfAllGateways(t *testing.T) {
	cases := map[time.Duration]float64{500 * time.Millisecond: 0.15, 1500 * time.Millisecond: 0.5}
	if *lossSeeds > 1 {
		cases[time.Second], cases[2*time.Second] = 0.25, 0.75
	}
	for down, part := range cases {
		t.Run(down.String(), func(t *testing.T) {
			t.Parallel()
			_, unaware := loss{down: down, lost: 32, unaware: true}.play(t, *lossSeeds)
			_, aware := loss{down: down, lost: 32}.play(t, *lossSeeds)
			_, oracle := loss{down: down, lost: 32, oracle: true}.play(t, *lossSeeds)
			before, _ := shareWithin(unaware)
			after, _ := shareWithin(aware)
			best, _ := shareWithin(oracle)
			if after < before+part*(best-before) {
				t.Errorf("%.3f in time, %.3f without knowledge of other gateways, oracle %.3f", after, before, best)
			}
		})
	}
}

// Guards against a recovery that delays requests or batch items when a single gateway
// restarts, or that begins at gateways that go on.
func TestLossOfOneGateway(t *testing.T) {
	_, unaware := loss{down: time.Second, lost: 1, unaware: true}.play(t, 1)
	aware := loss{down: time.Second, lost: 1}
	_, times := aware.play(t, 1)
	before, _ := shareWithin(unaware)
	after, _ := shareWithin(times)
	if after < before-0.01 {
		t.Errorf("%.3f in time, %.3f without knowledge of other gateways", after, before)
	}
}

// Guards against a recovery without end, and against one at a lone gateway, beside a new
// gateway, or after a restart alone for longer than until the others are heard.
func TestRecovery(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type told struct {
		ms, heard, known int
		batch            bool // others run batch items
		unheard          int  // wanted
		active           bool // wanted
	}
	for name, list := range map[string][]told{
		"all lost":                   {{20, 1, 32, false, 31, true}, {200, 20, 32, false, 12, true}, {300, 32, 32, false, 0, true}, {350, 31, 32, false, 0, true}, {3020, 32, 32, false, 0, false}},
		"some do not come back":      {{20, 1, 32, false, 31, true}, {519, 30, 32, false, 2, true}, {520, 30, 32, false, 0, true}, {2000, 30, 32, true, 0, false}},
		"restarted alone":            {{20, 1, 32, false, 31, true}, {60, 10, 32, true, 22, true}, {100, 32, 32, true, 0, false}, {200, 31, 32, false, 0, false}},
		"all heard at once":          {{20, 32, 32, false, 0, true}, {40, 32, 32, true, 0, false}},
		"no peer is known":           {{20, 1, 1, false, 0, false}, {900, 1, 1, false, 0, false}},
		"the first peer comes later": {{20, 1, 1, false, 0, false}, {5001, 1, 2, false, 0, false}},
		"member rows come late":      {{20, 1, 1, false, 0, false}, {50, 2, 2, false, 0, true}, {400, 3, 32, false, 29, true}, {899, 3, 32, false, 29, true}, {900, 3, 32, false, 0, true}},
	} {
		r := recovery{created: start}
		for _, m := range list {
			r.update(m.heard, m.known, m.batch, at(m.ms))
			if u, a := r.unheard(at(m.ms)), r.active(at(m.ms)); u != m.unheard || a != m.active {
				t.Errorf("%s, after %d ms: %d unheard, active %v, want %d, %v", name, m.ms, u, a, m.unheard, m.active)
			}
		}
	}
}

// Guards against a gateway that takes more than its share of the slots while others are
// not heard, against batch items in that time, and against requests that wait after it.
func TestShareWhileOthersAreUnheard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 8}, fleet.Upstream{ID: "b", Slots: 8}), Log: zerolog.New(&log)})
		d.SetMembers(1, 4, time.Now())
		if wait, want := d.estimateWait(7, d.queue("s"), "s"), 8*initialServiceTime/4; wait != want {
			t.Errorf("estimated wait %v behind seven, want %v on a quarter of the slots", wait, want)
		}
		var taken atomic.Int32
		for range 10 {
			go func() {
				if g, err := d.Acquire(t.Context(), request(5*time.Second)); err == nil {
					taken.Add(1)
					g.Progress()
				}
			}()
		}
		time.Sleep(4 * queuePollInterval)
		if n := taken.Load(); n < 4 || n > 5 {
			t.Errorf("%d of 16 slots taken with three gateways unheard, want a quarter", n)
		}
		d.MergeReport("h", Report{Loads: []UpstreamLoad{{KeyOf("a"), 2, 0}}}, time.Now())
		d.SetMembers(4, 4, time.Now())
		time.Sleep(time.Second)
		if n := taken.Load(); n != 10 {
			t.Errorf("%d of 10 requests started after all gateways were heard", n)
		}
		time.Sleep(recoveryLimit)
		if d.BatchStartQuota("s", 9) == 0 {
			t.Error("no batch item may start after the recovery")
		}
		d.SetMembers(4, 4, time.Now())
		d.SetMembers(4, 4, time.Now())
		if n := bytes.Count(log.Bytes(), []byte("\n")); n != 2 {
			t.Errorf("%d log lines of the begin and the end: %s", n, &log)
		}
	})
}

// Guards against batch items that take the slots of an online backlog after a start, and
// against items that wait without one.
func TestBatchAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 8})})
		d.SetMembers(2, 2, time.Now())
		check := func(name string, want bool) {
			t.Helper()
			g := d.TryAcquireBatch("s", nil)
			if g != nil {
				g.Release(Cancelled)
			}
			if quota := d.BatchStartQuota("s", 1) > 0; quota != want || (g != nil) != want {
				t.Errorf("%s: quota %v, grant %v, want %v", name, quota, g != nil, want)
			}
		}
		check("just started", false)
		time.Sleep(assumptionLimit)
		check("without online load", true)
		d.MergeReport("h", Report{Loads: []UpstreamLoad{{KeyOf("a"), 2, 0}}}, time.Now())
		check("a request for each gateway", true)
		d.MergeReport("h", Report{Loads: []UpstreamLoad{{KeyOf("a"), 3, 0}}}, time.Now())
		check("more requests than gateways", false)
		d.queue("s")
		d.MergeReport("h", Report{Waiting: map[Key]int{KeyOf("s"): 1}}, time.Now())
		check("a request waits", false)
	})
}

func TestOwnShare(t *testing.T) {
	for _, c := range []struct {
		slots, others, unheard int
		fraction               float64
		want                   int
	}{{368, 0, 31, 0.4, 11}, {368, 0, 31, 0.6, 12}, {368, 48, 31, 0, 10}, {16, 20, 3, 0.9, 0}} {
		if n := ownShare(c.slots, c.others, c.unheard, c.fraction); n != c.want {
			t.Errorf("share %d of %+v", n, c)
		}
	}
}

// Guards against a request of a service with fewer slots than gateways that waits at a
// gateway that has just started, while the service is idle.
func TestSmallServiceAtRestartOfOneGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 50 { // the share of a gateway is rounded at random
			d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 6})})
			d.SetMembers(1, 34, time.Now())
			for after, heard := range map[time.Duration]int{40: 12, 120: 23, 250: 34} {
				time.AfterFunc(after*time.Millisecond, func() {
					d.MergeReport("h", Report{Loads: []UpstreamLoad{{KeyOf("other"), 2, 3}}}, time.Now())
					d.SetMembers(heard, 34, time.Now())
				})
			}
			time.Sleep(50 * time.Millisecond)
			began := time.Now()
			g, err := d.Acquire(t.Context(), request(5*time.Second))
			if err != nil {
				t.Fatal(err)
			}
			if waited := time.Since(began); waited > 50*time.Millisecond {
				t.Errorf("a request for free slots waited %s", waited)
			}
			g.Release(Served)
			time.Sleep(time.Second)
		}
	})
}
