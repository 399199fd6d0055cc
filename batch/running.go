package batch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
)

type itemState uint8

const (
	itemWaiting itemState = iota
	itemActive
	itemFinished // the result is not stored yet
	itemListed   // the result is stored
)

// runningItem is one item of a running job.
type runningItem struct {
	itemProgress
	index       int
	state       itemState
	service     string // of the attempt in progress
	failures    int    // attempts that the engine answered with a failure
	brokenInRow int    // consecutive attempts that broke without a new event
	notBefore   time.Time
	result      Result
}

// setListed records that the item's result is stored. The caller holds Service.mu.
func (ri *runningItem) setListed() {
	ri.state, ri.result = itemListed, Result{}
	ri.reset(0)
}

// runningJob is a job that this process runs. Its fields are guarded by
// Service.mu, except the submission, which never changes.
type runningJob struct {
	row        jobrow.Row // latest known row; the items are listed that it lists
	submission *Submission
	// configuration is the newest version of the configuration under which the job was
	// accepted or run. No older one decides on it.
	configuration       uint64
	awaitsConfiguration bool // the one in force is older
	items               []runningItem
	finished            []int // indexes of finished items that are not listed yet, in order of completion
	committing          bool
	dropped             bool
	commits             *semaphore.Weighted // of one; held during a commit and its reconciliation, acquired before Service.mu
	ctx                 context.Context
	cancel              context.CancelFunc
	activeItems         sync.WaitGroup
}

// startJob loads and runs a job that this process owns, in the background. If
// resumed is set, an earlier owner may have saved progress.
func (s *Service) startJob(id string, resumed bool) {
	s.mu.Lock()
	_, runs := s.running[id]
	if runs || s.loading[id] || s.stopping {
		stopping := s.stopping && !runs
		s.mu.Unlock()
		if stopping {
			s.clearOwner(id)
		}
		return
	}
	s.loading[id] = true
	s.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		defer cancel()
		err := s.loadJob(ctx, id, resumed)
		s.mu.Lock()
		delete(s.loading, id)
		s.mu.Unlock()
		if err != nil {
			s.cfg.Log.Warn().Err(err).Str("job", id).Msg("failed to load job; retrying")
			return
		}
		s.wakeScheduler()
	}()
}

// loadJob reads the items and the listed results of a job and adds it to the
// running jobs.
func (s *Service) loadJob(ctx context.Context, id string, resumed bool) error {
	e, known := s.mirror.get(id)
	job := e.Job()
	if !known || job.Closed() || !s.owns(job) {
		return nil
	}
	submission, err := s.loadSubmission(ctx, job)
	if err != nil {
		return err
	}
	listed := make(map[string]bool)
	if err := s.collectListed(ctx, job, 0, listed); err != nil {
		return err
	}
	r := newRunningJob(e.Row, submission)
	for i := range r.items {
		if listed[submission.Items[i].ID] {
			r.items[i].state = itemListed
		}
	}
	if resumed {
		if err := s.loadProgress(ctx, r); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] != nil || s.stopping {
		return nil
	}
	if kept, ok := s.kept.Get(id); ok {
		r.restoreItems(kept)
		s.kept.Remove(id)
	}
	s.addRunning(r)
	if len(r.finished) > 0 {
		r.committing = true
		go s.commitFinished(r)
	}
	return nil
}

func newRunningJob(row jobrow.Row, submission *Submission) *runningJob {
	r := &runningJob{row: row, submission: submission, items: make([]runningItem, len(submission.Items)),
		commits: semaphore.NewWeighted(1)}
	failures := row.Job().Failures
	r.configuration = row.Job().ConfigurationVersion
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for i := range r.items {
		r.items[i].index = i
		r.items[i].failures = failures[i]
	}
	return r
}

// addRunning adds a job to the running ones. The caller holds s.mu.
func (s *Service) addRunning(r *runningJob) {
	for i := range r.items {
		r.items[i].account(s.cfg.Memory.Share())
	}
	s.running[r.submission.ID] = r
}

// releaseMemory gives the memory of a job that was dropped back once its items have
// stopped.
func (r *runningJob) releaseMemory() {
	r.activeItems.Wait()
	for i := range r.items {
		r.items[i].reset(0)
	}
}

// dropJob stops running a job. The reason is logged.
func (s *Service) dropJob(id, reason string) {
	s.mu.Lock()
	r := s.running[id]
	delete(s.running, id)
	var version uint64
	unclaimed := false
	if r != nil {
		r.dropped = true
		version, unclaimed = r.row.Version(), !s.owns(r.row.Job())
		s.keepTaken(r)
	}
	s.mu.Unlock()
	if r != nil {
		r.cancel()
		go r.releaseMemory()
		if unclaimed {
			s.announceTakenOver()
		}
		s.cfg.Log.Info().Str("job", id).Str("reason", reason).Uint64("row", version).Msg("job dropped")
	}
}

// wakeScheduler signals the scheduler that items may be ready to start.
func (s *Service) wakeScheduler() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// lockCommits waits until no other commit of the job is in progress, and returns the
// function that lets the next one begin.
func (r *runningJob) lockCommits() (unlock func()) {
	if err := r.commits.Acquire(context.Background(), 1); err != nil {
		panic(err) // unreachable: the context never ends
	}
	return func() { r.commits.Release(1) }
}
