package dispatch

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/fleet"
)

// remoteLoads returns the load of other gateways that a dispatcher knows on
// upstreams a, b and c.
func remoteLoads(d *Dispatcher) [3]UpstreamLoad {
	var work [3]UpstreamLoad
	for i, id := range []string{"a", "b", "c"} {
		if c := d.remoteTotals[KeyOf(id)]; c != nil {
			work[i] = *c
		}
	}
	return work
}

// Guards against totals that stay wrong after the loss of datagrams: two refreshes
// restore the full state, whatever was lost.
func TestRefreshRepairsLoss(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("a refresh restores the full state", prop.ForAll(func(seed int64, steps int) bool {
		random := rand.New(rand.NewPCG(uint64(seed), 0))
		from := New(Config{Self: "x1", DataCentre: "x", Holder: holder()})
		to := New(Config{Self: "y1", DataCentre: "y", Holder: holder()})
		now := time.Now()
		var last Report
		for range steps {
			last = Report{DataCentre: "x", Backlog: Backlog{Items: 4, Services: map[Key]int{KeyOf("s"): random.IntN(5)}}}
			for _, id := range []string{"a", "b", "c"} {
				if random.IntN(2) == 0 {
					last.Loads = append(last.Loads, UpstreamLoad{KeyOf(id), random.IntN(3), random.IntN(3)})
				}
			}
			from.MergeReport("x2", last, now)
			if g, changed := from.Digest(random.IntN(8) == 0); changed && random.IntN(2) == 0 {
				to.MergeDigest(g, now)
			}
		}
		for range 2 {
			g, _ := from.Digest(true)
			to.MergeDigest(g, now)
		}
		return remoteLoads(to) == remoteLoads(from) && to.dataCentres["x"].Backlog.equal(last.Backlog) && to.dataCentres["x"].Gateways == 2
	}, gen.Int64(), gen.IntRange(1, 30)))
	properties.TestingRun(t)
}

// Guards against digests that repeat unchanged loads, which costs bandwidth between
// data centres, and against sending the end of a load only once.
func TestDigestContainsOnlyChanges(t *testing.T) {
	d := New(Config{Self: "x1", DataCentre: "x", Holder: holder()})
	now := time.Now()
	d.MergeReport("x2", Report{DataCentre: "x", Loads: []UpstreamLoad{{KeyOf("a"), 1, 0}, {KeyOf("b"), 0, 2}}}, now)
	d.MergeReport("y1", Report{DataCentre: "y", Loads: []UpstreamLoad{{KeyOf("c"), 1, 0}}}, now) // from another data centre
	if g, _ := d.Digest(false); len(g.Loads) != 2 || g.Gateways != 2 {
		t.Errorf("first digest: %+v", g)
	}
	if g, changed := d.Digest(false); changed || len(g.Loads) != 0 {
		t.Errorf("nothing has changed: %+v", g)
	}
	d.MergeReport("x2", Report{DataCentre: "x", Loads: []UpstreamLoad{{KeyOf("b"), 0, 2}}}, now)
	if g, changed := d.Digest(false); !changed || len(g.Loads) != 1 || g.Loads[0] != (UpstreamLoad{Key: KeyOf("a")}) {
		t.Errorf("load on a has ended: %+v", g)
	}
	for repeat := range zeroRepeats + 3 {
		g, _ := d.Digest(true)
		if want := repeat < zeroRepeats; (len(g.Loads) == 2) != want {
			t.Errorf("refresh %d: %+v", repeat, g.Loads)
		}
	}
}

// Guards against counting the load of a lost data centre forever, and the load on
// one upstream whose end was never reported.
func TestRemoteLoadExpires(t *testing.T) {
	d := New(Config{Self: "y1", DataCentre: "y", Holder: holder()})
	now := time.Now()
	d.MergeDigest(Digest{DataCentre: "x", Gateways: 3, Backlog: Backlog{Items: 9}, Loads: []UpstreamLoad{{KeyOf("a"), 1, 1}, {KeyOf("b"), 2, 0}}}, now)
	d.MergeDigest(Digest{DataCentre: "y", Loads: []UpstreamLoad{{KeyOf("c"), 1, 1}}}, now) // ignored: the local data centre
	later := now.Add(loadExpiry - time.Millisecond)
	d.MergeDigest(Digest{DataCentre: "x", Gateways: 3, Loads: []UpstreamLoad{{KeyOf("b"), 2, 0}}}, later)
	d.Expire(now.Add(loadExpiry + time.Millisecond))
	if w := remoteLoads(d); w != ([3]UpstreamLoad{1: {KeyOf("b"), 2, 0}}) || d.gatewayCount() != 4 {
		t.Errorf("%+v, %d gateways", w, d.gatewayCount())
	}
	d.Expire(later.Add(dataCentreExpiry + time.Millisecond))
	if w := remoteLoads(d); w != ([3]UpstreamLoad{}) || d.gatewayCount() != 1 {
		t.Errorf("the lost data centre: %+v, %d gateways", w, d.gatewayCount())
	}
}

// Guards against refreshes that grow with the number of upstreams, and against
// upstreams that are never refreshed.
func TestRefreshesRotate(t *testing.T) {
	const upstreams = 3*refreshLimit - 5
	d := New(Config{Self: "x1", DataCentre: "x", Holder: holder()})
	report := Report{DataCentre: "x"}
	for i := range upstreams {
		report.Loads = append(report.Loads, UpstreamLoad{Key: Key(i + 1), Online: 1})
	}
	d.MergeReport("x2", report, time.Now())
	d.Digest(false)
	repeated := make(map[Key]bool)
	for range 3 {
		g, _ := d.Digest(true)
		if len(g.Loads) > refreshLimit {
			t.Errorf("%d upstreams in a refresh", len(g.Loads))
		}
		for _, c := range g.Loads {
			repeated[c.Key] = true
		}
	}
	if len(repeated) != upstreams {
		t.Errorf("%d of %d upstreams repeated", len(repeated), upstreams)
	}
}

// Guards against batch items that stay on an upstream filled by online work of
// another data centre, and against preemption in all data centres at once.
func TestPreemptionForOtherDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "y1", DataCentre: "y", Holder: holder(fleet.Upstream{ID: "a", Slots: 4})})
		first, second := d.TryAcquireBatch("s", nil), d.TryAcquireBatch("s", nil)
		merge := func(online, batch int) {
			d.MergeDigest(Digest{DataCentre: "x", Gateways: 2, Loads: []UpstreamLoad{{KeyOf("a"), online, batch}}}, time.Now())
		}
		preempted := func() int {
			n := 0
			for _, g := range []*Grant{first, second} {
				select {
				case <-g.Preempted():
					n++
				default:
				}
			}
			return n
		}
		if merge(1, 1); preempted() != 0 {
			t.Error("preempted on an upstream with four requests on four slots")
		}
		if merge(2, 1); preempted() != 1 {
			t.Errorf("%d items preempted, want 1: this data centre has the most", preempted())
		}
		if merge(2, 2); preempted() != 1 {
			t.Errorf("%d items preempted, want 1: the other data centre has more now", preempted())
		}
		if merge(4, 0); preempted() != 2 {
			t.Errorf("%d items preempted for four online requests, want 2", preempted())
		}
	})
}
