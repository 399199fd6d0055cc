package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

// Guards against a request that is sent to an upstream it does not accept, and against one
// that waits for a particular upstream and holds up requests that any can serve.
func TestRequestWaitsForAnUpstreamItAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 1}, fleet.Upstream{ID: "b", Slots: 1})})
		request := func(accepts string) *Request {
			r := &Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second)}
			if accepts != "" {
				r.Accepts = func(u *fleet.Upstream) bool { return u.ID == accepts }
			}
			return r
		}
		acquire := func(accepts string) *Grant {
			g, err := d.Acquire(t.Context(), request(accepts))
			if err != nil {
				t.Fatal(accepts, err)
			}
			return g
		}
		if _, err := d.Acquire(t.Context(), request("c")); err != ErrNoUpstream {
			t.Error("no upstream is accepted:", err)
		}
		a, b := acquire("a"), acquire("b")
		special, any := make(chan *Grant, 1), make(chan *Grant, 1)
		go func() { special <- acquire("a") }()
		time.Sleep(time.Millisecond)
		go func() { any <- acquire("") }()
		time.Sleep(time.Second)
		b.Release(Served)
		time.Sleep(time.Second)
		select {
		case g := <-any:
			if g.Upstream.ID != "b" {
				t.Error("any:", g.Upstream.ID)
			}
			g.Release(Served)
		default:
			t.Error("a request waits beside a free slot")
		}
		a.Release(Served)
		if g := <-special; g.Upstream.ID != "a" {
			t.Error("special:", g.Upstream.ID)
		} else {
			g.Release(Served)
		}
		if len(any) > 0 {
			(<-any).Release(Served)
		}
	})
}
