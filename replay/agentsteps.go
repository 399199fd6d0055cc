package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/standin/engine"
)

// plan registers the end of the engine's step in progress.
func (a *agent) plan() {
	next, ok := a.model.Next()
	if !ok || next == a.planned || a.silent {
		return
	}
	a.planned = next
	boot := a.boot
	a.w.at(next, func() {
		if a.boot != boot || a.planned != next {
			return
		}
		a.catchUp()
		a.plan()
	})
}

// catchUp ends the steps that are over.
func (a *agent) catchUp() {
	boot := a.boot
	for !a.silent && !a.lost && a.boot == boot {
		next, ok := a.model.Next()
		if !ok || next > a.w.now {
			return
		}
		outputs := append(a.outputs[:0], a.model.Step()...)
		a.outputs = nil // a nested call must not use the buffer
		a.stepped(outputs)
		a.outputs = outputs
	}
}

// stepped handles the output of one step. Online tokens travel together.
func (a *agent) stepped(outputs []engine.Output) {
	boot := a.boot
	var online []arrival
	for _, o := range outputs {
		if t := a.tasks[o.ID]; t != nil && t.poison {
			a.crash(restartTime, t)
			return
		}
	}
	for _, o := range outputs {
		t := a.tasks[o.ID]
		if t == nil || t.over {
			continue
		}
		if t.failing {
			a.endWith(t, failure{reason: "upstream_status", status: true})
			continue
		}
		a.token(t)
		if t.class == contract.ClassOnline {
			online = append(online, arrival{t: t, index: o.Index, last: o.Last})
		}
		if o.Last {
			a.finish(t)
		}
		if a.boot != boot {
			return
		}
	}
	if len(online) == 0 {
		return
	}
	a.w.after(oneWay, func() {
		for _, x := range online {
			x.t.sink.token(x.t, x.index)
			if x.last {
				x.t.sink.whole(x.t)
			}
		}
	})
}

type arrival struct {
	t     *task
	index int
	last  bool
}

// token measures times as package agent does.
func (a *agent) token(t *task) {
	s := &a.snap
	now := a.w.now
	interval := now - t.lastToken
	first := t.produced == 0
	t.lastToken = now
	t.produced++
	if first {
		if !t.seq.Cancelled {
			s.Counts.Remove(t.seq)
			t.seq.Produced = t.produced
			s.Counts.Add(t.seq)
		}
		if t.ahead == t.ask.PromptTokens { // no other prompt was before it
			s.Model = s.Model.ObserveFirstToken(t.beside, t.ahead, now-t.handedAt)
		}
		if t.class == contract.ClassOnline {
			s.TimeToFirstToken = smooth(s.TimeToFirstToken, now-t.ask.Arrival)
		}
		return
	}
	t.seq.Produced = t.produced
	if now-a.lastSample < sampleInterval {
		return
	}
	a.lastSample = now
	s.TokenInterval = smooth(s.TokenInterval, interval)
	a.samples++
	if s.Counts.OnlinePromptTokens+s.Counts.BatchPromptTokens == 0 {
		s.Model = s.Model.ObserveStep(s.Counts.Used(), interval)
	}
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}
