package link

import (
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// Limits of load reports. An entry with 96 links receives 48 heartbeats per
// second, which leaves about one further report per link and second.
const (
	// prefixesPerReport bounds the changes of the cached prefixes in one report.
	prefixesPerReport = 4
	// prefixesAtStart bounds the first list on a stream.
	prefixesAtStart = 256
	// significantShare: a change of the running sequences by 1/significantShare
	// of the slots is sent before the next heartbeat. Entries correct smaller
	// ones by their own sends.
	significantShare = 8
	// significantInterval: likewise for a change of the token interval by 1/4.
	significantInterval = 4
)

// reporter turns the agent's snapshots into the reports of one stream.
type reporter struct {
	last     *rpc.LoadReport // last one sent
	sentAt   time.Time
	prefixes map[uint64]struct{} // that the peer knows
}

// add puts a report into the message when one is due, and tells whether the
// message must go now.
func (r *reporter) add(msg *rpc.ControlMessage, load *rpc.LoadReport, now time.Time, heartbeat bool) (due bool, recheck time.Duration) {
	if load == nil {
		return false, 0
	}
	significant := r.isSignificant(load)
	wait := reportMin - now.Sub(r.sentAt)
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
	msg.Load = r.forPeer(load)
	r.last = load
	r.sentAt = now
	return true, 0
}

// riding returns a report for a message on another connection, without
// prefixes, whose changes need the order of the stream.
func (r *reporter) riding(load *rpc.LoadReport, now time.Time) *rpc.LoadReport {
	if load == nil || r.last == nil || now.Sub(r.sentAt) < reportMin {
		return nil
	}
	report := withoutPrefixes(load)
	report.Service = ""
	r.last = load
	r.sentAt = now
	return report
}

// isSignificant compares with the last report sent.
func (r *reporter) isSignificant(load *rpc.LoadReport) bool {
	old := r.last
	if old == nil || load.State != old.State || load.Slots != old.Slots || load.Service != old.Service {
		return true
	}
	if (load.OnlineQueued == 0) != (old.OnlineQueued == 0) || isFull(load) != isFull(old) {
		return true
	}
	step := max(1, load.Slots/significantShare)
	if difference(load.OnlineActive+load.OnlineQueued, old.OnlineActive+old.OnlineQueued) >= step {
		return true
	}
	if difference(load.BatchActive, old.BatchActive) >= step {
		return true
	}
	return difference(load.TokenIntervalUs, old.TokenIntervalUs) > old.TokenIntervalUs/significantInterval
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

// forPeer copies the report. A complete list of prefixes becomes the changes
// since the last one; other lists are passed on.
func (r *reporter) forPeer(load *rpc.LoadReport) *rpc.LoadReport {
	report := withoutPrefixes(load)
	if r.last != nil && r.last.Service == load.Service {
		report.Service = "" // unchanged on this stream
	}
	if !load.CacheComplete {
		report.CachedPrefixes = load.CachedPrefixes
		report.EvictedPrefixes = load.EvictedPrefixes
		return report
	}
	if r.prefixes == nil {
		r.start(report, load.CachedPrefixes)
		return report
	}
	r.change(report, load.CachedPrefixes)
	return report
}

// start sends the first list.
func (r *reporter) start(report *rpc.LoadReport, prefixes []uint64) {
	report.CacheComplete = true
	report.CachedPrefixes = prefixes[:min(len(prefixes), prefixesAtStart)]
	r.prefixes = make(map[uint64]struct{}, len(report.CachedPrefixes))
	for _, prefix := range report.CachedPrefixes {
		r.prefixes[prefix] = struct{}{}
	}
}

// change sends at most prefixesPerReport changes; evictions first, because a
// missing prefix costs more than an unknown one.
func (r *reporter) change(report *rpc.LoadReport, prefixes []uint64) {
	current := make(map[uint64]struct{}, len(prefixes))
	for _, prefix := range prefixes {
		current[prefix] = struct{}{}
	}
	left := prefixesPerReport
	for prefix := range r.prefixes {
		if _, ok := current[prefix]; ok || left == 0 {
			continue
		}
		report.EvictedPrefixes = append(report.EvictedPrefixes, prefix)
		delete(r.prefixes, prefix)
		left--
	}
	for _, prefix := range prefixes {
		if _, ok := r.prefixes[prefix]; ok || left == 0 {
			continue
		}
		report.CachedPrefixes = append(report.CachedPrefixes, prefix)
		r.prefixes[prefix] = struct{}{}
		left--
	}
}

// withoutPrefixes copies a report for a path that does not keep the order.
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
