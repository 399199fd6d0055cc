package agent

import (
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Load returns the report for the control streams, including the engine's cached
// prefixes.
func (a *Agent) Load() *rpc.LoadReport {
	r := a.loadSummary()
	a.cache.addTo(r)
	return r
}

// loadSummary returns the report that is attached to events. It has no prefixes.
func (a *Agent) loadSummary() *rpc.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.snap
	return &rpc.LoadReport{
		Service:            a.cfg.Service,
		State:              a.state(),
		AgentTimeMs:        uint64(a.now() / time.Millisecond),
		Slots:              uint32(s.Slots),
		OnlineActive:       uint32(s.Counts.Online),
		BatchActive:        uint32(s.Counts.Batch),
		OnlineQueued:       uint32(len(s.Queued)),
		TokenIntervalUs:    uint32(s.TokenInterval / time.Microsecond),
		PromptTokensQueued: uint64(s.Counts.OnlinePromptTokens + s.Counts.BatchPromptTokens),
	}
}

// state returns the upstream state to report. It requires a.mu.
func (a *Agent) state() rpc.UpstreamState {
	switch {
	case a.snap.Leaving:
		return rpc.UpstreamState_UPSTREAM_STATE_LEAVING
	case a.snap.Ready:
		return rpc.UpstreamState_UPSTREAM_STATE_READY
	case !a.probed, a.drainedForOrder:
		return rpc.UpstreamState_UPSTREAM_STATE_STARTING
	}
	return rpc.UpstreamState_UPSTREAM_STATE_DOWN
}
