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
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/storage"
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Platform    storage.Platform
	Links       link.Runner
	Port        link.BatchCoordinator
	Contract    *contract.Holder
	InstanceID  string
	Rank        func() (rank, entries int) // of this entry among all entries
	MemoryBytes int64                      // memory limit for held items and results
	Answers     *memory.Budget             // for long answers in progress; nil for no limit
	Log         zerolog.Logger
}

// Intervals of the runner's loops; each wait is randomly shortened by up to a fifth.
const (
	activeIndexInterval = 2 * time.Second  // between index reads while chunks are held
	idleIndexInterval   = 5 * time.Second  // between index reads otherwise
	claimInterval       = 1 * time.Second  // between claim attempts when nothing wakes the loop
	watchInterval       = 30 * time.Second // between a watcher's checks of a job
	nonWatcherInterval  = 2 * time.Minute  // until a non-watcher checks an exhausted job again
)

// maxConcurrentCommits is the maximum number of concurrent commits of one entry.
const maxConcurrentCommits = 8

// Runner executes the batch items of chunks that it holds under leases. mu guards
// the fields below it; it is never held during calls to the platform, links or port.
type Runner struct {
	cfg         RunnerConfig
	store       *Store
	index       *IndexReader
	expiry      *ExpiryTracker // used by the claim loop only
	commitSlots chan struct{}
	wakeClaim   chan struct{} // wakes the claim loop
	wakeDemand  chan struct{} // wakes the demand loop
	wakeIndex   chan struct{} // wakes the index loop
	tasks       sync.WaitGroup

	mu        sync.Mutex
	jobs      map[string]*jobState
	cancelled map[string]bool       // jobs known to be cancelled but still in the index
	held      map[string]*heldChunk // by the key of the chunk's row
	running   map[string]int        // items in progress per service
	announced map[string]link.Demand
	usedBytes int64 // bytes of held items
	outage    bool  // the last write failed because the platform was unavailable
	draining  bool
	claimLock chan struct{}   // semaphore held while a chunk is claimed and loaded
	itemsCtx  context.Context // parent context of items; ends with Run
}

// jobState is the claim loop's state of a running job.
type jobState struct {
	RunningJob
	row          *Job
	file         *File
	freeChunks   []Chunk // found by the last scan and not yet tried
	scannedAt    time.Time
	scanPosition int // chunk at which the next scan starts
	scanStarted  bool
	exhausted    bool
	retryAt      time.Time // when an exhausted or failing job is tried again
	nextWatch    time.Time // when a watcher checks the job again
}

// NewRunner returns a runner. Call Run to start it.
func NewRunner(cfg RunnerConfig) *Runner {
	return &Runner{
		cfg: cfg, store: NewStore(cfg.Platform), index: NewIndexReader(cfg.Platform), expiry: NewExpiryTracker(),
		commitSlots: make(chan struct{}, maxConcurrentCommits), wakeClaim: make(chan struct{}, 1), wakeDemand: make(chan struct{}, 1),
		wakeIndex: make(chan struct{}, 1), jobs: make(map[string]*jobState), cancelled: make(map[string]bool), held: make(map[string]*heldChunk),
		running: make(map[string]int), announced: make(map[string]link.Demand),
		itemsCtx: context.Background(), claimLock: make(chan struct{}, 1),
	}
}

// Run runs until the context ends. Call Drain first for a graceful shutdown;
// otherwise the claims are left to expire.
func (r *Runner) Run(ctx context.Context) error {
	r.mu.Lock()
	r.itemsCtx = ctx
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
	r.tasks.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// waitJittered waits for the interval, shortened by up to a fifth at random, or for
// a wake signal. It returns false if the context has ended.
func waitJittered(ctx context.Context, interval time.Duration, wake <-chan struct{}) bool {
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
	default: // a signal is already pending
	}
}

// indexLoop polls the index of running jobs. A job no longer in it has ended, so
// one scan detects the end of any held job.
func (r *Runner) indexLoop(ctx context.Context) {
	for {
		list, err := r.index.Refresh(ctx)
		if err == nil {
			r.applyIndex(list)
			signal(r.wakeClaim)
		} else if ctx.Err() == nil {
			r.cfg.Log.Warn().Err(err).Msg("failed to read the index of running jobs")
		}
		interval := idleIndexInterval
		if r.holdsChunks() {
			interval = activeIndexInterval
		}
		if !waitJittered(ctx, interval, r.wakeIndex) {
			return
		}
	}
}

// RefreshIndex triggers a read of the index of running jobs, so that a job accepted
// by this entry does not wait for the next periodic read.
func (r *Runner) RefreshIndex() { signal(r.wakeIndex) }

// holdsChunks reports whether this process holds any chunk. While it does, the index
// is read more often.
func (r *Runner) holdsChunks() bool {
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
		if r.jobs[j.ID] == nil && !r.cancelled[j.ID] {
			r.jobs[j.ID] = &jobState{RunningJob: j}
		}
	}
	for id := range r.cancelled {
		if !listed[id] {
			delete(r.cancelled, id)
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

// endJob immediately stops all work on a job.
func (r *Runner) endJob(id string) {
	r.mu.Lock()
	delete(r.jobs, id)
	for _, h := range r.held {
		if h.job.ID == id {
			r.dropChunkLocked(h)
		}
	}
	r.mu.Unlock()
	signal(r.wakeDemand)
	signal(r.wakeClaim)
}

// cancelLoop handles notifications of cancelled jobs.
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
				r.cancelled[id] = true
			}
			r.mu.Unlock()
			r.endJob(id)
		}
	}
}

// demandLoop reports changes of the number of ready items of each service.
func (r *Runner) demandLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeDemand:
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

// grantLoop starts items on the agents' grants. The unused part of a grant lapses;
// the next reported demand leads to a new one.
func (r *Runner) grantLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case g, ok := <-r.cfg.Port.Grants():
			if !ok {
				return
			}
			r.startGranted(g)
		}
	}
}

func (r *Runner) startGranted(g link.Grant) {
	for range g.Items {
		now := time.Now()
		if !now.Before(g.Until) {
			break
		}
		h, it, ctx := r.takeItem(g.Service, now)
		if it == nil {
			break
		}
		go func() {
			defer r.tasks.Done()
			r.execute(ctx, h, it, g.AgentID)
		}()
	}
	signal(r.wakeDemand)
	signal(r.wakeClaim)
}
