package replay

import (
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/workload"
)

const (
	engineService = "workshop-assistant" // services of the fleet ferreira
	plainService  = "order-portal"
)

func runEvents(t *testing.T, events ...workload.Event) *Result {
	t.Helper()
	o, err := Run(Config{Fleet: workload.Ferreira, Policy: PolicyDefault, Seed: 1}, events)
	if err != nil {
		t.Fatal(err)
	}
	r := &o.Result
	if r.OnlineWrong > 0 || r.BatchLost > 0 || r.BatchDuplicated > 0 || r.NonRepeatableRunTwice > 0 {
		t.Errorf("a guarantee was broken: %s", r.JSON())
	}
	return r
}

func jobEvent(at time.Duration, items, failing int) workload.Event {
	return workload.Event{At: at, Kind: workload.KindJob, ID: "j1", Job: &workload.Job{
		Caller: "c1", Service: engineService, Items: items, PromptTokens: 300, OutputTokens: 200, FailingItems: failing,
	}}
}

func faultEvent(at time.Duration, kind workload.FaultKind, target string, length time.Duration) workload.Event {
	return workload.Event{At: at, Kind: workload.KindFault, Fault: &workload.Fault{Kind: kind, Target: target, For: length}}
}

// Guards against chunks of a lost entry that no other entry runs, or that are taken
// over before their claims expire.
func TestClaimsOfLostEntryExpire(t *testing.T) {
	events := []workload.Event{jobEvent(0, 3000, 0)}
	for _, id := range []string{"entry-mvd-a-1", "entry-mvd-b-1"} {
		events = append(events, faultEvent(8*time.Second, workload.FaultInstanceLost, id, time.Hour))
	}
	r := runEvents(t, events...)
	if r.BatchCompletedOnce != 3000 {
		t.Errorf("not all items are completed: %s", r.JSON())
	}
	if r.EndSeconds < (8*time.Second + job.ClaimExpiry - job.RenewInterval).Seconds() {
		t.Errorf("claims were taken over before they expired: the replay ended after %.1f s", r.EndSeconds)
	}
}

// Guards against items that are lost or committed twice when the platform fails
// during claims and commits.
func TestPlatformFaults(t *testing.T) {
	events := []workload.Event{jobEvent(0, 1000, 3)}
	for i := range 40 {
		events = append(events, faultEvent(time.Duration(i)*250*time.Millisecond, workload.FaultAnswerLost, "", 0))
	}
	events = append(events, faultEvent(20*time.Second, workload.FaultPlatformDown, "", 10*time.Second),
		faultEvent(31*time.Second, workload.FaultPlatformSlow, "", 10*time.Second))
	r := runEvents(t, events...)
	if r.BatchCompletedOnce != 1000 || r.BatchFailed != 3 {
		t.Errorf("not every item is completed once with 3 recorded errors: %s", r.JSON())
	}
}

// Guards against a commit by an entry whose claim expired while the platform was
// down and whose chunk another entry has claimed since.
func TestCommitAfterExpiredClaimIsFenced(t *testing.T) {
	for length := 70 * time.Second; length < 80*time.Second; length += time.Second {
		if r := runEvents(t, jobEvent(0, 600, 0), faultEvent(3*time.Second, workload.FaultPlatformDown, "", length)); r.BatchCompletedOnce != 600 {
			t.Errorf("platform down for %v: %s", length, r.JSON())
		}
	}
}

// Guards against a cancelled job that continues, or a replay that waits for it.
func TestCancelledJobEnds(t *testing.T) {
	r := runEvents(t, jobEvent(0, 20_000, 0), workload.Event{At: 20 * time.Second, Kind: workload.KindCancel, ID: "j1"})
	if r.BatchCancelled == 0 || r.BatchCompletedOnce+r.BatchCancelled != 20_000 || r.EndSeconds > 25 {
		t.Errorf("the cancelled job did not end as expected: %s", r.JSON())
	}
}

