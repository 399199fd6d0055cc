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
	stateReady       = rpc.UpstreamState_UPSTREAM_STATE_READY
	stateLeaving     = rpc.UpstreamState_UPSTREAM_STATE_LEAVING
	stateDown        = rpc.UpstreamState_UPSTREAM_STATE_DOWN
	stateStarting    = rpc.UpstreamState_UPSTREAM_STATE_STARTING
	localDataCentre  = "linz"
	remoteDataCentre = "wels"
	slotsPerUpstream = 10
)

func newUpstream(id, dataCentre string, online, batch uint32) link.Upstream {
	return link.Upstream{
		AgentID: id, DataCentre: dataCentre, Connected: true, LastHeard: now,
		Load: &rpc.LoadReport{State: stateReady, Slots: slotsPerUpstream, OnlineActive: online, BatchActive: batch},
	}
}

func choose(list []link.Upstream, r Request) Decision {
	w := DefaultWeights()
	r.DataCentre = localDataCentre
	r.Now = now
	return Choose(list, &r, &w, random)
}

// Guards against choosing an upstream that cannot or must not take the request.
func TestIneligibleUpstreams(t *testing.T) {
	cases := map[string]func(*link.Upstream, *Request){
		"disconnected": func(u *link.Upstream, _ *Request) { u.Connected = false },
		"leaving":      func(u *link.Upstream, _ *Request) { u.Leaving = true },
		"leaving reported": func(u *link.Upstream, _ *Request) {
			u.Load.State = stateLeaving
		},
		"down":      func(u *link.Upstream, _ *Request) { u.Load.State = stateDown },
		"starting":  func(u *link.Upstream, _ *Request) { u.Load.State = stateStarting },
		"no report": func(u *link.Upstream, _ *Request) { u.Load = nil },
		"silent":    func(u *link.Upstream, _ *Request) { u.LastHeard = now.Add(-6 * time.Second) },
		"excluded":  func(_ *link.Upstream, r *Request) { r.Excluded = []string{"a"} },
		"suspect":   func(_ *link.Upstream, r *Request) { r.Suspect = true; r.SuspectsAt = []string{"a"} },
	}
	for name, change := range cases {
		list := []link.Upstream{newUpstream("a", localDataCentre, 1, 0), newUpstream("b", remoteDataCentre, 8, 0)}
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

// Guards against applying the rules in the wrong order of preference.
func TestRulePreference(t *testing.T) {
	withPrefix := func(u link.Upstream) link.Upstream {
		u.Prefixes = map[uint64]struct{}{7: {}}
		return u
	}
	slow := newUpstream("a", localDataCentre, 1, 0)
	slow.Load.TokenIntervalUs = 50_000
	burst := withPrefix(newUpstream("a", localDataCentre, 0, 0))
	burst.Load.Slots, burst.SentSince = 64, 6
	slowBatch := newUpstream("a", localDataCentre, 1, 6)
	slowBatch.Load.TokenIntervalUs = 50_000
	sent := newUpstream("a", localDataCentre, 0, 0)
	sent.SentSince = 9
	cases := []struct {
		name string
		list []link.Upstream
		want int
		rule Rule
	}{
		{"prefix before packing", []link.Upstream{newUpstream("a", localDataCentre, 2, 0), withPrefix(newUpstream("b", localDataCentre, 1, 0))}, 1, LocalPrefix},
		{"prefix above 1.25 times the mean", []link.Upstream{newUpstream("a", localDataCentre, 2, 0), withPrefix(newUpstream("b", localDataCentre, 8, 0))}, 0, LocalPacked},
		{"packing before an idle upstream with the prefix", []link.Upstream{withPrefix(newUpstream("a", localDataCentre, 0, 0)), newUpstream("b", localDataCentre, 2, 0)}, 1, LocalPacked},
		{"packing before an idle upstream", []link.Upstream{newUpstream("a", localDataCentre, 0, 0), newUpstream("b", localDataCentre, 2, 0)}, 1, LocalPacked},
		{"more loaded of two packed upstreams", []link.Upstream{newUpstream("a", localDataCentre, 1, 0), newUpstream("b", localDataCentre, 2, 0)}, 1, LocalPacked},
		{"more loaded of two upstreams with the prefix", []link.Upstream{withPrefix(newUpstream("a", localDataCentre, 2, 0)), withPrefix(newUpstream("b", localDataCentre, 1, 0))}, 0, LocalPrefix},
		{"above the pack bound", []link.Upstream{newUpstream("a", localDataCentre, 0, 0), newUpstream("b", localDataCentre, 5, 0)}, 0, LocalFree},
		{"long token interval", []link.Upstream{slow, newUpstream("b", localDataCentre, 0, 0)}, 1, LocalFree},
		{"many attempts since the report", []link.Upstream{burst, newUpstream("b", localDataCentre, 0, 0)}, 1, LocalFree},
		{"long token interval with batch work", []link.Upstream{slowBatch, newUpstream("b", localDataCentre, 0, 0)}, 0, LocalPacked},
		{"batch does not count as online", []link.Upstream{newUpstream("a", localDataCentre, 0, 8), newUpstream("b", localDataCentre, 0, 0)}, 1, LocalFree},
		{"own attempts since the report", []link.Upstream{sent, newUpstream("b", localDataCentre, 8, 0)}, 1, LocalBusy},
		{"local before remote prefix", []link.Upstream{withPrefix(newUpstream("a", remoteDataCentre, 0, 0)), newUpstream("b", localDataCentre, 8, 0)}, 1, LocalBusy},
		{"remote when local is overloaded", []link.Upstream{newUpstream("a", localDataCentre, 9, 0), newUpstream("b", remoteDataCentre, 8, 0)}, 1, RemoteBusy},
		{"all overloaded", []link.Upstream{newUpstream("a", localDataCentre, 12, 0), newUpstream("b", remoteDataCentre, 11, 0)}, 1, Overloaded},
	}
	for _, c := range cases {
		for range 20 {
			if d := choose(c.list, Request{Prefix: 7}); d.Index != c.want || d.Rule != c.rule {
				t.Fatalf("%s: chose %d by %s, want %d by %s", c.name, d.Index, d.Rule, c.want, c.rule)
			}
		}
	}
}

// Guards against spreading online work over all upstreams, or piling it up on one,
// while no new load reports arrive.
func TestPackingFillsUpstreamsInTurn(t *testing.T) {
	var list []link.Upstream
	for i := range 20 {
		list = append(list, newUpstream(fmt.Sprint(i), localDataCentre, 0, 4))
	}
	for range 20 {
		list[choose(list, Request{}).Index].SentSince++
	}
	used := 0
	for _, u := range list {
		if u.SentSince > 3 {
			t.Errorf("upstream %s got %d attempts", u.AgentID, u.SentSince)
		}
		if u.SentSince > 0 {
			used++
		}
	}
	// Four batch sequences count as 0.4, so two online ones fit within the pack bound of 3.
	if used != 10 {
		t.Errorf("20 requests went to %d of 20 upstreams, want 10", used)
	}
}

// Guards against choosing an ineligible upstream, or none although there is a
// candidate, for random snapshots.
func TestChooseReturnsCandidate(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("candidate", prop.ForAll(func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 9))
		list := randomSnapshot(rnd, 1+rnd.IntN(12))
		w := DefaultWeights()
		r := Request{DataCentre: localDataCentre, Prefix: uint64(rnd.IntN(3)), Excluded: []string{"1", "4"}, Suspect: rnd.IntN(2) == 0, SuspectsAt: []string{"2"}, Now: now}
		free := 0
		for i := range list {
			if eligibilityOf(&list[i], &r, &w) == eligible {
				free++
			}
		}
		d := Choose(list, &r, &w, rnd)
		if free == 0 {
			return !d.Found()
		}
		return d.Found() && d.Counts.Candidates == free && eligibilityOf(&list[d.Index], &r, &w) == eligible
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func randomSnapshot(rnd *rand.Rand, n int) []link.Upstream {
	var list []link.Upstream
	for i := range n {
		dataCentre := localDataCentre
		if rnd.IntN(2) == 0 {
			dataCentre = remoteDataCentre
		}
		u := newUpstream(fmt.Sprint(i), dataCentre, uint32(rnd.IntN(14)), uint32(rnd.IntN(6)))
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
				list[i].Connected, list[i].Leaving, list[i].LastHeard, list[i].Load.State = true, false, now, stateReady
			}
			w := DefaultWeights()
			r := Request{DataCentre: localDataCentre, Prefix: 1, Now: now}
			b.ReportAllocs()
			for b.Loop() {
				Choose(list, &r, &w, rnd)
			}
		})
	}
}
