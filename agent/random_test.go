package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Guards the agent's invariants under random work and faults: an attempt ends
// exactly once, a refused attempt was never sent to the engine, no attempt is sent
// twice, and the engine never runs more sequences than it has slots.
func TestRandomWorkAndFaults(t *testing.T) {
	for seed := range uint64(60) {
		runWithAgent(t, 1+int(seed%5), func(t *testing.T, r *testAgent) { randomRun(t, r, seed) })
	}
}

func randomRun(t *testing.T, r *testAgent, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	requests := map[*outcome]*rpc.RunRequest{}
	var last *rpc.RunRequest
	for i := range 150 {
		switch rnd.IntN(12) {
		case 0, 1, 2, 3, 4, 5:
			last = r.request(rpc.Class(1 + rnd.IntN(2)))
			last.Fingerprint = uint64(i)
			last.PromptTokens = rnd.Uint32N(3000)
			last.DeadlineMs = rnd.Uint32N(2) * rnd.Uint32N(3000)
			last.Ticket.NotAfterMs = uint64(r.now()/time.Millisecond) + rnd.Uint64N(500)
			requests[r.submit(t, last)] = last
		case 6:
			if last != nil {
				repeat := proto.Clone(last).(*rpc.RunRequest)
				requests[r.submit(t, repeat)] = repeat
			}
		case 7:
			for o := range requests {
				o.cancel()
				break
			}
		case 8:
			r.engine.crash(fmt.Sprint("boot", i))
		case 9:
			r.engine.set(func() { r.engine.stalled = rnd.IntN(4) == 0 })
		case 10:
			r.engine.set(func() { r.engine.healthy = []error{nil, nil, upstream.ErrNotSent}[rnd.IntN(3)] })
		case 11:
			time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
		}
		time.Sleep(time.Duration(rnd.IntN(60)) * time.Millisecond)
	}
	if err := r.Drain(t.Context()); err != nil {
		t.Errorf("seed %d: drain: %v", seed, err)
	}
	refused := map[string]bool{}
	completed := map[string]bool{}
	for o, req := range requests {
		o.last()
		endings := 0
		for _, e := range o.events {
			if e.GetEnd() != nil || e.GetRefused() != nil || e.GetFailed() != nil {
				endings++
			}
		}
		if endings > 1 || endings == 1 && o.last().GetDelta() != nil {
			t.Errorf("seed %d: %d endings in %v", seed, endings, o.events)
		}
		if reason := o.last().GetRefused().GetReason(); reason != "" && reason != "already_seen" {
			refused[req.AttemptId] = true
		} else {
			completed[req.AttemptId] = true
		}
	}
	for id := range refused {
		if n := r.engine.generateCount(id); n > 0 && !completed[id] {
			t.Errorf("seed %d: refused attempt was sent to the engine", seed)
		}
	}
	for id, n := range r.engine.generated {
		if n > 1 {
			t.Errorf("seed %d: attempt %s was sent %d times", seed, id, n)
		}
	}
	if r.engine.peak > r.cfg.Slots {
		t.Errorf("seed %d: %d sequences on %d slots", seed, r.engine.peak, r.cfg.Slots)
	}
}
