package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Suspects tells which requests were in progress at upstream crashes.
type Suspects interface {
	Status(fingerprint uint64, now time.Time) poison.Status
}

// RunnerConfig is what a Runner works with.
type RunnerConfig struct {
	Platform    storage.Platform
	Links       link.Runner
	Port        link.BatchCoordinator
	Contract    *contract.Holder
	Suspects    Suspects
	InstanceID  string
	Rank        func() (rank, entries int) // of this entry among all entries
	MemoryBytes int64                      // bound of items and results held
	Log         zerolog.Logger
}

// Intervals of the runner's loops; each is shortened by up to a fifth at random.
const (
	holdInterval  = 2 * time.Second  // index reads while chunks are held
	idleInterval  = 5 * time.Second  // index reads otherwise
	claimInterval = 1 * time.Second  // looks for chunks when nothing wakes the loop
	watchInterval = 30 * time.Second // looks of a watcher at its jobs
	otherInterval = 2 * time.Minute  // looks of other entries at an exhausted job
)

// maxWriters bounds the concurrent commits of one entry.
const maxWriters = 8

// Runner executes batch items of chunks that it holds under leases. Loops share
// the state below mu; mu is never held during calls to platform, links or port.
type Runner struct {
	cfg     RunnerConfig
	store   *Store
	index   *IndexReader
	watch   *ExpiryTracker // of the claim loop
	writers chan struct{}
	wake    chan struct{} // claim loop
	demand  chan struct{} // demand loop
	look    chan struct{} // index loop
	items   sync.WaitGroup

	mu        sync.Mutex
	jobs      map[string]*jobState
	ended     map[string]bool  // cancelled by notice, still in the index
	held      map[string]*held // by key of the chunk's row
	running   map[string]int   // items in progress per service
	announced map[string]link.Demand
	used      int64 // bytes of held items
	failing   bool  // the last write failed for an outage
	draining  bool
	claiming  chan struct{}   // held while a chunk is claimed and loaded
	base      context.Context // of items; ends with Run
}

// jobState is what the claim loop knows of a running job.
type jobState struct {
	RunningJob
	row       *Job
	file      *File
	free      []Chunk // candidates of the last scan
	scanned   time.Time
	position  int // chunk at which the next scan starts
	started   bool
	exhausted bool
	lookAt    time.Time // when an exhausted or failing job is looked at again
	watchAt   time.Time // when a watcher looks at the job again
}

// NewRunner returns a runner; Run starts it.
func NewRunner(cfg RunnerConfig) *Runner {
	return &Runner{
		cfg: cfg, store: NewStore(cfg.Platform), index: NewIndexReader(cfg.Platform), watch: NewExpiryTracker(),
		writers: make(chan struct{}, maxWriters), wake: make(chan struct{}, 1), demand: make(chan struct{}, 1),
		look: make(chan struct{}, 1), jobs: make(map[string]*jobState), ended: make(map[string]bool), held: make(map[string]*held),
		running: make(map[string]int), announced: make(map[string]link.Demand),
		base: context.Background(), claiming: make(chan struct{}, 1),
	}
}

// Run works until the context ends. Call Drain first for a graceful end;
// otherwise the claims expire.
func (r *Runner) Run(ctx context.Context) error {
	r.mu.Lock()
	r.base = ctx
	r.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){
		r.indexLoop, r.claimLoop, r.grantLoop, r.renewLoop, r.cancelLoop, r.demandLoop,
	} {
		group.Go(func() error {
			loop(ctx)
			return ctx.Err()
		})
	}
	err := group.Wait()
	r.items.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// pause sleeps for the interval less up to a fifth, and reports false at the end
// of the context.
func pause(ctx context.Context, interval time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(interval - rand.N(interval/5+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-wake:
	}
	return ctx.Err() == nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is pending
	}
}

// indexLoop follows the index of running jobs. A job that leaves it has ended,
// so one scan covers all jobs held.
func (r *Runner) indexLoop(ctx context.Context) {
	for {
		list, err := r.index.Refresh(ctx)
		if err == nil {
			r.applyIndex(list)
			signal(r.wake)
		} else if ctx.Err() == nil {
			r.cfg.Log.Warn().Err(err).Msg("reading the index of running jobs failed")
		}
		interval := idleInterval
		if r.holds() {
			interval = holdInterval
		}
		if !pause(ctx, interval, r.look) {
			return
		}
	}
}

// RefreshIndex reads the index of running jobs soon, so that a job accepted by
// this entry does not wait for the next periodic read.
func (r *Runner) RefreshIndex() { signal(r.look) }

func (r *Runner) holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held) > 0
}

func (r *Runner) applyIndex(list []RunningJob) {
	listed := make(map[string]bool, len(list))
	for _, j := range list {
		listed[j.ID] = true
	}
	r.mu.Lock()
	for _, j := range list {
		if r.jobs[j.ID] == nil && !r.ended[j.ID] {
			r.jobs[j.ID] = &jobState{RunningJob: j}
		}
	}
	for id := range r.ended {
		if !listed[id] {
			delete(r.ended, id)
		}
	}
	var gone []string
	for id := range r.jobs {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	r.mu.Unlock()
	for _, id := range gone {
		r.endJob(id)
	}
}

// endJob stops all work for a job at once.
func (r *Runner) endJob(id string) {
	r.mu.Lock()
	delete(r.jobs, id)
	for _, h := range r.held {
		if h.job.ID == id {
			r.drop(h)
		}
	}
	r.mu.Unlock()
	signal(r.demand)
	signal(r.wake)
}

// cancelLoop acts on notices of cancelled jobs.
func (r *Runner) cancelLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id, ok := <-r.cfg.Port.Cancelled():
			if !ok {
				return
			}
			r.mu.Lock()
			if r.jobs[id] != nil {
				r.ended[id] = true
			}
			r.mu.Unlock()
			r.endJob(id)
		}
	}
}

// demandLoop announces the ready items of each service after changes.
func (r *Runner) demandLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.demand:
			for service, d := range r.changedDemand() {
				r.cfg.Port.SetDemand(service, d)
			}
		}
	}
}

func (r *Runner) changedDemand() map[string]link.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := make(map[string]link.Demand)
	for _, h := range r.held {
		if h.ready == 0 || r.draining {
			continue
		}
		d := now[h.service]
		d.Items += h.ready
		if due := h.job.Deadline; d.EarliestDue.IsZero() || due.Before(d.EarliestDue) {
			d.EarliestDue = due
		}
		now[h.service] = d
	}
	changed := make(map[string]link.Demand)
	for service, d := range now {
		if r.announced[service] != d {
			changed[service] = d
		}
	}
	for service, d := range r.announced {
		if _, ok := now[service]; !ok && d != (link.Demand{}) {
			changed[service] = link.Demand{}
		}
	}
	for service, d := range changed {
		r.announced[service] = d
	}
	return changed
}

// grantLoop starts items for the agents' grants. What a grant allows beyond the
// ready items lapses; the next demand brings another one.
func (r *Runner) grantLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case g, ok := <-r.cfg.Port.Grants():
			if !ok {
				return
			}
			r.useGrant(g)
		}
	}
}

func (r *Runner) useGrant(g link.Grant) {
	for range g.Items {
		now := time.Now()
		if !now.Before(g.Until) {
			break
		}
		h, it, ctx := r.take(g.Service, now)
		if it == nil {
			break
		}
		go func() {
			defer r.items.Done()
			r.execute(ctx, h, it, g.AgentID)
		}()
	}
	signal(r.demand)
	signal(r.wake)
}
