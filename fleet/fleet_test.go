package fleet

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func routes(prefixes ...string) []Route {
	list := make([]Route, len(prefixes))
	for i, p := range prefixes {
		list[i] = Route{Name: p, Host: "h", Prefix: p, Targets: []Target{{"s", 1}}}
	}
	return list
}

// Guards against routing by a shorter prefix although a longer one matches.
func TestMatchLongestPrefix(t *testing.T) {
	c := NewConfiguration(1, routes("/a/", "/a/b/", "/"), Limits{})
	for path, want := range map[string]string{"/a/x": "/a/", "/a/b/c": "/a/b/", "/a": "/", "/ab/": "/"} {
		if r := c.Match("h", path); r == nil || r.Name != want {
			t.Errorf("%s: got %v, want %s", path, r, want)
		}
	}
	if r := c.Match("other", "/a/x"); r != nil {
		t.Errorf("route of another host: %v", r)
	}
}

// Guards against a traffic split that maps one request id to two services, or that
// ignores the weights.
func TestSplitIsStable(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	count := map[string]int{}
	for i := range 5000 {
		id := time.Duration(i).String()
		count[r.ServiceFor(id)]++
		if first, second := r.ServiceFor(id), r.ServiceFor(id); first != second {
			t.Fatal("two services for one id")
		}
	}
	if count["c"] != 0 || count["b"] < 350 || count["b"] > 650 {
		t.Errorf("split 90:10:0 gave %v", count)
	}
}

// Guards against reverting to an older configuration.
func TestConfigurationIsNeverReverted(t *testing.T) {
	h := NewHolder()
	properties := gopter.NewProperties(nil)
	highest := uint64(0)
	properties.Property("the version in force is the highest seen", prop.ForAll(func(v uint64) bool {
		h.Configure(NewConfiguration(v, nil, Limits{}))
		highest = max(highest, v)
		return h.View().Configuration.Version == highest
	}, gen.UInt64Range(1, 50)))
	properties.TestingRun(t)
}

func ready(id string, version uint64) Record {
	return Record{Upstream: Upstream{ID: id, Service: "s", Slots: 1}, Version: version}
}

func usable(h *Holder) int { return len(h.View().Usable("s")) }

// Guards against a stale copy of an entry that restores a removed upstream.
func TestOlderRecordIsIgnored(t *testing.T) {
	h, now := NewHolder(), time.Now()
	h.Replace([]Record{ready("a", 5), ready("b", 6)}, 7, now)
	h.Apply([]Record{{Upstream: Upstream{ID: "a"}, Version: 9, Removed: true}}, now)
	h.MergeState(State{Listed: true, Records: []Record{ready("a", 5), ready("b", 6)}}, now)
	if usable(h) != 1 {
		t.Errorf("%d upstreams in use, want only b", usable(h))
	}
	draining := ready("b", 10)
	draining.Draining = true
	h.Apply([]Record{draining}, now)
	if usable(h) != 0 {
		t.Error("a draining upstream is usable")
	}
}

// Guards against a full list that does not remove a missing upstream, and against
// one that removes an upstream registered after the list was read.
func TestReplace(t *testing.T) {
	h, now := NewHolder(), time.Now()
	h.Replace([]Record{ready("a", 5), ready("b", 6)}, 7, now)
	h.Apply([]Record{ready("c", 12)}, now)
	h.Replace([]Record{ready("a", 5)}, 10, now)
	ids := map[string]bool{}
	for _, u := range h.View().Usable("s") {
		ids[u.ID] = true
	}
	if len(ids) != 2 || !ids["a"] || !ids["c"] {
		t.Errorf("in use: %v, want a and c", ids)
	}
}

// Guards against dropping all upstreams whose entries expired during a store
// outage, and against keeping those that do not register again.
func TestExpiredEntries(t *testing.T) {
	h, now := NewHolder(), time.Now()
	h.Replace([]Record{ready("a", 5), ready("b", 6)}, 7, now)
	gone := func(id string, version uint64) Record {
		return Record{Upstream: Upstream{ID: id}, Version: version, Removed: true}
	}
	h.StoreRecovered(now)
	h.Apply([]Record{gone("a", 20), gone("b", 21)}, now)
	if usable(h) != 2 {
		t.Fatalf("%d upstreams in use just after the store recovered, want 2", usable(h))
	}
	h.Apply([]Record{ready("a", 30)}, now.Add(time.Second))
	h.Expire(now.Add(ExpiryGrace))
	if usable(h) != 1 || h.View().Usable("s")[0].ID != "a" {
		t.Errorf("after the grace period: %v", h.View().Usable("s"))
	}
	h.Apply([]Record{gone("a", 40)}, now.Add(2*ExpiryGrace))
	if usable(h) != 0 {
		t.Error("an upstream removed outside the grace period stays in use")
	}
}

