package drain_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/drain"
)

// Guards against a request that is taken late in the grace and could be cut off at its
// end, and against a refusal of one that cannot.
func TestPlanAdmitsOnlyWhatItCanAnswer(t *testing.T) {
	start := time.Unix(1000, 0)
	plan := drain.Plan{RoutedUntil: start.Add(2300 * time.Millisecond), AnsweredBy: start.Add(7400 * time.Millisecond)}
	properties := gopter.NewProperties(nil)
	properties.Property("admitted requests are answered", prop.ForAll(func(readMs, limitMs int) bool {
		read := start.Add(time.Duration(readMs) * time.Millisecond)
		deadline := read.Add(time.Duration(limitMs) * time.Millisecond)
		return plan.Admits(read, deadline) == (readMs < 2300 || readMs+limitMs <= 7400)
	}, gen.IntRange(0, 8000), gen.IntRange(1, 60000)))
	properties.TestingRun(t)
}

// Guards against work that outlasts a shutdown, and against a shutdown that ends work
// before its time.
func TestContextEndsWithTheShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := drain.NewState()
		early, cancelEarly := s.Context(t.Context())
		defer cancelEarly()
		if s.Plan() != nil {
			t.Error("shuts down from the start")
		}
		s.Begin(drain.Plan{AnsweredBy: time.Now().Add(7 * time.Second)})
		s.Begin(drain.Plan{AnsweredBy: time.Now().Add(time.Second)}) // a second signal
		late, cancelLate := s.Context(t.Context())
		defer cancelLate()
		<-s.Begun()
		time.Sleep(6999 * time.Millisecond)
		synctest.Wait()
		if early.Err() != nil || late.Err() != nil {
			t.Error("ended early")
		}
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		for _, ctx := range []context.Context{early, late} {
			if !errors.Is(context.Cause(ctx), drain.ErrEnding) {
				t.Errorf("ended with %v", context.Cause(ctx))
			}
		}
		var never *drain.State
		ctx, cancel := never.Context(t.Context())
		if cancel(); never.Plan() != nil || never.Begun() != nil || errors.Is(context.Cause(ctx), drain.ErrEnding) {
			t.Error("a process without a state shuts down")
		}
	})
}
