package replay

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/workload"
)

// stepBound is the step time at which the idle bound counts engines.
const stepBound = 55 * time.Millisecond

// Percentiles of a latency in ms.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Result is the outcome of a replay as one JSON object. online_sent is the sum of
// ok, refused, failed and cancelled; wrong counts those of ok whose answer had
// a gap, a duplicate or a wrong length. batch_items is the sum of
// batch_completed_once (with those whose recorded result is an error),
// batch_cancelled, batch_lost, batch_duplicated and, for online-only, the items
// that were never started. batch_failed is the part with a recorded error.
// The latencies named waiting are those of online tokens that arrive while batch
// work waits; they show what batch work costs, which a whole day hides.
type Result struct {
	Policy           Policy      `json:"policy"`
	OnlineSent       int         `json:"online_sent"`
	OnlineOK         int         `json:"online_ok"`
	OnlineRefused    int         `json:"online_refused"`
	OnlineFailed     int         `json:"online_failed"`
	OnlineCancelled  int         `json:"online_cancelled"`
	OnlineWrong      int         `json:"online_wrong"`
	FirstToken       Percentiles `json:"ttft_ms"`
	TokenInterval    Percentiles `json:"itl_ms"`
	FirstTokenBatch  Percentiles `json:"ttft_waiting_ms"`
	IntervalBatch    Percentiles `json:"itl_waiting_ms"`
	BatchItems       int         `json:"batch_items"`
	CompletedOnce    int         `json:"batch_completed_once"`
	BatchFailed      int         `json:"batch_failed"`
	BatchCancelled   int         `json:"batch_cancelled"`
	BatchDuplicated  int         `json:"batch_duplicated"`
	BatchLost        int         `json:"batch_lost"`
	BatchPreempted   int         `json:"batch_preempted"`
	BatchPerSecond   float64     `json:"batch_items_per_s"`
	IdleBound        float64     `json:"idle_bound_items_per_s"`
	BatchWaitSeconds float64     `json:"batch_wait_s"`
	MostCrashes      int         `json:"max_upstream_crashes_per_request"`
	RunTwice         int         `json:"non_repeatable_run_twice"`
	EndSeconds       float64     `json:"end_s"`
	OutcomesMet      bool        `json:"outcomes_met"`
}

// Outcome is a result with what the report shows over time.
type Outcome struct {
	Result Result
	Fleet  workload.Fleet
	Seed   uint64
	Points []Point // by second
	Marks  []Mark
}

// Point is one second of a replay. Latencies are the second's 95th percentiles
// in ms, 0 without a sample.
type Point struct {
	FirstToken, TokenInterval float64
	Completed, Preempted      int
}

// Mark is a fault.
type Mark struct {
	Second float64
	Text   string
}

// JSON returns the result on one line.
func (r *Result) JSON() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // only for NaN or infinite numbers, which round excludes
	}
	return b
}

func (w *world) outcome() *Outcome {
	s := &w.stats
	if s.openJobs > 0 {
		s.openJobs = 1
		s.jobEnded(w.now)
	}
	r := Result{
		Policy: w.cfg.Policy, OnlineSent: s.online, OnlineOK: s.ok, OnlineRefused: s.refused,
		OnlineFailed: s.failed, OnlineCancelled: s.cancelled, OnlineWrong: s.wrong + s.gaps,
		FirstToken: percentiles(s.firstTokens), TokenInterval: percentiles(s.intervals),
		FirstTokenBatch: percentiles(s.firstTokensWaiting), IntervalBatch: percentiles(s.intervalsWaiting),
		BatchItems: s.batchItems, BatchFailed: s.batchFailed, RunTwice: s.runTwice,
		BatchWaitSeconds: round(s.waiting.Seconds()), EndSeconds: round(w.now.Seconds()), OutcomesMet: true,
	}
	for _, rq := range w.requests {
		if rq.state == endNone {
			r.OnlineFailed++
		}
	}
	for _, n := range s.crashes {
		r.MostCrashes = max(r.MostCrashes, n)
	}
	for _, p := range s.perSecond {
		r.BatchPreempted += p.preempted
	}
	w.countItems(&r)
	out := &Outcome{Result: r, Fleet: w.cfg.Fleet, Seed: w.cfg.Seed, Points: w.points()}
	for _, m := range s.faults {
		out.Marks = append(out.Marks, Mark{Second: m.at.Seconds(), Text: string(m.fault.Kind) + " " + m.fault.Target})
	}
	return out
}

// countItems derives the counts of items from the commits, and the rates.
func (w *world) countItems(r *Result) {
	tokens, items := 0, 0
	for _, j := range w.jobs {
		for _, n := range j.commits {
			switch {
			case n == 1:
				r.CompletedOnce++
			case n > 1:
				r.BatchDuplicated++
			case j.state == jobCancelled:
				r.BatchCancelled++
			case w.cfg.Policy != OnlineOnly:
				r.BatchLost++
			}
			if n > 0 {
				items++
				tokens += j.in.OutputTokens
			}
		}
	}
	waited := w.stats.waiting.Seconds()
	if items == 0 || waited == 0 {
		return
	}
	engines := 0
	for _, a := range w.agents {
		if !a.plain {
			engines++
		}
	}
	possible := float64(engines*engine.Slots)/stepBound.Seconds()*waited - float64(w.stats.onlineWaiting)
	r.BatchPerSecond = round(float64(items) / waited)
	r.IdleBound = round(possible / waited * float64(items) / float64(tokens))
}

func (w *world) points() []Point {
	s := &w.stats
	list := make([]Point, int(w.now/time.Second)+1)
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

// percentiles sorts all samples; their number is that of the online tokens.
func percentiles(bySecond [][]uint32) Percentiles {
	var all []uint32
	for _, list := range bySecond {
		all = append(all, list...)
	}
	if len(all) == 0 {
		return Percentiles{}
	}
	slices.Sort(all)
	at := func(share float64) float64 {
		i := int(math.Ceil(share*float64(len(all)))) - 1
		return round(float64(all[max(i, 0)]) / 1000)
	}
	return Percentiles{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

// round keeps three decimals.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }
