package peer

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/limit"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

var usageSeeds = flag.Int("peer.usage-seeds", 4, "seeds of TestUsageReachesAllGateways")

// Guards against gateways that do not learn what is admitted elsewhere, in their own
// data centre or another one, also if a tenth of the reports is lost.
func TestUsageReachesAllGateways(t *testing.T) {
	for seed := range uint64(*usageSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			network := lossyNetwork{lossPercent: 10, duplicatePercent: 5, maxDelay: 20 * time.Millisecond, seed: seed}
			inVirtualTime(t, network, 4, checkUsageReachesAllGateways)
		})
	}
}

func checkUsageReachesAllGateways(t *testing.T, x, y []*node) {
	rate := limit.Rate{PerSecond: 0.001, Burst: 1000}
	all := slices.Concat(x, y)
	for _, n := range all {
		n.limits.SetRates(map[string]limit.Rate{"o": rate}, time.Now())
	}
	eventually(t, "all heard", 3*time.Second, func() bool {
		for _, n := range all {
			if d := n.limits.Admit("heard", rate, time.Now()); d.Alive != 8 || d.Known != 8 {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second) // the counters of all have been heard
	for range 40 {
		for _, n := range []*node{x[3], y[3], y[0]} {
			n.limits.Admit("o", rate, time.Now())
			n.NotifyChange(false)
		}
		time.Sleep(5 * time.Millisecond)
	}
	y[3].limits.Return("o", 1, time.Now())
	for i, n := range all {
		eventually(t, fmt.Sprint("119 tokens spent or little more at gateway ", i), 2*time.Second, func() bool {
			for _, u := range n.limits.Usage(true, 10, time.Now()) {
				if u.Organisation == limit.OrganisationHash("o") {
					return u.Spent > 118.9 && u.Spent < 1.5*119 // more while reports are missing
				}
			}
			return false
		})
	}
}

// Guards against a gateway that charges the requests of another data centre at the price
// of a partition when the report that tells of them is the one that ends its silence.
func TestUsageAfterSilenceIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newIdleNode("x", "g0", 1, "127.0.0.1:1")
		n.membersRead.Store(true)
		rate := limit.Rate{PerSecond: 0.001, Burst: 1000}
		n.limits.SetRates(map[string]limit.Rate{"o": rate}, time.Now())
		receive := func(sequence, admitted uint64) {
			members := []*rpc.GatewayMember{{Name: "g1", Incarnation: 1, Address: "127.0.0.1:2", Collector: true}}
			n.applyReport(&rpc.GatewayReport{Sender: "g1", Incarnation: 1, Sequence: sequence, DataCentre: "y", Port: 2, Groups: []*rpc.GatewayGroup{{
				DataCentre: "y", Gateways: 1, Members: members, Collector: "g1", CollectorIncarnation: 1,
				Usage: []*rpc.GatewayUsage{{Organisation: limit.OrganisationHash("o"), Admitted: admitted}}}}}, netip.MustParseAddr("127.0.0.1"))
			n.countMembers(time.Now())
		}
		receive(1, 0)
		time.Sleep(limitRemoteTimeout + time.Millisecond)
		n.countMembers(time.Now())
		if d := n.limits.Admit("heard", rate, time.Now()); d.Alive != 1 || d.Known != 2 {
			t.Fatalf("%d of %d gateways heard after a silence, want 1 of 2", d.Alive, d.Known)
		}
		receive(2, 100)
		for _, u := range n.limits.Usage(true, 10, time.Now()) {
			if u.Organisation == limit.OrganisationHash("o") && (u.Spent < 99.9 || u.Spent > 100) {
				t.Errorf("%.1f tokens spent, want 100", u.Spent)
			}
		}
	})
}

// Guards against datagrams that are fragmented, and against organisations that are left
// out of the reports of a gateway with many of them.
func TestUsageFitsDatagram(t *testing.T) {
	n := newNode(t, "a", 1)
	rates := make(map[string]limit.Rate)
	for i := range 80 {
		name := fmt.Sprint("o", i)
		rates[name] = limit.Rate{PerSecond: 10, Burst: 10}
		n.limits.Admit(name, rates[name], time.Now())
	}
	reported, groups := make(map[uint32]bool), make(map[uint32]bool)
	for range 2 {
		report := n.newLocalReport()
		n.addUsage(report, false, time.Now())
		if size := proto.Size(report); size > maxReportBytes {
			t.Errorf("%d bytes", size)
		}
		for _, u := range report.Usage {
			reported[u.Organisation] = true
		}
		s := &sendLoop{Exchange: n.Exchange}
		for _, g := range s.splitDigest(dispatch.Digest{DataCentre: "z", Gateways: 1}, nil, n.dataCentreUsage(false, time.Now())) {
			if size := proto.Size(&rpc.GatewayReport{Groups: []*rpc.GatewayGroup{g}}); size > maxReportBytes {
				t.Errorf("group of %d bytes", size)
			}
			for _, u := range g.Usage {
				groups[u.Organisation] = true
			}
		}
	}
	if len(reported) != 80 || len(groups) != 80 {
		t.Errorf("two reports have %d and %d of 80 organisations", len(reported), len(groups))
	}
}

// Guards against a dispatcher that is not told of other gateways where no rate limits are
// set, so that it starts batch items after a loss of all gateways.
func TestDispatcherLearnsOfMembers(t *testing.T) {
	holder := fleet.NewHolder()
	holder.Configure(fleet.NewConfiguration(1, nil, fleet.Limits{}))
	holder.Replace([]fleet.Record{{Upstream: fleet.Upstream{ID: "u", Service: "s", Slots: 8}, Version: 1}}, 100, time.Now())
	d := dispatch.New(dispatch.Config{Self: "a", Holder: holder})
	e := New(Config{Self: Member{Name: "a"}, Holder: holder, Dispatcher: d, Log: zerolog.Nop()})
	start := func() bool {
		e.countMembers(time.Now())
		g := d.TryAcquireBatch("s", nil)
		if g != nil {
			g.Release(dispatch.Cancelled)
		}
		return g != nil
	}
	if !start() {
		t.Error("no batch item starts at a gateway that knows no other")
	}
	e.AddMember(Member{Name: "b", Incarnation: 2, Address: "127.0.0.1:1", DataCentre: "z"})
	if start() {
		t.Error("a batch item starts while the other gateway is not heard")
	}
}
