package link

import (
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Limits on load reports. An entry with 96 links receives 48 heartbeats per
// second, which leaves room for about one further report per link and second.
const (
	// maxPrefixChanges limits the changes of the cached prefixes in one
	// report.
	maxPrefixChanges = 4
	// maxInitialPrefixes limits the first prefix list on a stream.
	maxInitialPrefixes = 256
	// A change in the number of running sequences by at least
	// 1/loadChangeDivisor of the slots is sent before the next heartbeat.
	// Entries account for smaller changes by counting the attempts they send.
	loadChangeDivisor = 8
	// A change of the token interval by more than 1/intervalChangeDivisor is
	// also sent before the next heartbeat.
	intervalChangeDivisor = 4
)

// reporter turns the agent's load snapshots into the reports of one stream.
type reporter struct {
	last     *rpc.LoadReport // last one sent
	sentAt   time.Time
	prefixes map[uint64]struct{} // known to the peer
}

// add adds a report to the message if one is due. The results are those of a
// roleFieldsFunc.
func (r *reporter) add(msg *rpc.ControlMessage, load *rpc.LoadReport, now time.Time, heartbeat bool) (due bool, recheck time.Duration) {
	if load == nil {
		return false, 0
	}
	significant := r.isSignificant(load)
	wait := minReportInterval - now.Sub(r.sentAt)
	if r.last != nil && load.State != r.last.State {
		wait = 0
	}
	if !heartbeat && wait > 0 {
		if significant {
			recheck = wait
		}
		return false, recheck
	}
	if !significant && !heartbeat {
		return false, 0
	}
	msg.Load = r.peerReport(load)
	r.last = load
	r.sentAt = now
	return true, 0
}

// piggyback returns a report for a message on another connection. It omits the
// prefixes, whose changes depend on the order of the stream.
func (r *reporter) piggyback(load *rpc.LoadReport, now time.Time) *rpc.LoadReport {
	if load == nil || r.last == nil || now.Sub(r.sentAt) < minReportInterval {
		return nil
	}
	report := withoutPrefixes(load)
	report.Service = ""
	r.last = load
	r.sentAt = now
	return report
}

// isSignificant reports whether the load differs enough from the last report
// sent to be sent before the next heartbeat.
func (r *reporter) isSignificant(load *rpc.LoadReport) bool {
	old := r.last
	if old == nil || load.State != old.State || load.Slots != old.Slots || load.Service != old.Service {
		return true
	}
	if (load.OnlineQueued == 0) != (old.OnlineQueued == 0) || isFull(load) != isFull(old) {
		return true
	}
	step := max(1, load.Slots/loadChangeDivisor)
	if difference(load.OnlineActive+load.OnlineQueued, old.OnlineActive+old.OnlineQueued) >= step {
		return true
	}
	if difference(load.BatchActive, old.BatchActive) >= step {
		return true
	}
	return difference(load.TokenIntervalUs, old.TokenIntervalUs) > old.TokenIntervalUs/intervalChangeDivisor
}

func isFull(load *rpc.LoadReport) bool {
	return load.OnlineActive+load.BatchActive >= load.Slots
}

func difference(a, b uint32) uint32 {
	if a > b {
		return a - b
	}
	return b - a
}

// peerReport copies the report for the peer. A complete list of prefixes is
// replaced by the changes since the last report; other lists are passed on
// unchanged.
func (r *reporter) peerReport(load *rpc.LoadReport) *rpc.LoadReport {
	report := withoutPrefixes(load)
	if r.last != nil && r.last.Service == load.Service {
		report.Service = "" // unchanged since the last report on this stream
	}
	if !load.CacheComplete {
		report.CachedPrefixes = load.CachedPrefixes
		report.EvictedPrefixes = load.EvictedPrefixes
		return report
	}
	if r.prefixes == nil {
		r.addInitialPrefixes(report, load.CachedPrefixes)
		return report
	}
	r.addPrefixChanges(report, load.CachedPrefixes)
	return report
}

// addInitialPrefixes adds the first prefix list of a stream.
func (r *reporter) addInitialPrefixes(report *rpc.LoadReport, prefixes []uint64) {
	report.CacheComplete = true
	report.CachedPrefixes = prefixes[:min(len(prefixes), maxInitialPrefixes)]
	r.prefixes = make(map[uint64]struct{}, len(report.CachedPrefixes))
	for _, prefix := range report.CachedPrefixes {
		r.prefixes[prefix] = struct{}{}
	}
}

// addPrefixChanges adds at most maxPrefixChanges changes. Evictions come
// first, because wrongly assuming a cached prefix costs more than not knowing
// one.
func (r *reporter) addPrefixChanges(report *rpc.LoadReport, prefixes []uint64) {
	current := make(map[uint64]struct{}, len(prefixes))
	for _, prefix := range prefixes {
		current[prefix] = struct{}{}
	}
	remaining := maxPrefixChanges
	for prefix := range r.prefixes {
		if _, ok := current[prefix]; ok || remaining == 0 {
			continue
		}
		report.EvictedPrefixes = append(report.EvictedPrefixes, prefix)
		delete(r.prefixes, prefix)
		remaining--
	}
	for _, prefix := range prefixes {
		if _, ok := r.prefixes[prefix]; ok || remaining == 0 {
			continue
		}
		report.CachedPrefixes = append(report.CachedPrefixes, prefix)
		r.prefixes[prefix] = struct{}{}
		remaining--
	}
}

// withoutPrefixes copies a report without its prefix lists.
func withoutPrefixes(load *rpc.LoadReport) *rpc.LoadReport {
	return &rpc.LoadReport{
		Service:            load.Service,
		State:              load.State,
		AgentTimeMs:        load.AgentTimeMs,
		Slots:              load.Slots,
		OnlineActive:       load.OnlineActive,
		BatchActive:        load.BatchActive,
		OnlineQueued:       load.OnlineQueued,
		BatchQueued:        load.BatchQueued,
		TokenIntervalUs:    load.TokenIntervalUs,
		PromptTokensQueued: load.PromptTokensQueued,
		CacheSequence:      load.CacheSequence,
	}
}
