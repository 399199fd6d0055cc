package batch_test

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/peer"
)

// addedRoute is a route of newer configurations than the first.
var addedRoute = fleet.Route{Name: "added", Host: "h", Prefix: "/added/", Kind: fleet.Batch, MaxAttempts: 3, TokenQuota: 1000,
	Targets: []fleet.Target{{Service: "s", Weight: 1}}}

func withAddedRoute(version uint64) *fleet.Configuration {
	return fleet.NewConfiguration(version, []fleet.Route{route, addedRoute}, fleet.Limits{})
}

// submitOnAddedRoute submits a job of two items at a gateway that has the configuration.
func submitOnAddedRoute(t *testing.T, g *gateway, id string) {
	t.Helper()
	s := submission(id, 2, 10)
	s.Route = addedRoute.Name
	for i := range s.Items {
		s.Items[i].Target = "/added/x"
	}
	if got, err := g.Submit(t.Context(), g.holder.View().Configuration.RouteByName(addedRoute.Name), s); got != batch.Accepted {
		t.Fatal(got, err)
	}
}

// Guards against a job on a new route that is ended by a gateway whose configuration is
// older than the one under which the job was accepted, whichever way the job comes there.
// Once that gateway has a newer one, a route that is missing in it does end the job.
func TestOlderConfigurationDoesNotEndJobs(t *testing.T) {
	lost := func() []peer.MemberStatus {
		return []peer.MemberStatus{{Member: peer.Member{Name: "a", Incarnation: 1}, LastHeard: time.Now().Add(-time.Minute)},
			{Member: peer.Member{Name: "c"}, LastHeard: time.Now()}}
	}
	for way, throughStore := range map[string]bool{"handed over while the store is away": false, "claimed from a lost owner": true} {
		for outcome, next := range map[string]*fleet.Configuration{
			"route is there":                withAddedRoute(9),
			"route was removed, 7 not seen": fleet.NewConfiguration(9, []fleet.Route{route}, fleet.Limits{}),
		} {
			t.Run(way+", "+outcome, func(t *testing.T) {
				store, e := newStore(t), newEngine(t, "e")
				silent := newEngine(t, "silent")
				silent.Interval = time.Hour
				var b *gateway
				target := func() []peer.MemberStatus {
					return []peer.MemberStatus{{Member: peer.Member{Name: "b", Incarnation: 1}, LastHeard: time.Now()}}
				}
				a := startWithConfig(t, store, "a", 1, target, func(c *batch.Config) {
					c.HandOver = func(_ context.Context, _ string, job []byte) error { return b.TakeOver(job) }
				}, silent)
				a.holder.Configure(withAddedRoute(7))
				members := noPeers
				if throughStore {
					members = lost
				}
				submitOnAddedRoute(t, a, "j")
				for silent.Running() < 2 {
					time.Sleep(10 * time.Millisecond)
				}
				b = start(t, store, "b", 1, members, e)
				if throughStore {
					a.kill()
				} else {
					store.FailWith(503)
					a.Release()
					store.FailWith(0)
				}
				time.Sleep(3 * time.Second)
				if page, err := b.Results(t.Context(), "", "j", 0, 0); err == nil && len(page.Results) > 0 {
					t.Errorf("results under the older configuration: %v", page.Results)
				}
				if n := e.Runs("j-0"); n != 0 {
					t.Errorf("the item ran %d times under the older configuration", n)
				}
				b.holder.Configure(next)
				results := awaitResults(t, b, "j", 10*time.Second)
				if next.RouteByName(addedRoute.Name) != nil {
					checkDone(t, results, "j", 2, e.Events)
				} else if !results[0].Abandoned || !results[1].Abandoned {
					t.Errorf("results after the route was removed: %v", results)
				}
			})
		}
	}
}
