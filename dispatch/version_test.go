package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

// Guards against a request that waits for one version and holds up those behind it, loses
// its place, goes to another version, or waits until its deadline when the version has gone.
func TestRequestThatWaitsForOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := holder(fleet.Upstream{ID: "a", Slots: 1, SoftwareVersion: "v1"}, fleet.Upstream{ID: "b", Slots: 1, SoftwareVersion: "v2"})
		d := New(Config{Self: "g", Holder: h})
		// acquire starts to acquire a slot at one version, or at any, and gets an ID or an error.
		acquire := func(version string) (got chan any) {
			r := request(5 * time.Second)
			if version != "" {
				r.Accepts = func(u *fleet.Upstream) bool { return u.SoftwareVersion == version }
			}
			got = make(chan any, 1)
			go func() {
				g, err := d.Acquire(t.Context(), r)
				if err != nil {
					got <- err
					return
				}
				got <- g.Upstream.ID
				time.Sleep(time.Second)
				g.Release(Served)
			}()
			time.Sleep(time.Millisecond)
			return got
		}
		check := func(what string, got chan any, want any) {
			t.Helper()
			var is any
			if len(got) > 0 {
				is = <-got
			}
			if err, failed := is.(error); is != want && (!failed || want == nil || !errors.Is(err, want.(error))) {
				t.Errorf("%s: got %v, want %v", what, is, want)
			}
		}
		check("version not in use", acquire("v3"), ErrNoUpstream)
		check("v2 is free", acquire("v2"), "b")
		time.Sleep(500 * time.Millisecond)
		check("v1 is free", acquire("v1"), "a")
		one, later, two := acquire("v1"), acquire("v1"), acquire("v2")
		time.Sleep(600 * time.Millisecond) // b is free again for two
		check("v1 is busy", one, nil)
		check("behind requests for v1", two, "b")
		time.Sleep(500 * time.Millisecond) // a is free again for one
		check("first request for v1", one, "a")
		check("second request for v1", later, nil)
		time.Sleep(400 * time.Millisecond)
		check("any free slot, at once", acquire(""), "b")
		h.Apply([]fleet.Record{{Upstream: fleet.Upstream{ID: "a"}, Version: 200, Removed: true}}, time.Now())
		time.Sleep(100 * time.Millisecond)
		check("the version has gone", later, ErrNoUpstream)
		time.Sleep(time.Second) // until all slots are released
	})
}
