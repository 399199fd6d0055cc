package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

func only(version string) func(*fleet.Upstream) bool {
	return func(u *fleet.Upstream) bool { return u.SoftwareVersion == version }
}

// acquireAt starts to acquire a slot of an upstream of one version.
func acquireAt(t *testing.T, d *Dispatcher, version string) (<-chan *Grant, <-chan error) {
	time.Sleep(time.Millisecond) // requests are served by arrival
	r := request(5 * time.Second)
	r.Accepts = only(version)
	granted, failed := make(chan *Grant, 1), make(chan error, 1)
	go func() {
		g, err := d.Acquire(t.Context(), r)
		if err != nil {
			failed <- err
			return
		}
		granted <- g
	}()
	synctest.Wait()
	return granted, failed
}

// Guards against a request that waits for one version and holds up those behind it, loses
// its place, or goes to another version.
func TestRequestThatWaitsForOneVersionBlocksNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 1, SoftwareVersion: "v1"},
			fleet.Upstream{ID: "b", Slots: 1, SoftwareVersion: "v2"})})
		first, second := mustAcquire(t, d), mustAcquire(t, d)
		if first.Upstream.ID == "b" {
			first, second = second, first
		}
		one, _ := acquireAt(t, d, "v1")
		two, _ := acquireAt(t, d, "v2")
		time.Sleep(time.Millisecond)
		any := make(chan *Grant, 1) // for a request that accepts all versions
		go func() { any <- mustAcquire(t, d) }()
		synctest.Wait()
		second.Release(Served)
		time.Sleep(100 * time.Millisecond)
		for _, granted := range []<-chan *Grant{two, any} {
			g := <-granted
			if g.Upstream.ID != "b" {
				t.Errorf("a request that may go to v2 got %s", g.Upstream.ID)
			}
			g.Release(Served)
		}
		began := time.Now()
		if mustAcquire(t, d); len(one) > 0 || time.Since(began) > 0 {
			t.Fatalf("waited %v for a free slot behind a request for another version, %d of which got one while it is busy", time.Since(began), len(one))
		}
		later, _ := acquireAt(t, d, "v1")
		first.Release(Served)
		time.Sleep(100 * time.Millisecond)
		if len(one) != 1 || len(later) != 0 {
			t.Errorf("%d, then %d requests for v1 got its slot, want the first one only", len(one), len(later))
		}
		(<-one).Release(Served)
		if g := <-later; g.Upstream.ID != "a" {
			t.Errorf("got %s", g.Upstream.ID)
		}
	})
}

// Guards against a request that waits until its deadline for a version that has gone.
func TestRequestForAVersionThatHasGoneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := holder(fleet.Upstream{ID: "a", Slots: 1, SoftwareVersion: "v1"}, fleet.Upstream{ID: "b", Slots: 1, SoftwareVersion: "v2"})
		d := New(Config{Self: "g", Holder: h})
		_, failed := acquireAt(t, d, "v3")
		if len(failed) != 1 || !errors.Is(<-failed, ErrNoUpstream) {
			t.Error("no error at once for a version that is not in use")
		}
		mustAcquire(t, d)
		mustAcquire(t, d)
		_, failed = acquireAt(t, d, "v1")
		h.Apply([]fleet.Record{{Upstream: fleet.Upstream{ID: "a"}, Version: 200, Removed: true}}, time.Now())
		time.Sleep(time.Second)
		if len(failed) != 1 || !errors.Is(<-failed, ErrNoUpstream) {
			t.Error("still waiting a second after the last upstream of its version has gone")
		}
		if g := d.TryAcquireBatch("s", only("v1")); g != nil {
			t.Errorf("a batch item of v1 got %s", g.Upstream.ID)
		}
	})
}
