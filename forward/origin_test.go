package forward

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
)

// fakeOrigins admits the versions in admitted, all if it is nil.
type fakeOrigins struct{ admitted []string }

func (f *fakeOrigins) Admitted(context.Context, string) func(*fleet.Upstream) bool {
	if f.admitted == nil {
		return nil
	}
	return func(u *fleet.Upstream) bool { return slices.Contains(f.admitted, u.SoftwareVersion) }
}
func (f *fakeOrigins) Begun(string, string, *fleet.Upstream)   {}
func (f *fakeOrigins) Certain(*fleet.Upstream, time.Time) bool { return true }
func (f *fakeOrigins) Ended(string, string)                    {}
func (f *fakeOrigins) Version(context.Context, string, string) (string, error) {
	return "", errors.New("unknown")
}

// Guards against a stream that waits for a slot and begins at a version that was listed
// meanwhile and is not registered.
func TestWaitingStreamBeginsAtAnAdmittedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStreamBench(t, "a")
		occupied, origins := b.occupy(), &fakeOrigins{}
		b.origins = origins
		time.AfterFunc(100*time.Millisecond, func() {
			origins.admitted = []string{""}
			b.holder.Apply([]fleet.Record{{Version: 11, Upstream: fleet.Upstream{ID: "b", Service: "s", Slots: 1, SoftwareVersion: "v2"}}}, time.Now())
		})
		time.AfterFunc(time.Second, func() { occupied.Release(dispatch.Served) })
		s := &pausingUpstreams{t: t, events: 5, pauses: func(string, int) time.Duration { return 10 * time.Millisecond }}
		if o := b.serve(s, 3, 5*time.Second); o.body != wholeStream(5) || !slices.Equal(s.calls, []string{"a"}) {
			t.Errorf("status %d, %q, calls %v", o.status, o.body, s.calls)
		}
		b.checkIdle()
	})
}
