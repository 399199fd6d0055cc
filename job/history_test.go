package job

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
)

var (
	historySeeds = flag.Int("history.seeds", 2000, "number of seeds in TestHistories")
	historyFirst = flag.Uint64("history.first", 1, "first seed of TestHistories")
)

// Size of a checked history.
const (
	historyItems   = 250
	historyChunks  = 3
	historyHolders = 3
	historyLength  = 6 * time.Minute
)

// opKind is a kind of operation in a history.
type opKind int

const (
	opCommit opKind = iota
	opCancel
	opComplete
	opReadStatus
	opReadDone
)

type opInput struct {
	kind  opKind
	chunk int
	claim string
}

type opOutput struct {
	ok      bool // the commit took effect, or the job has ended
	unknown bool
	status  Status
	done    jobDone
}

// jobDone holds the committed claim of each chunk.
type jobDone [historyChunks]string

type modelState struct {
	status Status
	done   jobDone
}

// jobModel is the sequential specification for the linearizability check.
var jobModel = porcupine.Model{
	Init: func() any { return modelState{status: StatusRunning} },
	Step: func(state, input, output any) (bool, any) {
		return stepJob(state.(modelState), input.(opInput), output.(opOutput))
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

func stepJob(s modelState, in opInput, out opOutput) (bool, any) {
	all := true
	for _, claim := range s.done {
		all = all && claim != ""
	}
	if out.unknown && in.kind >= opReadStatus {
		return true, s // a failed read
	}
	switch in.kind {
	case opCommit:
		open := s.status == StatusRunning && s.done[in.chunk] == ""
		if out.unknown && !open {
			return true, s
		}
		if !out.ok && !out.unknown {
			return s.done[in.chunk] != in.claim, s
		}
		if s.done[in.chunk] == in.claim {
			return true, s
		}
		s.done[in.chunk] = in.claim
		return open, s
	case opCancel:
		if s.status == StatusRunning {
			s.status = StatusCancelled
		}
		return out.unknown || s.status == out.status, s
	case opComplete:
		if s.status == StatusRunning && all {
			s.status = StatusCompleted
		}
		return out.unknown || s.status.Final() == out.ok, s
	case opReadStatus:
		return s.status == out.status, s
	}
	return s.done == out.done, s
}

// history records the operations of one seed.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// record runs an operation and records it. An operation with unknown outcome may
// take effect at any later time.
func (h *history) record(client int, in opInput, f func() opOutput) opOutput {
	call := time.Since(h.start).Nanoseconds()
	out := f()
	ret := time.Since(h.start).Nanoseconds()
	if out.unknown {
		ret = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
	return out
}

// TestHistories guards against lost, duplicated or changed results and against
// different final states of one job, under retries, crashes, pauses, lost and late
// responses, outages, cancels and completions by several entries. It checks that the
// operations on the store are linearizable.
func TestHistories(t *testing.T) {
	seeds := *historySeeds
	if testing.Short() {
		seeds = min(seeds, 200)
	}
	total := tally{counts: make(map[string]int)}
	for shard := range historyShards {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < seeds; i += historyShards {
				checkHistory(t, *historyFirst+uint64(i), &total)
			}
		})
	}
	t.Cleanup(func() {
		t.Logf("%d seeds: %v", seeds, total.counts)
		for _, want := range []string{"completed", "cancelled", "commit=false open=false"} {
			if seeds >= 200 && total.counts[want] == 0 {
				t.Errorf("no history reached %s", want)
			}
		}
	})
}

// historyShards is the number of seeds that run concurrently.
const historyShards = 4

// tally counts the outcomes of jobs and commits.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *tally) add(end Status, ops []porcupine.Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[string(end)]++
	for _, op := range ops {
		if out := op.Output.(opOutput); op.Input.(opInput).kind == opCommit {
			c.counts[fmt.Sprintf("commit=%v open=%v", out.ok, out.unknown)]++
		}
	}
}

func checkHistory(t *testing.T, seed uint64, total *tally) {
	var h *history
	var end Status
	synctest.Test(t, func(t *testing.T) { h, end = runHistory(t, seed) })
	total.add(end, h.ops)
	if porcupine.CheckOperations(jobModel, h.ops) {
		return
	}
	for _, op := range h.ops {
		t.Logf("%d..%d client %d: %s", op.Call, op.Return, op.ClientId, jobModel.DescribeOperation(op.Input, op.Output))
	}
	t.Fatalf("seed %d: the history is not linearizable", seed)
}

