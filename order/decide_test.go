package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/upstream"
)

func describe(orders []upstream.Order) string {
	var out string
	for _, o := range orders {
		out += fmt.Sprintf("%s %s %s %s %s;", o.Kind, o.Model, o.Version, o.Adapter, o.Role)
	}
	return out
}

// Guards against orders to an engine that already serves its target, and against
// a sequence in which a later order undoes an earlier one.
func TestDue(t *testing.T) {
	target := Target{Model: "m", Version: "2", Adapter: "a", Role: "serve"}
	cases := []struct {
		name   string
		target Target
		state  upstream.EngineState
		want   string
	}{
		{"nothing differs", target, upstream.EngineState{Model: "m", Version: "2", Adapter: "a", Role: "serve"}, ""},
		{"fresh engine", target, upstream.EngineState{}, "load_model m 2  ;load_adapter m 2 a ;set_role    serve;"},
		{"version", target, upstream.EngineState{Model: "m", Version: "1", Adapter: "a", Role: "serve"}, "load_model m 2  ;load_adapter m 2 a ;"},
		{"adapter", target, upstream.EngineState{Model: "m", Version: "2", Adapter: "b", Role: "serve"}, "load_adapter m 2 a ;"},
		{"adapter withdrawn", Target{Model: "m"}, upstream.EngineState{Model: "m", Adapter: "b"}, "load_adapter m   ;"},
		{"role", target, upstream.EngineState{Model: "m", Version: "2", Adapter: "a", Role: "prefill"}, "set_role    serve;"},
		{"any version", Target{Model: "m"}, upstream.EngineState{Model: "m", Version: "7", Role: "x"}, ""},
		{"model without adapter", Target{Model: "n"}, upstream.EngineState{Model: "m", Adapter: "b"}, "load_model n   ;"},
	}
	for _, c := range cases {
		if got := describe(Due(c.target, c.state)); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against the role of a group that the engine does not belong to.
func TestTargetOf(t *testing.T) {
	ix := contract.NewIndex(&contract.Document{
		Services: []contract.Service{{Name: "s", Kind: contract.KindEngine, Model: "m"}, {Name: "p", Kind: contract.KindPlain}},
		Groups: []contract.UpstreamGroup{
			{Name: "s-a", Service: "s", DataCentre: "a", Role: "serve", Count: 3},
			{Name: "s-b", Service: "s", DataCentre: "b", Role: "prefill", Count: 2},
			{Name: "s-b-x", Service: "s", DataCentre: "b", Role: "decode", Count: 1},
			{Name: "p-a", Service: "p", DataCentre: "a", Count: 9},
		},
	})
	cases := []struct {
		place Place
		ok    bool
		role  string
	}{
		{Place{"any", "s", "a"}, true, "serve"},
		{Place{"s-b-1", "s", "b"}, true, "prefill"},
		{Place{"s-b-x-1", "s", "b"}, true, "decode"},
		{Place{"other", "s", "b"}, true, ""},
		{Place{"p-a-1", "p", "a"}, false, ""},
		{Place{"x", "gone", "a"}, false, ""},
	}
	for _, c := range cases {
		got, ok := TargetOf(ix, c.place)
		if ok != c.ok || got.Role != c.role || (ok && got.Engines != 6) {
			t.Errorf("%+v: got %+v, %v", c.place, got, ok)
		}
	}
}

// Guards against a limit that takes out all engines of a service, or more than a
// quarter rounded up, or none.
func TestLimit(t *testing.T) {
	for engines, want := range map[int]int{0: 1, 1: 1, 2: 1, 3: 1, 4: 1, 5: 2, 8: 2, 9: 3, 84: 21, 85: 22} {
		if got := Limit(engines); got != want {
			t.Errorf("%d engines: limit %d, want %d", engines, got, want)
		}
	}
}

// Guards against a permit taken above the limit, an expired one that blocks, two
// for one engine, and one judged by another process's clock.
func TestTake(t *testing.T) {
	now := time.Now()
	seen := Sightings{}
	old := Rollout{Permits: []Permit{{Agent: "a", Claim: "1", Beat: 1}, {Agent: "b", Claim: "2", Beat: 5}}}
	seen.Update(old, now)
	renewed := Rollout{Permits: []Permit{{Agent: "a", Claim: "1", Beat: 1}, {Agent: "b", Claim: "2", Beat: 6}}}
	seen.Update(renewed, now.Add(50*time.Second))
	at := func(s time.Duration) func(Permit) bool {
		return func(p Permit) bool { return seen.Expired(p, now.Add(s), time.Minute) }
	}
	cases := []struct {
		name    string
		agent   string
		limit   int
		after   time.Duration
		want    bool
		permits int
	}{
		{"full", "c", 2, time.Minute - 1, false, 0},
		{"one expired", "c", 2, time.Minute, true, 2},
		{"renewed one still counts", "c", 1, time.Minute, false, 0},
		{"own engine's permit is replaced", "b", 2, 0, true, 2},
		{"free place", "c", 3, 0, true, 3},
	}
	for _, c := range cases {
		next, ok := Take(renewed, Permit{Agent: c.agent, Claim: "3"}, c.limit, at(c.after))
		if ok != c.want || len(next.Permits) != c.permits {
			t.Errorf("%s: got %+v, %v", c.name, next, ok)
		}
	}
	if len(seen) != 2 {
		t.Errorf("%d sightings are kept, want 2", len(seen))
	}
}
