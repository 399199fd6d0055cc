package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

// contentionScenario is a load that many gateways place while they receive each
// other's reports with a delay.
type contentionScenario struct {
	gateways, upstreams, slots int
	rate                       float64       // online requests per second, of all gateways
	peaks                      bool          // 1.85 times the rate for 2.2 s of each 5.2 s, and so much less in between
	service                    time.Duration // mean service time of an online request
	batch                      bool          // adds batch work that fills the remaining slots
	duration                   time.Duration
	organisationLoad           *organisationLoad // callers; nil for callers without organisations
	loss                       *loss             // of gateways; nil for none
	speedLoad                  *speedLoad        // speeds of the upstreams; nil if all are 1
}

const (
	simRefresh      = 250 * time.Millisecond
	simNetworkDelay = time.Millisecond      // network delay of a datagram
	simUrgentDelay  = 2 * time.Millisecond  // delay before urgent reports are relayed
	simFirstByte    = 50 * time.Millisecond // from the start of a request to its first byte
)

// simUpstream runs requests first come, first served, without priorities.
type simUpstream struct {
	slots   int
	running int
	queue   []chan struct{}
	granted int                     // by the oracle of a loss, and not begun
	speed   func(time.Time) float64 // nil for 1
}

func (u *simUpstream) begin() <-chan struct{} {
	ready := make(chan struct{})
	if u.running < u.slots {
		u.running++
		close(ready)
	} else {
		u.queue = append(u.queue, ready)
	}
	return ready
}

func (u *simUpstream) end() {
	if len(u.queue) > 0 {
		close(u.queue[0])
		u.queue = u.queue[1:]
		return
	}
	u.running--
}

// Traffic of the users' deployments: peaks that nobody announces.
const (
	simPeakPeriod   = 5200 * time.Millisecond
	simPeakDuration = 2200 * time.Millisecond
	simPeakFactor   = 1.85
)

// rateAt returns the rate of online requests after some time.
func (c contentionScenario) rateAt(elapsed time.Duration) float64 {
	if !c.peaks {
		return c.rate
	}
	if elapsed%simPeakPeriod >= simPeakPeriod-simPeakDuration {
		return c.rate * simPeakFactor
	}
	const share = float64(simPeakDuration) / float64(simPeakPeriod)
	return c.rate * (1 - simPeakFactor*share) / (1 - share)
}

