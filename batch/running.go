package batch

import (
	"context"
	"sync"
	"time"
)

type itemState uint8

const (
	itemWaiting itemState = iota
	itemActive
	itemFinished // the result is not in the store yet
	itemListed
)

// work is one item of a running job.
type work struct {
	guardedProgress
	index     int
	state     itemState
	failures  int // attempts that the engine answered as failed
	broken    int // attempts in a row that broke off without an event
	notBefore time.Time
	attempted time.Time // start of the last attempt
	result    Result
}

// running is a job that this process owns. Its fields are guarded by
// Service.mu, except the submission, which never changes.
type running struct {
	job        Job
	version    uint64
	submission *Submission
	items      []work
	finished   []int // indexes in the order of finishing, not yet listed
	committing bool
	dropped    bool
	unclaimed  bool       // taken over, and the row does not name this process yet
	commits    sync.Mutex // held during a commit with its reading back; taken before Service.mu
	ctx        context.Context
	cancel     context.CancelFunc
	active     sync.WaitGroup
}

// adopt starts to run a job that this process owns. With began set an earlier
// owner may have worked on it.
func (s *Service) adopt(id string, began bool) {
	s.mu.Lock()
	_, runs := s.running[id]
	if runs || s.loading[id] || s.stopping {
		stopping := s.stopping && !runs
		s.mu.Unlock()
		if stopping {
			s.giveBack(id)
		}
		return
	}
	s.loading[id] = true
	s.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		defer cancel()
		err := s.load(ctx, id, began)
		s.mu.Lock()
		delete(s.loading, id)
		s.mu.Unlock()
		if err != nil {
			s.cfg.Log.Warn().Err(err).Str("job", id).Msg("job not loaded; tried again")
			return
		}
		s.signal()
	}()
}

// load reads the items and the listed results of a job and puts it in the schedule.
func (s *Service) load(ctx context.Context, id string, began bool) error {
	e, known := s.mirror.get(id)
	if !known || e.closed() || !s.owns(&e.Job) {
		return nil
	}
	submission, err := s.submission(ctx, id)
	if err != nil {
		return err
	}
	listed := make(map[string]bool)
	for at := 0; at < e.Listed; {
		results, err := s.read(ctx, id, at, e.Listed)
		if err != nil {
			return err
		}
		for _, r := range results {
			listed[r.Item] = true
		}
		at += len(results)
	}
	r := newRunning(e.Job, e.version, submission)
	for i := range r.items {
		if listed[submission.Items[i].ID] {
			r.items[i].state = itemListed
		}
	}
	if began {
		if err := s.loadProgress(ctx, r); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] != nil || s.stopping {
		return nil
	}
	if handed, held := s.handed.Get(id); held {
		handed.apply(r)
		s.handed.Remove(id)
	}
	s.running[id] = r
	if len(r.finished) > 0 {
		r.committing = true
		go s.commitFinished(r)
	}
	return nil
}

func newRunning(job Job, version uint64, submission *Submission) *running {
	r := &running{job: job, version: version, submission: submission, items: make([]work, len(submission.Items))}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for i := range r.items {
		r.items[i].index = i
		r.items[i].failures = job.Failures[i]
	}
	return r
}

// drop stops running a job.
func (s *Service) drop(id, reason string) {
	s.mu.Lock()
	r := s.running[id]
	delete(s.running, id)
	var version uint64
	unclaimed := false
	if r != nil {
		r.dropped = true
		version, unclaimed = r.version, r.unclaimed
		s.remember(r)
	}
	s.mu.Unlock()
	if r != nil {
		r.cancel()
		if unclaimed {
			s.announce()
		}
		s.cfg.Log.Info().Str("job", id).Str("reason", reason).Uint64("row", version).Msg("job dropped")
	}
}

// signal tells the scheduler that items may have become startable.
func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
