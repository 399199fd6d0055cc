package replay

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/workload"
)

const testTraceDuration = 90 * time.Second // into which a day is compressed

func generateDay(t *testing.T, fleet workload.Fleet, day workload.Day, seed uint64) []workload.Event {
	t.Helper()
	events, err := workload.Generate(workload.Options{Fleet: fleet, Day: day, Duration: testTraceDuration, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	return slices.Collect(events)
}

func replayDay(t *testing.T, fleet workload.Fleet, day workload.Day, policy Policy, seed uint64) *Outcome {
	t.Helper()
	o, err := Run(Config{Fleet: fleet, Policy: policy, Seed: seed}, generateDay(t, fleet, day, seed))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// checkGuarantees checks a result for the guarantees that hold on every day.
func checkGuarantees(t *testing.T, r *Result) {
	t.Helper()
	if r.OnlineWrong > 0 || r.BatchLost > 0 || r.BatchDuplicated > 0 || r.NonRepeatableRunTwice > 0 {
		t.Errorf("a guarantee was broken: %s", r.JSON())
	}
	if r.OnlineSent != r.OnlineOK+r.OnlineRefused+r.OnlineFailed+r.OnlineCancelled {
		t.Errorf("some online requests did not end: %s", r.JSON())
	}
	if r.BatchItems != r.BatchCompletedOnce+r.BatchCancelled {
		t.Errorf("some batch items did not end: %s", r.JSON())
	}
}

// Guards against online latencies above the targets while batch work runs, and
// against lost, repeated or wrong work.
func TestOnlineLatencyTargetsWithBatch(t *testing.T) {
	for _, fleet := range []workload.Fleet{workload.Ferreira, workload.Donautal} {
		for _, day := range []workload.Day{workload.Ordinary, workload.Burst} {
			for seed := uint64(1); seed <= 3; seed++ {
				r := &replayDay(t, fleet, day, PolicyDefault, seed).Result
				checkGuarantees(t, r)
				if max(r.FirstToken.P95, r.FirstTokenWaiting.P95) > 310 || max(r.TokenInterval.P95, r.TokenIntervalWaiting.P95) > 55 {
					t.Errorf("%s %s seed %d: online latency above the target: %s", fleet, day, seed, r.JSON())
				}
			}
		}
	}
}

// maxCrashesPerRequest is the number of upstreams that one request may crash.
const maxCrashesPerRequest = 2

// Guards against work that is lost, repeated or corrupted by a fault or by two
// concurrent faults, and against a poison request that crashes a third engine.
func TestGuaranteesOnDaysWithFaults(t *testing.T) {
	for _, fleet := range []workload.Fleet{workload.Ferreira, workload.Donautal} {
		for seed := uint64(1); seed <= 4; seed++ {
			o := replayDay(t, fleet, workload.Faults, PolicyDefault, seed)
			checkGuarantees(t, &o.Result)
			if o.Result.MaxCrashes > maxCrashesPerRequest {
				t.Errorf("%s seed %d: one request crashed %d upstreams, at most %d are allowed", fleet, seed, o.Result.MaxCrashes, maxCrashesPerRequest)
			}
			if len(o.Faults) == 0 || o.Result.MaxCrashes == 0 {
				t.Errorf("%s seed %d: the trace must contain both, but had %d faults and %d crashes by poison requests", fleet, seed, len(o.Faults), o.Result.MaxCrashes)
			}
		}
	}
}

// Guards against a replay whose output depends on anything but its input.
func TestSameSeedGivesSameBytes(t *testing.T) {
	for _, policy := range Policies {
		first := replayDay(t, workload.Ferreira, workload.Faults, policy, 5)
		second := replayDay(t, workload.Ferreira, workload.Faults, policy, 5)
		if !bytes.Equal(first.Result.JSON(), second.Result.JSON()) || !bytes.Equal(first.HTML(), second.HTML()) {
			t.Errorf("%s: two replays differ: %s, then %s", policy, first.Result.JSON(), second.Result.JSON())
		}
	}
}
