package batch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/metric"
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

// errStaleHandover rejects the handover of a job whose row another owner has changed.
var errStaleHandover = errors.New("the job has changed since the state offered")

// handover is a running job with the progress of its items. A gateway that shuts
// down sends it to a peer as JSON, with the Go field names as keys. The peer runs
// the items immediately, even while the store is unavailable, and becomes the
// job's owner once it can write the job's row.
type handover struct {
	Row        jobrow.Row
	Submission *Submission
	Items      []keptItem // items without a result that the row lists
	// ConfigurationVersion is the newest version under which the sender has run the job; 0
	// from earlier builds.
	ConfigurationVersion uint64 `json:",omitempty"`
}

// keptItem is the state of one item. Its JSON keys are the Go field names. It is valid
// whatever the row of its job lists.
type keptItem struct {
	Index    int
	Progress progress
	Output   []byte // output of the progress or, for a finished item, of the result
	Failures int
	Finished bool
	Result   Result // result of a finished item, without its output
}

// keepItems returns the state of the items without a listed result. The caller holds
// Service.mu.
func (r *runningJob) keepItems() []keptItem {
	var list []keptItem
	for i := range r.items {
		ri := &r.items[i]
		if ri.state == itemListed {
			continue
		}
		item := keptItem{Index: i, Failures: ri.failures}
		if ri.state == itemFinished {
			item.Finished, item.Result, item.Output = true, ri.result, []byte(ri.result.Output)
			item.Result.Output = ""
		} else {
			item.Progress, _ = ri.snapshot()
			item.Output = item.Progress.Output
		}
		list = append(list, item)
	}
	return list
}

// restoreItems restores the progress and the results of items that are neither
// finished nor listed.
func (r *runningJob) restoreItems(list []keptItem) {
	for _, item := range list {
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
		ri.reset(len(item.Output))
		ri.state, ri.result = itemFinished, item.Result
		ri.result.Output = string(item.Output)
		r.finished = append(r.finished, item.Index)
	}
}

// newTakenJob returns the running job of a handover. Its items are listed unless the
// handover has them.
func newTakenJob(h *handover) (*runningJob, error) {
	if h.Submission == nil || h.Row.Version() == 0 {
		return nil, trace.BadParameter("handover is incomplete")
	}
	job := h.Row.Job()
	if h.Submission.Organisation != job.Organisation {
		return nil, trace.BadParameter("handover of job %q has the items of another organisation", job.ID)
	}
	if h.Submission.ID != job.ID || len(h.Submission.Items) != job.Total || len(h.Items) != job.Total-job.Listed {
		return nil, trace.BadParameter("handover of job %q has %d of %d items", job.ID, len(h.Items), job.Total-job.Listed)
	}
	r := newRunningJob(h.Row, h.Submission)
	r.configuration = max(r.configuration, h.ConfigurationVersion)
	for i := range r.items {
		r.items[i].state = itemListed
	}
	for _, item := range h.Items {
		if item.Index < 0 || item.Index >= len(r.items) || r.items[item.Index].state == itemWaiting {
			r.cancel()
			return nil, trace.BadParameter("handover of job %q names item %d twice or in vain", job.ID, item.Index)
		}
		r.items[item.Index].state = itemWaiting
	}
	r.restoreItems(h.Items)
	return r, nil
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
	defer r.lockCommits()() // no commit may list items that the handover has
	s.mu.Lock()
	job := r.row.Job()
	if r.dropped || job.Closed() {
		s.mu.Unlock()
		return false
	}
	data, err := encodeUnescaped(&handover{Row: r.row, Submission: r.submission, Items: r.keepItems(), ConfigurationVersion: r.configuration})
	id, version, left := job.ID, r.row.Version(), job.Total-job.Listed
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
	r, err := newTakenJob(&h)
	if err != nil {
		return err
	}
	job, finished := h.Row.Job(), len(r.finished) // its items may run once it is admitted
	offer, err := s.admitHandover(r)
	metric.HandoverOffered(offer.String())
	log := s.cfg.Log.Info().Err(err).Str("job", job.ID).Str("owner", job.Owner).Uint64("row", h.Row.Version()).Int("listed", job.Listed).
		Int("total", job.Total).Int("finished", finished).Str("offer", offer.String())
	if err != nil {
		r.cancel()
		log.Msg("handover rejected")
		return err
	}
	if offer == jobrow.Repeat {
		r.cancel()
		return nil
	}
	h.Submission.Account(s.cfg.Bodies)
	s.submissions.Add(objectKey(job.Organisation, job.ID), h.Submission)
	log.Msg("job taken over")
	s.announceTakenOver()
	go s.commitFinished(r) // the first commit makes this process the owner
	s.wakeScheduler()
	return nil
}

// admitHandover decides on the offer of a job and, if it accepts, adds the job to the
// running jobs.
func (s *Service) admitHandover(r *runningJob) (jobrow.Offer, error) {
	id := r.submission.ID
	known, _ := s.mirror.get(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return jobrow.Stale, errShuttingDown
	}
	var running jobrow.Row
	old := s.running[id]
	if old != nil {
		running = old.row
	}
	offer := jobrow.DecideOffer(r.row, known.Row, running)
	switch offer {
	case jobrow.Stale:
		return offer, errStaleHandover
	case jobrow.Repeat:
		return offer, nil
	case jobrow.Replace:
		old.dropped = true
		old.cancel()
		go old.releaseMemory()
	}
	r.committing = true
	s.addRunning(r)
	return offer, nil
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
		if !s.owns(r.row.Job()) {
			hashes = append(hashes, jobHash(id))
		}
	}
	s.cfg.AnnounceTakenOver(hashes)
}

// keepTaken caches the items of a job that was taken over but not claimed, in case
// this process claims it later. The caller holds s.mu.
func (s *Service) keepTaken(r *runningJob) {
	if job := r.row.Job(); job.Owner != "" && !s.owns(job) {
		s.kept.Add(job.ID, r.keepItems())
	}
}