// lateShare runs the scenario and returns the fraction of online requests that start
// more than 250 ms after their arrival, including the time queued at an upstream, and
// the mean number of slots that run batch items.
func (c contentionScenario) lateShare(t *testing.T, seed uint64) (share, batchSlots float64) {
	var late, all int
	var batchTime time.Duration
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		records := make([]fleet.Upstream, c.upstreams)
		engines := make(map[string]*simUpstream)
		for i := range records {
			records[i] = fleet.Upstream{ID: fmt.Sprint("e", i), Slots: c.slots, DataCentre: fmt.Sprint("z", i%3)}
			engines[records[i].ID] = &simUpstream{slots: c.slots}
		}
		c.speedLoad.assign(records, engines, seed)
		h := holder(records...)
		gateways := make([]*Dispatcher, c.gateways)
		newGateway := func(i int) *Dispatcher {
			return New(Config{Self: fmt.Sprint("g", i), DataCentre: fmt.Sprint("z", i%3), Holder: h})
		}
		for i := range gateways {
			gateways[i] = newGateway(i)
			gateways[i].recovery.created = time.Time{} // they have met before
			c.speedLoad.install(gateways[i])
		}
		lock := make(chan struct{}, 1) // serialises access to the simulated upstreams and counters
		locked := func(f func()) {
			lock <- struct{}{}
			f()
			<-lock
		}
		if c.loss != nil {
			c.loss.locked = locked
		}
		end := time.Now().Add(c.duration)
		reportInterval := ReportInterval(len(gateways)/3 - 1) // between two reports in one data centre
		live := make([]*Dispatcher, c.gateways)               // nil for those that are lost
		copy(live, gateways)
		at := func(i int) (g *Dispatcher) {
			locked(func() { g = live[i] })
			return g
		}
		report := func(i int) {
			from := at(i)
			if from == nil {
				return
			}
			c.loss.setMembers(from, c.gateways)
			r := from.Report()
			for j := range gateways {
				if j != i && j%3 == i%3 {
					time.AfterFunc(simNetworkDelay, func() {
						if to := at(j); to != nil {
							to.MergeReport(from.cfg.Self, r, time.Now())
						}
					})
				}
			}
		}
		// The first live gateway of each data centre is its collector: it sends digests to
		// the other data centres and relays those that it receives.
		collectors := gateways[:min(3, len(gateways))]
		digest := func(dataCentre int, refresh bool, relayDelay time.Duration) {
			collector := at(dataCentre)
			for i := dataCentre + 3; collector == nil && i < c.gateways; i += 3 {
				collector = at(i)
			}
			if collector == nil {
				return
			}
			g, _ := collector.Digest(refresh)
			for i := range gateways {
				delay := simNetworkDelay
				if i >= len(collectors) {
					delay += relayDelay + simNetworkDelay
				}
				time.AfterFunc(delay, func() {
					if to := at(i); to != nil {
						to.MergeDigest(g, time.Now())
					}
				})
			}
		}
		every := func(interval, offset time.Duration, f func()) {
			go func() {
				time.Sleep(offset)
				for ; time.Now().Before(end); time.Sleep(interval) {
					f()
				}
			}()
		}
		connect := func(i int, g *Dispatcher) {
			g.OnChange(func(urgent bool) {
				if urgent && at(i) == g {
					report(i)
					time.AfterFunc(simNetworkDelay+simUrgentDelay, func() { digest(i%len(collectors), false, simUrgentDelay) })
				}
			})
		}
		for i, g := range gateways { // reports of different gateways are staggered
			connect(i, g)
			every(reportInterval, reportInterval*time.Duration(i)/time.Duration(len(gateways)), func() { report(i) })
		}
		for i := range collectors {
			offset := DigestInterval * time.Duration(i) / time.Duration(len(collectors))
			every(DigestInterval, offset, func() { digest(i, false, reportInterval/2) })
			every(simRefresh, offset+DigestInterval/2, func() { digest(i, true, reportInterval/2) })
		}
		online := func(g *Dispatcher, service time.Duration, organisation int) {
			arrived := time.Now()
			grant, err := g.Acquire(t.Context(), &Request{Service: "s", Organisation: c.organisationLoad.name(organisation), Arrived: arrived,
				Objective: arrived.Add(300 * time.Millisecond), Deadline: arrived.Add(5 * time.Second)})
			var ready <-chan struct{}
			if err == nil {
				locked(func() { ready = engines[grant.Upstream.ID].begin() })
				<-ready
			}
			waited := time.Since(arrived)
			if err == nil {
				engines[grant.Upstream.ID].work(simFirstByte)
				grant.Progress()
				if c.speedLoad != nil {
					waited = time.Since(arrived) - simFirstByte
				}
				c.speedLoad.stream(grant, engines[grant.Upstream.ID], service-simFirstByte)
				locked(engines[grant.Upstream.ID].end)
				grant.Release(Served)
			}
			locked(func() {
				all++
				c.speedLoad.count(grant, time.Since(arrived), waited+simFirstByte, err == nil)
				c.organisationLoad.count(organisation, arrived, waited <= 250*time.Millisecond && err == nil)
				if waited > 250*time.Millisecond || err != nil {
					late++
				}
			})
		}
		if c.batch {
			for i := range gateways {
				go func() {
					for interval := time.Duration(0); time.Now().Before(end); time.Sleep(interval) {
						interval = 40 * time.Millisecond
						g := at(i)
						if g == nil || c.loss.batchWaits(i) {
							continue
						}
						interval = max(interval, g.PropagationDelay()*2/3)
						g.SetBacklog(map[string]int{"s": 50})
						for range g.BatchStartQuota("s", 50) {
							if grant := g.TryAcquireBatch("s", nil); grant != nil {
								go func() {
									ran := c.runItem(grant, engines[grant.Upstream.ID], locked)
									locked(func() { batchTime += ran })
								}()
							}
						}
					}
				}()
			}
			time.Sleep(time.Second)
		}
		c.organisationLoad.start(c, engines, locked, gateways, end, func(g *Dispatcher, organisation int, random *rand.Rand) {
			go online(g, c.service/2+time.Duration(random.Int64N(int64(c.service))), organisation)
		})
		c.loss.start(seed, engines, locked, live, func(i int) *Dispatcher {
			g := newGateway(i)
			connect(i, g)
			return g
		})
		for began := time.Now(); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / c.rateAt(time.Since(began)) * float64(time.Second)))
			if c.loss != nil {
				i, j, service := random.IntN(c.gateways), random.IntN(c.gateways), c.service/2+time.Duration(random.Int64N(int64(c.service)))
				go c.loss.call([]int{i, j}, service, time.Duration(random.Int64N(int64(simRetrySpan))))
				continue
			}
			go online(gateways[c.speedLoad.gateway(random, len(gateways))], c.service/2+time.Duration(random.Int64N(int64(c.service))), c.organisationLoad.draw(random))
		}
		time.Sleep(20 * time.Second)
	})
	return float64(late) / float64(all), batchTime.Seconds() / c.duration.Seconds()
}