func runHistory(t *testing.T, seed uint64) (*history, Status) {
	rng := rand.New(rand.NewPCG(seed, 0))
	f := newFakePlatform()
	s := NewStore(f)
	faults := newFaultPlan(seed, rng)
	f.latency = faults.latency
	f.setFault(faults.nextFault)
	j := submitTwice(t, s)
	h := &history{start: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), historyLength)
	defer cancel()
	var wg sync.WaitGroup
	for i := range historyHolders {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1))
		wg.Go(func() { runHolder(ctx, s, h, j, i, r) })
	}
	r := rand.New(rand.NewPCG(seed, 100))
	wg.Go(func() { runClient(ctx, s, h, j, r) })
	wg.Wait()
	f.setFault(nil)
	time.Sleep(2 * time.Second) // delayed writes are applied
	return h, finishHistory(t, s, h, j, seed)
}

// faultPlan injects random faults into a history, with one outage of up to 90 s.
type faultPlan struct {
	mu          sync.Mutex
	rng         *rand.Rand
	share       float64
	start       time.Time
	outage, end time.Duration
}

func newFaultPlan(seed uint64, rng *rand.Rand) *faultPlan {
	f := &faultPlan{rng: rand.New(rand.NewPCG(seed, 200)), start: time.Now(), share: rng.Float64() * 0.3}
	f.outage = time.Duration(rng.Int64N(int64(historyLength)))
	f.end = f.outage + time.Duration(rng.Int64N(int64(90*time.Second)))
	return f
}

func (f *faultPlan) latency() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(20*time.Millisecond)) + 1)
}

func (f *faultPlan) nextFault(string, string) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := time.Since(f.start); at >= f.outage && at < f.end {
		return faultUnavailable
	}
	if f.rng.Float64() < f.share {
		return fault(1 + f.rng.IntN(4))
	}
	return faultNone
}

// submitTwice submits the same request twice concurrently.
func submitTwice(t *testing.T, s *Store) *Job {
	file, err := s.Upload(t.Context(), "org", "caller", "in", strings.NewReader(inputLines(historyItems)))
	for err != nil { // the outage outlasts the upload timeout; the caller retries
		file, err = s.Upload(t.Context(), "org", "caller", "in", strings.NewReader(inputLines(historyItems)))
	}
	var jobs [2]*Job
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			j, err := s.Submit(t.Context(), submission(file, ""))
			if err != nil {
				t.Error(err)
			}
			jobs[i] = j
		})
	}
	wg.Wait()
	if jobs[0].ID != jobs[1].ID || jobs[0].Version != jobs[1].Version {
		t.Fatalf("two jobs: %+v and %+v", jobs[0], jobs[1])
	}
	return jobs[0]
}

// runHolder claims chunks and commits, pauses, returns or abandons them.
func runHolder(ctx context.Context, s *Store, h *history, j *Job, client int, r *rand.Rand) {
	watch := NewExpiryTracker()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(20*time.Second))))
		rows, err := s.ScanChunks(ctx, j.ID, 0, historyChunks)
		if err != nil {
			continue
		}
		seen, ok := pickChunk(watch, j, rows, r)
		if !ok {
			continue
		}
		claim, err := s.Claim(ctx, j, seen, fmt.Sprint(client))
		if err != nil {
			continue
		}
		useClaim(ctx, s, h, claim, client, r)
	}
}

// pickChunk chooses a random chunk and reports whether it can be claimed.
func pickChunk(watch *ExpiryTracker, j *Job, rows []Chunk, r *rand.Rand) (Chunk, bool) {
	pick, free := Chunk{Index: r.IntN(historyChunks)}, true
	for _, c := range rows {
		expired := watch.Expired(j.ID, c, time.Now())
		if c.Index == pick.Index {
			pick, free = c, expired || c.State == ChunkReturned
		}
	}
	return pick, free
}

