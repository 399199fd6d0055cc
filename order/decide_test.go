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

// Guards against orders to an engine that is already in its target state, and
// against a sequence in which a later order undoes an earlier one.
func TestPendingOrders(t *testing.T) {
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
		if got := describe(PendingOrders(c.target, c.state)); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against assigning the role of a group that the engine does not belong to.
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
		location Location
		ok       bool
		role     string
	}{
		{Location{"any", "s", "a"}, true, "serve"},
		{Location{"s-b-1", "s", "b"}, true, "prefill"},
		{Location{"s-b-x-1", "s", "b"}, true, "decode"},
		{Location{"other", "s", "b"}, true, ""},
		{Location{"p-a-1", "p", "a"}, false, ""},
		{Location{"x", "gone", "a"}, false, ""},
	}
	for _, c := range cases {
		got, ok := TargetOf(ix, c.location)
		if ok != c.ok || got.Role != c.role || (ok && got.EngineCount != 6) {
			t.Errorf("%+v: got %+v, %v", c.location, got, ok)
		}
	}
}

// Guards against a limit of all engines of a service, of more than a quarter
// rounded up, or of zero.
func TestMaxConcurrentLoads(t *testing.T) {
	for engines, want := range map[int]int{0: 1, 1: 1, 2: 1, 3: 1, 4: 1, 5: 2, 8: 2, 9: 3, 84: 21, 85: 22} {
		if got := MaxConcurrentLoads(engines); got != want {
			t.Errorf("%d engines: limit %d, want %d", engines, got, want)
		}
	}
}

// Guards against a permit that is added above the limit, an expired permit that
// still counts, two permits for one engine, and an expiry that depends on the
// clock of another process.
func TestAddPermit(t *testing.T) {
	now := time.Now()
	seen := Observations{}
	old := Rollout{Permits: []Permit{{Agent: "a", Claim: "1", WriteSequence: 1}, {Agent: "b", Claim: "2", WriteSequence: 5}}}
	seen.Update(old, now)
	renewed := Rollout{Permits: []Permit{{Agent: "a", Claim: "1", WriteSequence: 1}, {Agent: "b", Claim: "2", WriteSequence: 6}}}
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
		{"permit of the same engine is replaced", "b", 2, 0, true, 2},
		{"below the limit", "c", 3, 0, true, 3},
	}
	for _, c := range cases {
		next, ok := AddPermit(renewed, Permit{Agent: c.agent, Claim: "3"}, c.limit, at(c.after))
		if ok != c.want || len(next.Permits) != c.permits {
			t.Errorf("%s: got %+v, %v", c.name, next, ok)
		}
	}
	if len(seen) != 2 {
		t.Errorf("%d observations are kept, want 2", len(seen))
	}
}