// runItem runs a batch item of four seconds until it is done or preempted, and
// returns how long it ran.
func (c contentionScenario) runItem(grant *Grant, u *simUpstream, locked func(func())) (ran time.Duration) {
	var ready <-chan struct{}
	locked(func() { ready = u.begin() })
	outcome := Served
	select {
	case <-ready:
		if c.speedLoad != nil {
			ran, outcome = c.speedLoad.item(grant, u, locked)
			locked(u.end)
			break
		}
		began := time.Now()
		select {
		case <-grant.Preempted():
			outcome = Cancelled
		case <-time.After(c.loss.itemLength()):
		}
		ran = time.Since(began)
		locked(u.end)
	case <-grant.Preempted():
		outcome = Cancelled
		go func() { // its queue position is consumed later
			<-ready
			locked(u.end)
		}()
	}
	grant.Release(outcome)
	return ran
}

// Guards against gateways that all send to the few upstreams that delayed reports
// show as free, so that requests queue at one upstream while others are idle. The
// targets are those of the normal and the heavy load: 99 % on time with enough
// slots, 90 % with a tenth too few slots for two seconds.
func TestContention(t *testing.T) {
	cases := []struct {
		name     string
		scenario contentionScenario
		maxLate  float64
	}{
		{"batch fills the slots", contentionScenario{gateways: 33, upstreams: 46, slots: 7, rate: 350, service: 600 * time.Millisecond,
			batch: true, duration: 6 * time.Second}, 0.01},
		{"more than the slots for two seconds", contentionScenario{gateways: 33, upstreams: 46, slots: 7, rate: 570, service: 600 * time.Millisecond,
			batch: true, duration: 3 * time.Second}, 0.1},
		{"few gateways", contentionScenario{gateways: 7, upstreams: 12, slots: 8, rate: 100, service: 700 * time.Millisecond,
			batch: true, duration: 6 * time.Second}, 0.01},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const seeds = 3
			late := 0.0
			for seed := range uint64(seeds) {
				share, _ := c.scenario.lateShare(t, seed)
				late += share / seeds
			}
			t.Logf("late: %.3f", late)
			if late > c.maxLate {
				t.Errorf("%.3f of the requests are late, want at most %.3f", late, c.maxLate)
			}
		})
	}
}

