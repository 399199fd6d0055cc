package replay

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/workload"
)

// idleBoundStepTime is the engine step time from which the idle bound is computed.
const idleBoundStepTime = 55 * time.Millisecond

// Percentiles holds the percentiles of a latency in ms.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Result is the outcome of a replay as one JSON object. online_sent is the sum of
// ok, refused, failed and cancelled; wrong counts the tokens out of sequence (gaps
// and duplicates) and the requests of ok whose response had a wrong length.
// batch_items is the sum of batch_completed_once (including the items whose recorded
// result is an error), batch_cancelled, batch_lost, batch_duplicated and, for
// online-only, the items that were never started. batch_failed counts the items with a recorded error.
// The latencies named waiting cover only the online tokens that arrive while batch
// work is pending. They show the effect of batch work, which percentiles of the
// whole day would hide.
type Result struct {
	Policy                Policy      `json:"policy"`
	OnlineSent            int         `json:"online_sent"`
	OnlineOK              int         `json:"online_ok"`
	OnlineRefused         int         `json:"online_refused"`
	OnlineFailed          int         `json:"online_failed"`
	OnlineCancelled       int         `json:"online_cancelled"`
	OnlineWrong           int         `json:"online_wrong"`
	FirstToken            Percentiles `json:"ttft_ms"`
	TokenInterval         Percentiles `json:"itl_ms"`
	FirstTokenWaiting     Percentiles `json:"ttft_waiting_ms"`
	TokenIntervalWaiting  Percentiles `json:"itl_waiting_ms"`
	BatchItems            int         `json:"batch_items"`
	BatchCompletedOnce    int         `json:"batch_completed_once"`
	BatchFailed           int         `json:"batch_failed"`
	BatchCancelled        int         `json:"batch_cancelled"`
	BatchDuplicated       int         `json:"batch_duplicated"`
	BatchLost             int         `json:"batch_lost"`
	BatchPreempted        int         `json:"batch_preempted"`
	BatchItemsPerSecond   float64     `json:"batch_items_per_s"`
	IdleBoundPerSecond    float64     `json:"idle_bound_items_per_s"`
	BatchWaitSeconds      float64     `json:"batch_wait_s"`
	MaxCrashes            int         `json:"max_upstream_crashes_per_request"`
	NonRepeatableRunTwice int         `json:"non_repeatable_run_twice"`
	EndSeconds            float64     `json:"end_s"`
	OutcomesMet           bool        `json:"outcomes_met"`
}

// Outcome is a result with the time series and faults that the report shows.
type Outcome struct {
	Result Result
	Fleet  workload.Fleet
	Seed   uint64
	Points []Point // by second of the replay
	Faults []FaultMark
}

// Point holds the figures of one second of a replay. Latencies are the 95th
// percentiles of the second in ms, 0 without samples.
type Point struct {
	FirstToken, TokenInterval float64
	Completed, Preempted      int
}

// FaultMark is a fault shown in the report.
type FaultMark struct {
	Second float64
	Text   string
}

// JSON returns the result on one line.
func (r *Result) JSON() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // only NaN and infinite numbers fail to encode; the result has none
	}
	return b
}

func (sim *simulation) outcome() *Outcome {
	s := &sim.stats
	if s.openJobs > 0 {
		s.openJobs = 1
		s.jobEnded(sim.now)
	}
	r := Result{
		Policy: sim.cfg.Policy, OnlineSent: s.online, OnlineOK: s.ok, OnlineRefused: s.refused,
		OnlineFailed: s.failed, OnlineCancelled: s.cancelled, OnlineWrong: s.wrongLength + s.tokenGaps,
		FirstToken: percentiles(s.firstTokens), TokenInterval: percentiles(s.intervals),
		FirstTokenWaiting: percentiles(s.firstTokensWaiting), TokenIntervalWaiting: percentiles(s.intervalsWaiting),
		BatchItems: s.batchItems, BatchFailed: s.batchFailed, NonRepeatableRunTwice: s.nonRepeatableRunTwice,
		BatchWaitSeconds: round(s.batchWaiting.Seconds()), EndSeconds: round(sim.now.Seconds()), OutcomesMet: true,
	}
	for _, rq := range sim.requests {
		if rq.state == requestOpen {
			r.OnlineFailed++
		}
	}
	for _, n := range s.crashes {
		r.MaxCrashes = max(r.MaxCrashes, n)
	}
	for _, p := range s.perSecond {
		r.BatchPreempted += p.preempted
	}
	sim.countItems(&r)
	out := &Outcome{Result: r, Fleet: sim.cfg.Fleet, Seed: sim.cfg.Seed, Points: sim.points()}
	for _, m := range s.faults {
		out.Faults = append(out.Faults, FaultMark{Second: m.at.Seconds(), Text: string(m.fault.Kind) + " " + m.fault.Target})
	}
	return out
}

// countItems derives the item counts and rates from the commits.
func (sim *simulation) countItems(r *Result) {
	tokens, items := 0, 0
	for _, j := range sim.jobs {
		for _, n := range j.commitCounts {
			switch {
			case n == 1:
				r.BatchCompletedOnce++
			case n > 1:
				r.BatchDuplicated++
			case j.state == jobCancelled:
				r.BatchCancelled++
			case sim.cfg.Policy != PolicyOnlineOnly:
				r.BatchLost++
			}
			if n > 0 {
				items++
				tokens += j.spec.OutputTokens
			}
		}
	}
	waited := sim.stats.batchWaiting.Seconds()
	if items == 0 || waited == 0 {
		return
	}
	engines := 0
	for _, a := range sim.agents {
		if !a.plain {
			engines++
		}
	}
	idleTokens := float64(engines*engine.Slots)/idleBoundStepTime.Seconds()*waited - float64(sim.stats.onlineTokensWaiting)
	r.BatchItemsPerSecond = round(float64(items) / waited)
	r.IdleBoundPerSecond = round(idleTokens / waited * float64(items) / float64(tokens))
}

func (sim *simulation) points() []Point {
	s := &sim.stats
	list := make([]Point, int(sim.now/time.Second)+1)
	for i := range list {
		if i < len(s.firstTokens) {
			list[i].FirstToken = percentiles(s.firstTokens[i : i+1]).P95
		}
		if i < len(s.intervals) {
			list[i].TokenInterval = percentiles(s.intervals[i : i+1]).P95
		}
		if i < len(s.perSecond) {
			list[i].Completed = s.perSecond[i].completed
			list[i].Preempted = s.perSecond[i].preempted
		}
	}
	return list
}

// percentiles computes exact percentiles by sorting all samples, of which there is
// one for each online token.
func percentiles(bySecond [][]uint32) Percentiles {
	var all []uint32
	for _, list := range bySecond {
		all = append(all, list...)
	}
	if len(all) == 0 {
		return Percentiles{}
	}
	slices.Sort(all)
	percentile := func(quantile float64) float64 {
		i := int(math.Ceil(quantile*float64(len(all)))) - 1
		return round(float64(all[max(i, 0)]) / 1000)
	}
	return Percentiles{P50: percentile(0.50), P95: percentile(0.95), P99: percentile(0.99)}
}

// round rounds to three decimals.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }
