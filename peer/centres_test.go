package peer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/metric"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// centres starts gateways in data centres x and y that know each other as from
// their rows in the store.
func centres(t *testing.T, network testNetwork, each int) (x, y []*node) {
	t.Helper()
	var all []*node
	for i := range 2 * each {
		all = append(all, newNodeIn(t, network, []string{"x", "y"}[i%2], fmt.Sprint("g", i), 1))
	}
	for _, n := range all {
		configure(n.holder, 1, upstream("u"), upstream("v"))
		for _, other := range all {
			n.AddMember(other.cfg.Self)
		}
	}
	for i := 0; i < len(all); i += 2 {
		x, y = append(x, all[i]), append(y, all[i+1])
	}
	return x, y
}

func (n *node) collects() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role != noSpeaker
}

// take occupies slots of upstream u.
func (n *node) take(t *testing.T, slots int) []*dispatch.Grant {
	t.Helper()
	var grants []*dispatch.Grant
	for range slots {
		g, err := n.dispatcher.Acquire(t.Context(), &dispatch.Request{Service: "s", Arrived: time.Now(),
			Deadline: time.Now().Add(time.Minute), Avoid: map[string]bool{"v": true}})
		if err != nil {
			t.Fatal(err)
		}
		grants = append(grants, g)
	}
	return grants
}

// sees reports how many of the four slots are free for batch work, as far as a gateway knows.
func (n *node) sees(free int) func() bool {
	return func() bool { return n.dispatcher.BatchStartQuota("s", 4) == max(free-1, 0) } // one is in reserve
}

func (n *node) hears(names ...string) func() bool {
	return func() bool {
		var heard []string
		for _, m := range n.Members() {
			if time.Since(m.LastHeard) < time.Second {
				heard = append(heard, m.Name)
			}
		}
		return slices.Equal(heard, names)
	}
}

// Guards against gateways that do not hear of the work in another data centre,
// or of its members, because neither side's collectors speak; at first, and
// after those that did have gone at once.
func TestDataCentresHearOfEachOther(t *testing.T) {
	x, y := centres(t, soundNetwork{}, 4)
	ordinary := func(list []*node) *node {
		var found *node
		eventually(t, "a gateway that is no collector", 3*time.Second, func() bool {
			collectors := 0
			for _, n := range list {
				if n.collects() {
					collectors++
				} else {
					found = n
				}
			}
			return collectors == 2
		})
		return found
	}
	worker, observer := ordinary(x), ordinary(y)
	grants := worker.take(t, 2)
	eventually(t, "work of a member", time.Second, observer.sees(2))
	eventually(t, "members", 2*time.Second, func() bool { return len(observer.Members()) == 7 })
	worker.SetTakenJobs([]uint64{5})
	eventually(t, "job taken over", time.Second, func() bool {
		i := slices.IndexFunc(observer.Members(), func(m MemberStatus) bool { return m.Name == worker.cfg.Self.Name })
		return slices.Equal(observer.Members()[i].TakenJobs, []uint64{5})
	})

	var left []string
	for _, n := range slices.Concat(x, y) {
		if n.collects() {
			n.stop()
		} else if n != observer {
			left = append(left, n.cfg.Self.Name)
		}
	}
	slices.Sort(left)
	eventually(t, "members without the collectors", 5*time.Second, observer.hears(left...))
	grants[0].Release(dispatch.Served)
	eventually(t, "work after the loss of the collectors", time.Second, observer.sees(3))
}