// Guards against a non-repeatable call that runs again after its upstream failed,
// and against calls that never end.
func TestNonRepeatableCallsRunOnce(t *testing.T) {
	var events []workload.Event
	for i := range 400 {
		at := time.Duration(i) * 10 * time.Millisecond
		events = append(events, workload.Event{At: at, Kind: workload.KindRequest, ID: "r" + time.Duration(i).String(),
			Request: &workload.Request{Caller: "c1", Service: plainService}})
		if i%100 == 50 {
			events = append(events, faultEvent(at, workload.FaultUpstreamCrash, "order-portal-mvd-a-1", 200*time.Millisecond))
		}
	}
	r := runEvents(t, events...)
	if r.OnlineSent != 400 || r.OnlineFailed == 0 || r.OnlineOK < 350 {
		t.Errorf("unexpected outcomes of non-repeatable calls: %s", r.JSON())
	}
}

// Guards against a poison request that crashes more than two engines when its caller
// keeps resending it, and against the refusal of other requests.
func TestPoisonCrashesTwoEngines(t *testing.T) {
	var events []workload.Event
	for i := range 200 {
		spec := &workload.Request{Caller: "c2", Service: engineService, PromptTokens: 300, OutputTokens: 50, Repeatable: true}
		if i%20 == 10 {
			spec.Caller, spec.Poison = "c1", true
		}
		events = append(events, workload.Event{At: time.Duration(i) * 100 * time.Millisecond,
			Kind: workload.KindRequest, ID: "r" + time.Duration(i).String(), Request: spec})
	}
	r := runEvents(t, events...)
	if r.MaxCrashes != 2 || r.OnlineOK < 185 || r.OnlineOK > 190 {
		t.Errorf("unexpected outcomes with a poison request: %s", r.JSON())
	}
}

// Guards against policies that don't follow their definition.
func TestPolicies(t *testing.T) {
	results := make(map[Policy]Result)
	for _, p := range Policies {
		results[p] = replayDay(t, workload.Ferreira, workload.Ordinary, p, 1).Result
	}
	if r := results[PolicyOnlineOnly]; r.BatchItems == 0 || r.BatchCompletedOnce > 0 {
		t.Errorf("unexpected result of policy online-only: %s", r.JSON())
	}
	if r := results[PolicyFIFO]; r.BatchPreempted > 0 || r.FirstTokenWaiting.P95 < results[PolicyDefault].FirstTokenWaiting.P95 {
		t.Errorf("unexpected result of policy fifo: %s", r.JSON())
	}
	if r := results[PolicyPartition]; r.BatchItemsPerSecond > results[PolicyDefault].BatchItemsPerSecond || r.BatchPreempted > 0 {
		t.Errorf("unexpected result of policy partition: %s", r.JSON())
	}
}

// Guards against limits that are not checked, and invalid limits that are accepted.
func TestOutcomeChecks(t *testing.T) {
	checks, err := ParseChecks("o.json", []byte(`{"ttft_ms.p95":{"max":310},"online_ok":{"min":5}}`))
	if err != nil {
		t.Fatal(err)
	}
	r := Result{OnlineOK: 5, FirstToken: Percentiles{P95: 310}}
	if missed := r.Evaluate(checks); len(missed) > 0 || !r.OutcomesMet {
		t.Errorf("missed %q", missed)
	}
	r = Result{OnlineOK: 4, FirstToken: Percentiles{P95: 310.5}}
	if missed := r.Evaluate(checks); len(missed) != 2 || r.OutcomesMet {
		t.Errorf("missed %q", missed)
	}
	for _, wrong := range []string{`{"ttft":{"max":1}}`, `{"online_ok":{}}`, `{"online_ok":{"most":1}}`, `{"online_ok":1}`, `[]`, `{"policy":{"max":1}}`} {
		if _, err := ParseChecks("o.json", []byte(wrong)); err == nil {
			t.Errorf("%s was accepted without a finding", wrong)
		}
	}
}
