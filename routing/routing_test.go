package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/link"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

var random = rand.New(rand.NewPCG(1, 2))

var now = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const (
	ready   = rpc.UpstreamState_UPSTREAM_STATE_READY
	leaves  = rpc.UpstreamState_UPSTREAM_STATE_LEAVING
	isDown  = rpc.UpstreamState_UPSTREAM_STATE_DOWN
	starts  = rpc.UpstreamState_UPSTREAM_STATE_STARTING
	local   = "linz"
	remote  = "wels"
	tenSlot = 10
)

func up(id, dataCentre string, online, batch uint32) link.Upstream {
	return link.Upstream{
		AgentID: id, DataCentre: dataCentre, Connected: true, LastHeard: now,
		Load: &rpc.LoadReport{State: ready, Slots: tenSlot, OnlineActive: online, BatchActive: batch},
	}
}

func choose(list []link.Upstream, r Request) Decision {
	w := DefaultWeights()
	r.DataCentre = local
	r.Now = now
	return Choose(list, &r, &w, random)
}

// Guards against work for an upstream that cannot or must not take it.
func TestObstacles(t *testing.T) {
	cases := map[string]func(*link.Upstream, *Request){
		"disconnected": func(u *link.Upstream, _ *Request) { u.Connected = false },
		"leaving":      func(u *link.Upstream, _ *Request) { u.Leaving = true },
		"reports leaving": func(u *link.Upstream, _ *Request) {
			u.Load.State = leaves
		},
		"down":      func(u *link.Upstream, _ *Request) { u.Load.State = isDown },
		"starting":  func(u *link.Upstream, _ *Request) { u.Load.State = starts },
		"no report": func(u *link.Upstream, _ *Request) { u.Load = nil },
		"silent":    func(u *link.Upstream, _ *Request) { u.LastHeard = now.Add(-6 * time.Second) },
		"excluded":  func(_ *link.Upstream, r *Request) { r.Excluded = []string{"a"} },
		"suspect":   func(_ *link.Upstream, r *Request) { r.Suspect = true; r.SuspectsAt = []string{"a"} },
	}
	for name, change := range cases {
		list := []link.Upstream{up("a", local, 1, 0), up("b", remote, 8, 0)}
		var r Request
		change(&list[0], &r)
		if d := choose(list, r); d.Index != 1 {
			t.Errorf("%s: chose %d", name, d.Index)
		}
		if d := choose(list[:1], r); d.Found() {
			t.Errorf("%s: chose the only upstream", name)
		}
	}
}

// Guards against a wrong order of the preferences.
func TestRules(t *testing.T) {
	withPrefix := func(u link.Upstream) link.Upstream {
		u.Prefixes = map[uint64]struct{}{7: {}}
		return u
	}
	slow := up("a", local, 1, 0)
	slow.Load.TokenIntervalUs = 50_000
	burst := withPrefix(up("a", local, 0, 0))
	burst.Load.Slots, burst.SentSince = 64, 6
	slowBatch := up("a", local, 1, 6)
	slowBatch.Load.TokenIntervalUs = 50_000
	sent := up("a", local, 0, 0)
	sent.SentSince = 9
	cases := []struct {
		name string
		list []link.Upstream
		want int
		rule Rule
	}{
		{"prefix before packing", []link.Upstream{up("a", local, 2, 0), withPrefix(up("b", local, 1, 0))}, 1, LocalPrefix},
		{"prefix above 1.25 times the mean", []link.Upstream{up("a", local, 2, 0), withPrefix(up("b", local, 8, 0))}, 0, LocalPacked},
		{"packing before an idle one with the prefix", []link.Upstream{withPrefix(up("a", local, 0, 0)), up("b", local, 2, 0)}, 1, LocalPacked},
		{"packing before an idle one", []link.Upstream{up("a", local, 0, 0), up("b", local, 2, 0)}, 1, LocalPacked},
		{"the fuller of two packed", []link.Upstream{up("a", local, 1, 0), up("b", local, 2, 0)}, 1, LocalPacked},
		{"the fuller of two with the prefix", []link.Upstream{withPrefix(up("a", local, 2, 0)), withPrefix(up("b", local, 1, 0))}, 0, LocalPrefix},
		{"full pack", []link.Upstream{up("a", local, 0, 0), up("b", local, 5, 0)}, 0, LocalFree},
		{"slow tokens", []link.Upstream{slow, up("b", local, 0, 0)}, 1, LocalFree},
		{"many sent since the report", []link.Upstream{burst, up("b", local, 0, 0)}, 1, LocalFree},
		{"slow tokens beside batch", []link.Upstream{slowBatch, up("b", local, 0, 0)}, 0, LocalPacked},
		{"batch does not count as online", []link.Upstream{up("a", local, 0, 8), up("b", local, 0, 0)}, 1, LocalFree},
		{"own attempts since the report", []link.Upstream{sent, up("b", local, 8, 0)}, 1, LocalBusy},
		{"local before remote prefix", []link.Upstream{withPrefix(up("a", remote, 0, 0)), up("b", local, 8, 0)}, 1, LocalBusy},
		{"remote when local is full", []link.Upstream{up("a", local, 9, 0), up("b", remote, 8, 0)}, 1, RemoteBusy},
		{"all full", []link.Upstream{up("a", local, 12, 0), up("b", remote, 11, 0)}, 1, Overloaded},
	}
	for _, c := range cases {
		for range 20 {
			if d := choose(c.list, Request{Prefix: 7}); d.Index != c.want || d.Rule != c.rule {
				t.Fatalf("%s: chose %d by %s, want %d by %s", c.name, d.Index, d.Rule, c.want, c.rule)
			}
		}
	}
}