// Guards against requests that could be in time and are put behind newer ones: after
// a short burst on a fleet that is just full, the queue never empties, and those of
// the burst would wait until traffic falls. All can start within 160 ms.
func TestBurstOnFullFleetIsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots    = 50
			service  = time.Second
			interval = service / slots // of arrivals and of freed slots
			burst    = 8
		)
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: slots})})
		var late, longest atomic.Int64
		serve := func() {
			arrived := time.Now()
			g, err := d.Acquire(t.Context(), &Request{Service: "s", Arrived: arrived,
				Objective: arrived.Add(300 * time.Millisecond), Deadline: arrived.Add(5 * time.Second)})
			if err != nil {
				t.Error(err)
				return
			}
			waited := time.Since(arrived)
			longest.Store(max(longest.Load(), int64(waited)))
			time.Sleep(simFirstByte)
			g.Progress()
			if time.Since(arrived) > 300*time.Millisecond {
				late.Add(1)
			}
			time.Sleep(service - simFirstByte)
			g.Release(Served)
		}
		for i := range 6 * slots {
			go serve()
			if i == 2*slots {
				for range burst {
					go serve()
				}
			}
			time.Sleep(interval)
		}
		time.Sleep(10 * time.Second)
		if late.Load() > 0 {
			t.Errorf("%d of %d requests late; the longest wait was %v", late.Load(), 6*slots+burst, time.Duration(longest.Load()))
		}
	})
}

// Guards against batch work that leaves slots idle between the peaks of a full fleet.
// The load is that of the large deployment after a scale-in: 27 upstreams with 7 slots
// at 45 gateways, of which online work takes 60 % on the mean and a tenth more than all
// in a peak. Nine in ten slots that online work leaves are to be used.
func TestBatchFillsTroughs(t *testing.T) {
	c := contentionScenario{gateways: 45, upstreams: 27, slots: 7, rate: 150, service: 750 * time.Millisecond,
		peaks: true, batch: true, duration: 11400 * time.Millisecond}
	const seeds = 3
	late, batchSlots := 0.0, 0.0
	for seed := range uint64(seeds) {
		share, slots := c.lateShare(t, seed)
		late, batchSlots = late+share/seeds, batchSlots+slots/seeds
	}
	t.Logf("late: %.3f; batch on %.1f slots", late, batchSlots)
	online := c.rate * c.service.Seconds() * (1 - time.Second.Seconds()/c.duration.Seconds()) // batch starts a second earlier
	if left := float64(c.upstreams*c.slots) - online; batchSlots < 0.9*left {
		t.Errorf("batch on %.1f slots of the %.1f that are left", batchSlots, left)
	}
}

// Guards against an arrival rate that lags behind doubling traffic, or that remains
// after the traffic has stopped.
func TestArrivals(t *testing.T) {
	var a arrivals
	now := time.Now()
	play := func(n int, span time.Duration) {
		for range n {
			now = now.Add(span / time.Duration(n))
			a.record(now)
		}
	}
	play(100, time.Second)
	if r := a.rate(now); r < 85 || r > 115 {
		t.Errorf("rate %.0f/s of 100/s", r)
	}
	play(100, 500*time.Millisecond)
	if r := a.rate(now); r < 170 || r > 230 {
		t.Errorf("rate %.0f/s of 200/s", r)
	}
	if r := a.rate(now.Add(time.Second)); r != 0 {
		t.Errorf("rate %.0f/s without arrivals", r)
	}
}

// Guards against a gateway that takes all freed slots although requests wait longer
// at another gateway, and against requests that then wait forever.
func TestWaitingRequestsShareSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 4})})
		d.MergeReport("h", Report{Loads: []UpstreamLoad{{KeyOf("a"), 4, 0}}, Waiting: map[Key]int{KeyOf("s"): 30}}, time.Now())
		var taken atomic.Int32
		for range 10 {
			go func() {
				if _, err := d.Acquire(t.Context(), request(5*time.Second)); err == nil {
					taken.Add(1)
				}
			}()
		}
		synctest.Wait()
		d.MergeReport("h", Report{Loads: []UpstreamLoad{}, Waiting: map[Key]int{KeyOf("s"): 30}}, time.Now())
		synctest.Wait()
		if granted := taken.Load(); granted > 2 { // a quarter of four slots, rounded up
			t.Errorf("%d of 4 slots taken for a quarter of the waiting requests", granted)
		}
		d.MergeReport("h", Report{}, time.Now())
		time.Sleep(time.Second)
		if granted := taken.Load(); granted != 4 {
			t.Errorf("%d of 4 slots taken when no other gateway has waiting requests", granted)
		}
	})
}
