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
	// handoverTries is the number of peers that a job is offered to at shutdown.
	handoverTries = 2
	// handoverTimeout bounds one offer: about 400 KB to a peer, which keeps it in memory.
	handoverTimeout = 700 * time.Millisecond
)

// errStopping: this process shuts down itself.
var errStopping = errors.New("the gateway shuts down")

// handover is a running job with all that its items have had, as JSON for the
// gateway that runs it from now on. That gateway runs the items at once, also
// while the store is away, and becomes the owner when it can write the job's row.
type handover struct {
	Job        Job
	Version    uint64 // of the job's row
	Submission *Submission
	Items      []handedItem // those not listed
}

// handedItem is one item of a handover.
type handedItem struct {
	Index    int
	Progress progress
	Output   []byte // of the progress, or of the result
	Failures int
	Finished bool
	Result   Result // of a finished item, without its output
}

// handover describes a job whose items are stopped. The caller holds the lock.
func (r *running) handover() *handover {
	h := &handover{Job: r.job, Version: r.version, Submission: r.submission}
	for i := range r.items {
		w := &r.items[i]
		if w.state == itemListed {
			continue
		}
		item := handedItem{Index: i, Failures: w.failures}
		if w.state == itemFinished {
			item.Finished, item.Result, item.Output = true, w.result, []byte(w.result.Output)
			item.Result.Output = ""
		} else {
			item.Progress, _ = w.snapshot()
			item.Output = item.Progress.Output
		}
		h.Items = append(h.Items, item)
	}
	return h
}

// apply puts what was handed over into the items that are not listed.
func (h *handover) apply(r *running) {
	for _, item := range h.Items {
		if item.Index < 0 || item.Index >= len(r.items) || r.items[item.Index].state >= itemFinished {
			continue
		}
		w := &r.items[item.Index]
		w.failures = max(w.failures, item.Failures)
		if !item.Finished {
			p := item.Progress
			p.Output = item.Output
			w.take(p, 0)
			continue
		}
		w.clear()
		w.state, w.result = itemFinished, item.Result
		w.result.Output = string(item.Output)
		r.finished = append(r.finished, item.Index)
	}
}

// successors returns the peers that a job is offered to, in its own order.
func successors(job string, members []peer.MemberStatus, now time.Time) []peer.MemberStatus {
	var list []peer.MemberStatus
	for _, m := range members {
		if now.Sub(m.LastHeard) < ownerSilence && !m.Leaving {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b peer.MemberStatus) int { return cmp.Compare(weight(job, b.Name), weight(job, a.Name)) })
	return list[:min(len(list), handoverTries)]
}

// handOver gives a job whose items are stopped to a peer. It reports whether
// one has taken it.
func (s *Service) handOver(r *running) bool {
	if s.cfg.HandOver == nil {
		return false
	}
	r.commits.Lock() // the row's version is known between commits
	defer r.commits.Unlock()
	s.mu.Lock()
	if r.dropped || r.job.closed() {
		s.mu.Unlock()
		return false
	}
	data, err := json.Marshal(r.handover())
	id, version, left := r.job.ID, r.version, r.job.Total-r.job.Listed
	s.mu.Unlock()
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("job", id).Msg("job not encoded for a peer")
		return false
	}
	for _, to := range successors(id, s.cfg.Members(), time.Now()) {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		err := s.cfg.HandOver(ctx, to.Address, data)
		cancel()
		s.cfg.Log.Info().Err(err).Str("job", id).Str("to", to.Name).Uint64("row", version).Int("left", left).
			Int("bytes", len(data)).Bool("taken", err == nil).Msg("job handed over at shutdown")
		if err == nil {
			s.drop(id, "handed_over")
			return true
		}
	}
	return false
}

// TakeOver runs a job that its owner, which shuts down, hands over.
func (s *Service) TakeOver(data []byte) error {
	var h handover
	if err := json.Unmarshal(data, &h); err != nil {
		return trace.Wrap(err, "handed job")
	}
	if h.Submission == nil || h.Submission.ID != h.Job.ID || len(h.Submission.Items) != h.Job.Total || h.Version == 0 {
		return trace.BadParameter("handed job %q lacks a part", h.Job.ID)
	}
	r := newRunning(h.Job, h.Version, h.Submission)
	handed := make(map[int]bool, len(h.Items))
	for _, item := range h.Items {
		handed[item.Index] = true
	}
	for i := range r.items {
		if !handed[i] {
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
		return errStopping
	}
	if s.running[h.Job.ID] != nil {
		s.mu.Unlock()
		r.cancel()
		return nil // an offer that is repeated
	}
	s.running[h.Job.ID] = r
	s.mu.Unlock()
	s.submissions.Add(h.Job.ID, h.Submission)
	s.cfg.Log.Info().Str("job", h.Job.ID).Str("owner", h.Job.Owner).Uint64("row", h.Version).Int("listed", h.Job.Listed).
		Int("total", h.Job.Total).Int("finished", finished).Msg("job taken over")
	s.announce()
	go s.commitFinished(r) // its first commit makes this process the owner
	s.signal()
	return nil
}

// announce tells the peers which jobs are taken over and not claimed yet.
func (s *Service) announce() {
	if s.cfg.AnnounceTakenOver == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobs []uint64
	for id, r := range s.running {
		if r.unclaimed {
			jobs = append(jobs, jobMark(id))
		}
	}
	s.cfg.AnnounceTakenOver(jobs)
}

// remember keeps what is known of a job that was taken over and could not be
// claimed at the version handed over, in case that this process claims it later.
// The caller holds the lock.
func (s *Service) remember(r *running) {
	if r.unclaimed {
		s.handed.Add(r.job.ID, r.handover())
	}
}
