package replay

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/workload"
)

const testLength = 90 * time.Second // of a compressed day

func generated(t *testing.T, fleet workload.Fleet, day workload.Day, seed uint64) []workload.Event {
	t.Helper()
	events, err := workload.Generate(workload.Options{Fleet: fleet, Day: day, Duration: testLength, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	return slices.Collect(events)
}

func replayed(t *testing.T, fleet workload.Fleet, day workload.Day, policy Policy, seed uint64) *Outcome {
	t.Helper()
	o, err := Run(Config{Fleet: fleet, Policy: policy, Seed: seed}, generated(t, fleet, day, seed))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// checkPromises compares a result with what holds on every day.
func checkPromises(t *testing.T, r *Result) {
	t.Helper()
	if r.OnlineWrong > 0 || r.BatchLost > 0 || r.BatchDuplicated > 0 || r.RunTwice > 0 {
		t.Errorf("a promise was broken: %s", r.JSON())
	}
	if r.OnlineSent != r.OnlineOK+r.OnlineRefused+r.OnlineFailed+r.OnlineCancelled {
		t.Errorf("online requests without an ending: %s", r.JSON())
	}
	if r.BatchItems != r.CompletedOnce+r.BatchCancelled {
		t.Errorf("items without an ending: %s", r.JSON())
	}
}

// Guards against online latencies beyond the targets while batch work runs, and
// against work lost, repeated or wrong.
func TestTargetsOfOnlineWorkWithBatch(t *testing.T) {
	for _, fleet := range []workload.Fleet{workload.Ferreira, workload.Donautal} {
		for _, day := range []workload.Day{workload.Ordinary, workload.Burst} {
			for seed := uint64(1); seed <= 3; seed++ {
				r := &replayed(t, fleet, day, Default, seed).Result
				checkPromises(t, r)
				if max(r.FirstToken.P95, r.FirstTokenBatch.P95) > 310 || max(r.TokenInterval.P95, r.IntervalBatch.P95) > 55 {
					t.Errorf("%s %s seed %d: %s", fleet, day, seed, r.JSON())
				}
			}
		}
	}
}

// mostCrashesAllowed is the most upstreams that one request may crash.
const mostCrashesAllowed = 2

// Guards against a fault, or two at once, that loses, repeats or garbles work,
// or a poison request that crashes a third engine.
func TestPromisesOnDaysWithFaults(t *testing.T) {
	for _, fleet := range []workload.Fleet{workload.Ferreira, workload.Donautal} {
		for seed := uint64(1); seed <= 4; seed++ {
			o := replayed(t, fleet, workload.Faults, Default, seed)
			checkPromises(t, &o.Result)
			if o.Result.MostCrashes > mostCrashesAllowed {
				t.Errorf("%s seed %d: one request crashed %d upstreams, at most %d are allowed", fleet, seed, o.Result.MostCrashes, mostCrashesAllowed)
			}
			if len(o.Marks) == 0 || o.Result.MostCrashes == 0 {
				t.Errorf("%s seed %d: %d faults and %d crashes by poison", fleet, seed, len(o.Marks), o.Result.MostCrashes)
			}
		}
	}
}

// Guards against a replay whose bytes depend on anything but its input.
func TestSameSeedGivesSameBytes(t *testing.T) {
	for _, policy := range Policies {
		first := replayed(t, workload.Ferreira, workload.Faults, policy, 5)
		second := replayed(t, workload.Ferreira, workload.Faults, policy, 5)
		if !bytes.Equal(first.Result.JSON(), second.Result.JSON()) || !bytes.Equal(first.HTML(), second.HTML()) {
			t.Errorf("%s: %s and then %s", policy, first.Result.JSON(), second.Result.JSON())
		}
	}
}
