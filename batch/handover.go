package batch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/peer"
)

const (
	// maxHandoverOffers is the number of peers that a job is offered to at shutdown.
	maxHandoverOffers = 2
	// handoverOfferTimeout limits one offer: about 400 KB that the peer keeps in memory.
	handoverOfferTimeout = 700 * time.Millisecond
)

// errShuttingDown rejects a handover because this process is shutting down.
var errShuttingDown = errors.New("gateway is shutting down")

// handover is a running job with the progress of its items. A gateway that shuts
// down sends it to a peer as JSON, with the Go field names as keys. The peer runs
// the items immediately, even while the store is unavailable, and becomes the
// job's owner once it can write the job's row.
type handover struct {
	Job        Job
	Version    uint64 // version of the job's row
	Submission *Submission
	Items      []handoverItem // items without a listed result
}

// handoverItem is one item of a handover. Its JSON keys are the Go field names.
type handoverItem struct {
	Index    int
	Progress progress
	Output   []byte // output of the progress or, for a finished item, of the result
	Failures int
	Finished bool
	Result   Result // result of a finished item, without its output
}

// buildHandover returns the handover of a job whose items have stopped. The
// caller holds Service.mu.
func (r *runningJob) buildHandover() *handover {
	h := &handover{Job: r.job, Version: r.version, Submission: r.submission}
	for i := range r.items {
		ri := &r.items[i]
		if ri.state == itemListed {
			continue
		}
		item := handoverItem{Index: i, Failures: ri.failures}
		if ri.state == itemFinished {
			item.Finished, item.Result, item.Output = true, ri.result, []byte(ri.result.Output)
			item.Result.Output = ""
		} else {
			item.Progress, _ = ri.snapshot()
			item.Output = item.Progress.Output
		}
		h.Items = append(h.Items, item)
	}
	return h
}

// apply restores the progress and the results of a handover into items that are
// neither finished nor listed.
func (h *handover) apply(r *runningJob) {
	for _, item := range h.Items {
		if item.Index < 0 || item.Index >= len(r.items) || r.items[item.Index].state >= itemFinished {
			continue
		}
		ri := &r.items[item.Index]
		ri.failures = max(ri.failures, item.Failures)
		if !item.Finished {
			p := item.Progress
			p.Output = item.Output
			ri.advance(p, 0)
			continue
		}
		ri.reset()
		ri.state, ri.result = itemFinished, item.Result
		ri.result.Output = string(item.Output)
		r.finished = append(r.finished, item.Index)
	}
}

// handoverTargets returns the peers that a job is offered to, in the job's
// rendezvous order.
func handoverTargets(job string, members []peer.MemberStatus, now time.Time) []peer.MemberStatus {
	var list []peer.MemberStatus
	for _, m := range members {
		if now.Sub(m.LastHeard) < ownerTimeout && !m.Leaving {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b peer.MemberStatus) int { return cmp.Compare(hashWeight(job, b.Name), hashWeight(job, a.Name)) })
	return list[:min(len(list), maxHandoverOffers)]
}

// offerToPeers offers a job whose items have stopped to peers and reports whether
// one of them accepted it.
func (s *Service) offerToPeers(r *runningJob) bool {
	if s.cfg.HandOver == nil {
		return false
	}
	r.commitMu.Lock() // the row's version is only certain between commits
	defer r.commitMu.Unlock()
	s.mu.Lock()
	if r.dropped || r.job.closed() {
		s.mu.Unlock()
		return false
	}
	data, err := json.Marshal(r.buildHandover())
	id, version, left := r.job.ID, r.version, r.job.Total-r.job.Listed
	s.mu.Unlock()
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("job", id).Msg("cannot encode job for handover")
		return false
	}
	for _, target := range handoverTargets(id, s.cfg.Members(), time.Now()) {
		ctx, cancel := context.WithTimeout(context.Background(), handoverOfferTimeout)
		err := s.cfg.HandOver(ctx, target.Address, data)
		cancel()
		s.cfg.Log.Info().Err(err).Str("job", id).Str("to", target.Name).Uint64("row", version).Int("left", left).
			Int("bytes", len(data)).Bool("taken", err == nil).Msg("job handed over at shutdown")
		if err == nil {
			s.dropJob(id, "handed_over")
			return true
		}
	}
	return false
}

// TakeOver starts to run a job that its owner hands over while shutting down.
func (s *Service) TakeOver(data []byte) error {
	var h handover
	if err := json.Unmarshal(data, &h); err != nil {
		return trace.Wrap(err, "decoding handover")
	}
	if h.Submission == nil || h.Submission.ID != h.Job.ID || len(h.Submission.Items) != h.Job.Total || h.Version == 0 {
		return trace.BadParameter("handover of job %q is incomplete", h.Job.ID)
	}
	r := newRunningJob(h.Job, h.Version, h.Submission)
	included := make(map[int]bool, len(h.Items))
	for _, item := range h.Items {
		included[item.Index] = true
	}
	for i := range r.items {
		if !included[i] {
			r.items[i].state = itemListed
		}
	}
	h.apply(r)
	r.unclaimed, r.committing = true, true
	finished := len(r.finished)
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		r.cancel()
		return errShuttingDown
	}
	if s.running[h.Job.ID] != nil {
		s.mu.Unlock()
		r.cancel()
		return nil // repeated offer
	}
	s.running[h.Job.ID] = r
	s.mu.Unlock()
	s.submissions.Add(h.Job.ID, h.Submission)
	s.cfg.Log.Info().Str("job", h.Job.ID).Str("owner", h.Job.Owner).Uint64("row", h.Version).Int("listed", h.Job.Listed).
		Int("total", h.Job.Total).Int("finished", finished).Msg("job taken over")
	s.announceTakenOver()
	go s.commitFinished(r) // the first commit makes this process the owner
	s.wakeScheduler()
	return nil
}

// announceTakenOver tells the peers which jobs this process has taken over but
// not claimed yet.
func (s *Service) announceTakenOver() {
	if s.cfg.AnnounceTakenOver == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var hashes []uint64
	for id, r := range s.running {
		if r.unclaimed {
			hashes = append(hashes, jobHash(id))
		}
	}
	s.cfg.AnnounceTakenOver(hashes)
}

// keepHandover caches the state of a job that was taken over but could not be
// claimed at the version handed over, in case this process claims it later. The
// caller holds s.mu.
func (s *Service) keepHandover(r *runningJob) {
	if r.unclaimed {
		s.handovers.Add(r.job.ID, r.buildHandover())
	}
}