// Guards against sums and members that stay wrong where datagrams are lost, come
// late, twice or out of order.
func TestDataCentresOverABadNetwork(t *testing.T) {
	x, y := centres(t, badNetwork{lost: 30, doubled: 10, delay: 40 * time.Millisecond}, 4)
	all := slices.Concat(x, y)
	for round := range 3 {
		grants := x[round].take(t, 2)
		for _, n := range y {
			eventually(t, "work of "+x[round].cfg.Self.Name+" at "+n.cfg.Self.Name, 3*time.Second, n.sees(2))
		}
		for _, g := range grants {
			g.Release(dispatch.Served)
		}
		for _, n := range y {
			eventually(t, "its end", 3*time.Second, n.sees(4))
		}
	}
	for _, n := range all {
		var others []string
		for _, o := range all {
			if o != n {
				others = append(others, o.cfg.Self.Name)
			}
		}
		slices.Sort(others)
		eventually(t, "members at "+n.cfg.Self.Name, 5*time.Second, n.hears(others...))
	}
}

// Guards against a gateway that keeps its results to itself although peers in
// other data centres are served by the store: what it hears of them is older than
// what it hears of its own. Without a collector's loss it is up to 0.5 s old.
func TestStorePeerInOtherDataCentre(t *testing.T) {
	n := newNode(t, "g0", 1)
	hear := func(age time.Duration) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.noteMember(&rpc.GatewayMember{Name: "g1", Incarnation: 1, Address: "peer", StoreReached: true, AgeMs: uint32(age.Milliseconds())}, "y", time.Now())
	}
	if hear(1100 * time.Millisecond); n.storePeer() != "" {
		t.Error("a peer that has not been heard for over a second is asked")
	}
	if hear(600 * time.Millisecond); n.storePeer() != "peer" {
		t.Error("a peer that is heard through collectors is not asked")
	}
}

// Guards against a restarted gateway of another data centre that is taken for
// its earlier process, whose jobs would then be left to nobody.
func TestRestartInOtherDataCentre(t *testing.T) {
	x, y := centres(t, soundNetwork{}, 1)
	eventually(t, "first process", 2*time.Second, x[0].hears("g1"))
	y[0].stop()
	again := newNodeIn(t, soundNetwork{}, "y", "g1", 2)
	again.AddMember(x[0].cfg.Self)
	eventually(t, "second process", 3*time.Second, func() bool { return x[0].Members()[0].Incarnation == 2 })
}

// Guards against a configuration that does not reach gateways of another data
// centre while the store answers one gateway alone.
func TestStateReachesOtherDataCentre(t *testing.T) {
	x, y := centres(t, soundNetwork{}, 3)
	eventually(t, "collectors", 3*time.Second, func() bool { return len(y[2].Members()) == 5 && y[2].hears("g0", "g1", "g2", "g3", "g4")() })
	configure(x[0].holder, 7, upstream("u"))
	for _, n := range slices.Concat(x, y) {
		eventually(t, n.cfg.Self.Name, 3*time.Second, func() bool { return n.holder.View().Configuration.Version == 7 })
	}
}

const farReports = metric.ReportsName + `{to="far"}`

// Guards against bytes between data centres that grow with the number of
// gateways: what is sent is that of two collectors on each side, however often
// the work of all changes.
func TestDatagramsBetweenDataCentres(t *testing.T) {
	x, y := centres(t, soundNetwork{}, 6)
	for _, n := range [2]*node{x[5], y[5]} {
		eventually(t, "collectors", 3*time.Second, func() bool { return len(n.Members()) == 11 && !n.collects() })
	}
	time.Sleep(collectorExpiry)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	before := metric.Sum(farReports)
	for ctx.Err() == nil {
		for _, n := range slices.Concat(x, y) {
			for _, g := range n.take(t, 1) {
				g.Release(dispatch.Served)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	sent := metric.Sum(farReports) - before
	perSpeaker := int(time.Second/dispatch.DigestInterval + time.Second/heartbeatInterval)
	perStandIn := int(time.Second / heartbeatInterval)
	// Two data centres, each with both, tell two collectors each.
	if most := 2 * 2 * (perSpeaker + perStandIn + 4); int(sent) > most {
		t.Errorf("%d datagrams in a second, want at most %d", sent, most)
	}
}