// Guards against reporting ready without a configuration or an upstream list.
func TestReady(t *testing.T) {
	h := NewHolder()
	h.Configure(NewConfiguration(1, nil, Limits{}))
	if h.View().Ready() {
		t.Error("ready without an upstream list")
	}
	h.Replace(nil, 1, time.Now())
	if !h.View().Ready() {
		t.Error("not ready with configuration and list")
	}
}

// Guards against transferring the whole list of a large deployment for each
// change, and against treating a partial update as the full list.
func TestStateSince(t *testing.T) {
	now := time.Now()
	ahead, behind := NewHolder(), NewHolder()
	ahead.Configure(NewConfiguration(3, routes("/"), Limits{}))
	ahead.Replace([]Record{ready("a", 5), ready("b", 6)}, 6, now)
	behind.MergeState(ahead.View().StateSince(behind.View().Versions()), now)
	if usable(behind) != 2 || behind.View().Configuration.Version != 3 {
		t.Fatalf("first state: %d upstreams", usable(behind))
	}
	ahead.Apply([]Record{ready("c", 8), {Upstream: Upstream{ID: "a"}, Version: 9, Removed: true}}, now)
	// Guards against a build that knows no organisations, which would open all routes.
	earlier := State{Version: 9, Routes: routes("/")}
	if behind.MergeState(earlier, now); behind.View().Configuration.Version != 3 {
		t.Error("the configuration of a build without organisations is in force")
	}
	changes := ahead.View().StateSince(behind.View().Versions())
	if len(changes.Records) != 2 || changes.Version != 0 {
		t.Errorf("%d records and configuration version %d sent for two changes", len(changes.Records), changes.Version)
	}
	behind.MergeState(changes, now)
	if usable(behind) != 2 || behind.View().ListVersion != 9 || behind.View().Configuration.Version != 3 {
		t.Errorf("after two changes: %d upstreams, list %d", usable(behind), behind.View().ListVersion)
	}
}

// Guards against an expired entry that returns, or a copy of a peer, and puts an
// upstream that leaves in use again.
func TestLeavingUpstreamStaysOutOfUse(t *testing.T) {
	h, now := NewHolder(), time.Now()
	entry := ready("a", 5)
	entry.Started = 1000
	h.Replace([]Record{entry}, 5, now)
	if !h.MarkLeaving(&entry.Upstream, now) || h.MarkLeaving(&entry.Upstream, now) {
		t.Error("not new once, then known")
	}
	h.StoreRecovered(now)
	h.Apply([]Record{{Upstream: Upstream{ID: "a"}, Version: 6, Removed: true}}, now)
	if usable(h) != 0 {
		t.Error("in use in the grace period")
	}
	entry.Version = 7
	h.Apply([]Record{entry}, now)
	h.MergeState(State{Listed: true, Records: []Record{entry}}, now)
	if usable(h) != 0 {
		t.Error("in use after its entry returned")
	}
	entry.Version, entry.Started = 8, 2000
	h.Apply([]Record{entry}, now)
	if usable(h) != 1 {
		t.Error("the next incarnation is not in use")
	}
	if h.MarkLeaving(&Upstream{ID: "a", Started: 1000}, now) || usable(h) != 1 {
		t.Error("a late answer of the earlier incarnation took the next one out of use")
	}
}

// Guards against upstreams that all seem to have one software version, since the list came
// from a gateway of an earlier build.
func TestListOfAnEarlierBuildIsNotMerged(t *testing.T) {
	h := NewHolder()
	s := State{Listed: true, Records: []Record{{Version: 1, Upstream: Upstream{ID: "a", Service: "s", Slots: 1}}}}
	if h.MergeState(s, time.Now()); len(h.View().Usable("s")) > 0 {
		t.Error("merged without software versions")
	}
	s.HasSoftwareVersions = true
	if h.MergeState(s, time.Now()); len(h.View().Usable("s")) != 1 {
		t.Error("not merged")
	}
}