// Guards against online work that spreads over all upstreams, or piles up on
// one, while the reports lag.
func TestPackingFillsUpstreamsInTurn(t *testing.T) {
	var list []link.Upstream
	for i := range 20 {
		list = append(list, up(fmt.Sprint(i), local, 0, 4))
	}
	for range 20 {
		list[choose(list, Request{}).Index].SentSince++
	}
	used := 0
	for _, u := range list {
		if u.SentSince > 3 {
			t.Errorf("upstream %s carries %d", u.AgentID, u.SentSince)
		}
		if u.SentSince > 0 {
			used++
		}
	}
	// Four batch sequences weigh 0.4, so two online ones fit below the bound of three.
	if used != 10 {
		t.Errorf("20 requests are on %d upstreams of 20", used)
	}
}

// Guards against snapshots in which an obstructed upstream is chosen, or none
// although there is a candidate.
func TestChoiceIsACandidate(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("candidate", prop.ForAll(func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 9))
		list := randomSnapshot(rnd, 1+rnd.IntN(12))
		w := DefaultWeights()
		r := Request{DataCentre: local, Prefix: uint64(rnd.IntN(3)), Excluded: []string{"1", "4"}, Suspect: rnd.IntN(2) == 0, SuspectsAt: []string{"2"}, Now: now}
		free := 0
		for i := range list {
			if obstacle(&list[i], &r, &w) == none {
				free++
			}
		}
		d := Choose(list, &r, &w, rnd)
		if free == 0 {
			return !d.Found()
		}
		return d.Found() && d.Counts.Candidates == free && obstacle(&list[d.Index], &r, &w) == none
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func randomSnapshot(rnd *rand.Rand, n int) []link.Upstream {
	var list []link.Upstream
	for i := range n {
		dataCentre := local
		if rnd.IntN(2) == 0 {
			dataCentre = remote
		}
		u := up(fmt.Sprint(i), dataCentre, uint32(rnd.IntN(14)), uint32(rnd.IntN(6)))
		u.Connected = rnd.IntN(5) > 0
		u.Leaving = rnd.IntN(5) == 0
		u.Load.State = rpc.UpstreamState(rnd.IntN(5))
		u.LastHeard = now.Add(-time.Duration(rnd.IntN(8)) * time.Second)
		u.Prefixes = map[uint64]struct{}{uint64(rnd.IntN(3)): {}}
		list = append(list, u)
	}
	return list
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 20, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 1))
			list := randomSnapshot(rnd, n)
			for i := range list {
				list[i].Connected, list[i].Leaving, list[i].LastHeard, list[i].Load.State = true, false, now, ready
			}
			w := DefaultWeights()
			r := Request{DataCentre: local, Prefix: 1, Now: now}
			b.ReportAllocs()
			for b.Loop() {
				Choose(list, &r, &w, rnd)
			}
		})
	}
}
