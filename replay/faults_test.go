package replay

import (
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/workload"
)

const (
	engineService = "workshop-assistant" // of ferreira
	plainService  = "order-portal"
)

func run(t *testing.T, events ...workload.Event) *Result {
	t.Helper()
	o, err := Run(Config{Fleet: workload.Ferreira, Policy: Default, Seed: 1}, events)
	if err != nil {
		t.Fatal(err)
	}
	r := &o.Result
	if r.OnlineWrong > 0 || r.BatchLost > 0 || r.BatchDuplicated > 0 || r.RunTwice > 0 {
		t.Errorf("a promise was broken: %s", r.JSON())
	}
	return r
}

func submitted(at time.Duration, items, failing int) workload.Event {
	return workload.Event{At: at, Kind: workload.KindJob, ID: "j1", Job: &workload.Job{
		Caller: "c1", Service: engineService, Items: items, PromptTokens: 300, OutputTokens: 200, FailingItems: failing,
	}}
}

func faulty(at time.Duration, kind workload.FaultKind, target string, length time.Duration) workload.Event {
	return workload.Event{At: at, Kind: workload.KindFault, Fault: &workload.Fault{Kind: kind, Target: target, For: length}}
}

// Guards against chunks of a lost entry that are never run again, or taken
// over before their claims have expired.
func TestClaimsOfALostEntryLapse(t *testing.T) {
	events := []workload.Event{submitted(0, 3000, 0)}
	for _, id := range []string{"entry-mvd-a-1", "entry-mvd-b-1"} {
		events = append(events, faulty(8*time.Second, workload.FaultInstanceLost, id, time.Hour))
	}
	r := run(t, events...)
	if r.CompletedOnce != 3000 {
		t.Errorf("not all items are completed: %s", r.JSON())
	}
	if r.EndSeconds < (8*time.Second + job.ClaimExpiry - job.RenewInterval).Seconds() {
		t.Errorf("claims were taken over after %.1f s", r.EndSeconds)
	}
}

// Guards against items lost or committed twice around a platform that fails in
// the middle of claims and commits.
func TestPlatformFaults(t *testing.T) {
	events := []workload.Event{submitted(0, 1000, 3)}
	for i := range 40 {
		events = append(events, faulty(time.Duration(i)*250*time.Millisecond, workload.FaultAnswerLost, "", 0))
	}
	events = append(events, faulty(20*time.Second, workload.FaultPlatformDown, "", 10*time.Second),
		faulty(31*time.Second, workload.FaultPlatformSlow, "", 10*time.Second))
	r := run(t, events...)
	if r.CompletedOnce != 1000 || r.BatchFailed != 3 {
		t.Errorf("items: %s", r.JSON())
	}
}

// Guards against results of a holder whose claim lapsed while the platform was
// down and which another entry has taken over.
func TestCommitsAfterALapsedClaimAreFenced(t *testing.T) {
	for length := 70 * time.Second; length < 80*time.Second; length += time.Second {
		if r := run(t, submitted(0, 600, 0), faulty(3*time.Second, workload.FaultPlatformDown, "", length)); r.CompletedOnce != 600 {
			t.Errorf("platform down for %v: %s", length, r.JSON())
		}
	}
}

// Guards against a cancelled job that goes on, or a replay that waits for it.
func TestCancelledJobEnds(t *testing.T) {
	r := run(t, submitted(0, 20_000, 0), workload.Event{At: 20 * time.Second, Kind: workload.KindCancel, ID: "j1"})
	if r.BatchCancelled == 0 || r.CompletedOnce+r.BatchCancelled != 20_000 || r.EndSeconds > 25 {
		t.Errorf("cancelled job: %s", r.JSON())
	}
}

// Guards against a call that must not be repeated and runs again after its
// upstream failed, and against calls without an ending.
func TestNonRepeatableCallsRunOnce(t *testing.T) {
	var events []workload.Event
	for i := range 400 {
		at := time.Duration(i) * 10 * time.Millisecond
		events = append(events, workload.Event{At: at, Kind: workload.KindRequest, ID: "r" + time.Duration(i).String(),
			Request: &workload.Request{Caller: "c1", Service: plainService}})
		if i%100 == 50 {
			events = append(events, faulty(at, workload.FaultUpstreamCrash, "order-portal-mvd-a-1", 200*time.Millisecond))
		}
	}
	r := run(t, events...)
	if r.OnlineSent != 400 || r.OnlineFailed == 0 || r.OnlineOK < 350 {
		t.Errorf("calls: %s", r.JSON())
	}
}

// Guards against a poison request that crashes more than two engines although
// it is sent again and again, and against bystanders that are refused.
func TestPoisonCrashesTwoEngines(t *testing.T) {
	var events []workload.Event
	for i := range 200 {
		in := &workload.Request{Caller: "c2", Service: engineService, PromptTokens: 300, OutputTokens: 50, Repeatable: true}
		if i%20 == 10 {
			in.Caller, in.Poison = "c1", true
		}
		events = append(events, workload.Event{At: time.Duration(i) * 100 * time.Millisecond,
			Kind: workload.KindRequest, ID: "r" + time.Duration(i).String(), Request: in})
	}
	r := run(t, events...)
	if r.MostCrashes != 2 || r.OnlineOK < 185 || r.OnlineOK > 190 {
		t.Errorf("poison: %s", r.JSON())
	}
}

// Guards against a policy that does not do what its name says.
func TestPolicies(t *testing.T) {
	results := make(map[Policy]Result)
	for _, p := range Policies {
		results[p] = replayed(t, workload.Ferreira, workload.Ordinary, p, 1).Result
	}
	if r := results[OnlineOnly]; r.BatchItems == 0 || r.CompletedOnce > 0 {
		t.Errorf("online-only: %s", r.JSON())
	}
	if r := results[FIFO]; r.BatchPreempted > 0 || r.FirstTokenBatch.P95 < results[Default].FirstTokenBatch.P95 {
		t.Errorf("fifo: %s", r.JSON())
	}
	if r := results[Partition]; r.BatchPerSecond > results[Default].BatchPerSecond || r.BatchPreempted > 0 {
		t.Errorf("partition: %s", r.JSON())
	}
}

// Guards against outcomes that are not checked, or wrong ones taken as met.
func TestOutcomes(t *testing.T) {
	checks, err := ReadOutcomes("o.json", []byte(`{"ttft_ms.p95":{"max":310},"online_ok":{"min":5}}`))
	if err != nil {
		t.Fatal(err)
	}
	r := Result{OnlineOK: 5, FirstToken: Percentiles{P95: 310}}
	if missed := r.Apply(checks); len(missed) > 0 || !r.OutcomesMet {
		t.Errorf("missed %q", missed)
	}
	r = Result{OnlineOK: 4, FirstToken: Percentiles{P95: 310.5}}
	if missed := r.Apply(checks); len(missed) != 2 || r.OutcomesMet {
		t.Errorf("missed %q", missed)
	}
	for _, wrong := range []string{`{"ttft":{"max":1}}`, `{"online_ok":{}}`, `{"online_ok":{"most":1}}`, `{"online_ok":1}`, `[]`, `{"policy":{"max":1}}`} {
		if _, err := ReadOutcomes("o.json", []byte(wrong)); err == nil {
			t.Errorf("%s gave no finding", wrong)
		}
	}
}