func useClaim(ctx context.Context, s *Store, h *history, claim *Claim, client int, r *rand.Rand) {
	for range r.IntN(3) {
		sleep(ctx, time.Duration(r.Int64N(int64(30*time.Second))))
		if errors.Is(s.Renew(ctx, claim), ErrClaimLost) {
			return
		}
	}
	switch r.IntN(6) {
	case 0:
		return // crash after the claim
	case 1:
		_ = s.Return(ctx, claim, []byte(`{"index":1,"tokens":1}`+"\n"))
		return
	case 2:
		sleep(ctx, time.Duration(r.Int64N(int64(200*time.Second)))) // pause, then commit
	}
	tries := 1 + r.IntN(20) // the holder crashes after these tries
	h.record(client, opInput{kind: opCommit, chunk: claim.Chunk.Index, claim: claim.Chunk.ClaimID}, func() opOutput {
		var b backoff
		for range tries {
			err := s.Commit(ctx, claim, testResults(claim))
			if err == nil || errors.Is(err, ErrClaimLost) {
				return opOutput{ok: err == nil}
			}
			if b.wait(ctx) != nil {
				break
			}
		}
		return opOutput{unknown: true}
	})
}

// runClient cancels, completes and reads the job.
func runClient(ctx context.Context, s *Store, h *history, j *Job, r *rand.Rand) {
	const client = historyHolders
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(20*time.Second))))
		switch r.IntN(16) {
		case 0:
			h.record(client, opInput{kind: opCancel}, func() opOutput {
				got, err := s.Cancel(ctx, j.ID)
				if err != nil {
					return opOutput{unknown: true}
				}
				return opOutput{status: got.Status}
			})
		case 1, 2, 3, 4:
			h.record(client, opInput{kind: opComplete}, func() opOutput {
				ended, err := s.Complete(ctx, j.ID)
				return opOutput{ok: ended, unknown: err != nil}
			})
		default:
			readJob(ctx, s, h, j, client)
		}
	}
}

func readJob(ctx context.Context, s *Store, h *history, j *Job, client int) {
	h.record(client, opInput{kind: opReadStatus}, func() opOutput {
		got, err := s.Job(ctx, j.ID)
		if err != nil {
			return opOutput{unknown: true}
		}
		return opOutput{status: got.Status}
	})
	h.record(client, opInput{kind: opReadDone}, func() opOutput {
		done, err := s.DoneChunks(ctx, j)
		out := opOutput{unknown: err != nil}
		for _, c := range done {
			out.done[c.Index] = c.ClaimID
		}
		return out
	})
}

// finishHistory finishes the job as a new entry and compares the output with the
// committed claims.
func finishHistory(t *testing.T, s *Store, h *history, j *Job, seed uint64) Status {
	ctx := t.Context()
	const client = historyHolders + 1
	watch := NewExpiryTracker()
	r := rand.New(rand.NewPCG(seed, 300))
	for !h.record(client, opInput{kind: opComplete}, func() opOutput {
		ended, err := s.Complete(ctx, j.ID)
		return opOutput{ok: ended, unknown: err != nil}
	}).ok {
		rows, _ := s.AllChunks(ctx, j.ID, j.Chunks())
		if c, ok := pickChunk(watch, j, rows, r); ok {
			claim, err := s.Claim(ctx, j, c, "last")
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			h.record(client, opInput{kind: opCommit, chunk: c.Index, claim: claim.Chunk.ClaimID}, func() opOutput {
				return opOutput{ok: s.Commit(ctx, claim, testResults(claim)) == nil}
			})
		}
		time.Sleep(10 * time.Second)
	}
	readJob(ctx, s, h, j, client)
	end, err := s.Job(ctx, j.ID)
	if err != nil || !end.Status.Final() {
		t.Fatalf("seed %d: %+v %v", seed, end, err)
	}
	var want, got bytes.Buffer
	done, _ := s.DoneChunks(ctx, j)
	for _, c := range done {
		want.WriteString(strings.Repeat(c.ClaimID+"\n", j.chunkLen(c.Index)))
	}
	if err := s.WriteResults(ctx, end, false, &got); err != nil || got.String() != want.String() {
		t.Fatalf("seed %d: output of %d bytes, want %d: %v", seed, got.Len(), want.Len(), err)
	}
	return end.Status
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
