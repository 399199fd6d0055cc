package batch

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"time"

	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/forward"
	"github.com/magnoliausher/magnoliausher/intake"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/peer"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// submitTimeout limits a submission; clients wait 4 s.
	submitTimeout = 3 * time.Second
	// callTimeout limits reads, cancellations and commits.
	callTimeout = 3 * time.Second
	// outageCallTimeout limits one call while the store seems unavailable. The store
	// answers within 50 ms, and within 300 ms when it is slow.
	outageCallTimeout = 400 * time.Millisecond
	// feedInterval batches the job changes that every gateway reads. With more than
	// feedIntervalGateways gateways it grows up to feedIntervalMax, so that 330
	// gateways use a quarter of the store's 2,000 reads per second. A result returned
	// by one gateway must be visible on all within a second.
	feedInterval         = 300 * time.Millisecond
	feedIntervalMax      = 600 * time.Millisecond
	feedIntervalGateways = 64
	// cachedSubmissions and cachedResults limit the caches; an entry takes about
	// 150 KB and 16 KB respectively. Longer results than cachedResultBytes are not cached.
	cachedSubmissions     = 24
	cachedSubmissionsSize = 16 << 20 // bytes
	cachedResults         = 512
	cachedResultsSize     = 10 << 20 // bytes
	cachedResultBytes     = 64 << 10
	// quotaRetryDelay is the mean delay before a client retries a job that exceeded
	// its quota. By then, about one more item per slot has finished.
	quotaRetryDelay = time.Second
)

// storeBackoff paces the retries of failed store calls.
var storeBackoff = storage.Backoff{Base: 40 * time.Millisecond, Max: 500 * time.Millisecond}

// Config configures a Service.
type Config struct {
	Self       peer.Member
	Table      storage.Table
	Feed       storage.Feed
	Objects    storage.Objects
	Holder     *fleet.Holder
	Dispatcher *dispatch.Dispatcher
	Upstreams  forward.Upstreams
	Members    func() []peer.MemberStatus
	// HandOver passes a job to the peer at an address; nil if there are no peers.
	HandOver func(ctx context.Context, address string, job []byte) error
	// AnnounceTakenOver tells the peers which jobs this process has taken over but not
	// claimed yet, as hashes of their IDs; nil if there are no peers.
	AnnounceTakenOver func(jobs []uint64)
	Memory            *memory.Budget // for long outputs; nil for no limit
	Results           *memory.Budget // for results and item bodies while callers read them; nil for no limit
	Bodies            *intake.Budget // for the items of jobs in memory; nil for no limit
	JobRetention      time.Duration  // how long a closed job stays readable after its creation
	Log               zerolog.Logger
}

// Service stores and runs batch jobs. It is safe for concurrent use. Lock order:
// Service.mu before mirror.mu.
type Service struct {
	cfg         Config
	mirror      *mirror
	submissions *memory.Cache[string, *Submission] // by objectKey
	reads       singleflight.Group                 // of submissions, by objectKey
	readSlots   *semaphore.Weighted                // of maxSubmissionReads
	resultReads *semaphore.Weighted                // of maxResultReads
	results     *memory.Cache[resultID, Result]
	kept        *lru.Cache[string, []keptItem] // of jobs that were taken over and dropped before they were claimed

	mu       sync.Mutex
	running  map[string]*runningJob
	claiming map[string]bool // by job id
	loading  map[string]bool // by job id
	// submitting holds the submissions in progress, and those with a commit that may still
	// take effect, by objectKey.
	submitting map[string]*submissionState
	stopping   bool
	// withheldSince is since when items of a service have waited without a start, or when
	// that was last logged.
	withheldSince map[string]time.Time
	pace          paceEstimate
	wake          chan struct{} // buffered; signals that items may be ready to start
}

// resultID names the organisation too, since a job's ID may be submitted by another one
// after the job was removed.
type resultID struct {
	organisation, job string
	position          int
}

// New returns a Service. Call Run to start it.
func New(cfg Config) (*Service, error) {
	submissions, err := memory.NewCache[string](cachedSubmissions, cachedSubmissionsSize, (*Submission).Memory)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	results, err := memory.NewCache[resultID](cachedResults, cachedResultsSize, func(r Result) int64 { return int64(len(r.Output)) })
	if err != nil {
		return nil, trace.Wrap(err)
	}
	kept, err := lru.New[string, []keptItem](cachedSubmissions)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Service{cfg: cfg, mirror: newMirror(cfg.Log), submissions: submissions, readSlots: semaphore.NewWeighted(maxSubmissionReads), resultReads: semaphore.NewWeighted(maxResultReads), results: results, kept: kept,
		running: make(map[string]*runningJob), claiming: make(map[string]bool), loading: make(map[string]bool), submitting: make(map[string]*submissionState), withheldSince: make(map[string]time.Time),
		pace: paceEstimate{eventInterval: initialEventInterval, itemEvents: initialItemEvents}, wake: make(chan struct{}, 1)}, nil
}

// FreeMemory drops cached submissions and has their memory collected, so that the budget
// for request bodies gets it back.
func (s *Service) FreeMemory() {
	s.submissions.Purge()
	runtime.GC()
}

// process returns the identity under which this process owns jobs.
func (s *Service) process() jobrow.Process {
	return jobrow.Process{Name: s.cfg.Self.Name, Incarnation: s.cfg.Self.Incarnation}
}

// Run follows the job rows, claims jobs of lost owners, runs items and removes
// expired jobs until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		storage.Follow(ctx, storage.Follower{
			Feed: s.cfg.Feed, Prefix: jobTablePrefix, Log: s.cfg.Log, MinInterval: s.feedInterval,
			OnSnapshot: s.mirror.replaceAll, OnChanges: s.mirror.applyChanges, OnSuccess: s.mirror.markFresh, OnFailure: s.mirror.markStale,
		})
		return nil
	})
	group.Go(func() error { return s.superviseJobs(ctx) })
	group.Go(func() error { return s.runScheduler(ctx) })
	group.Go(func() error { return s.checkpointJobs(ctx) })
	group.Go(func() error { return s.sweep(ctx) })
	err := group.Wait()
	for _, r := range s.runningJobs() { // jobs that were not released, as when another component of the process failed
		s.dropJob(r.submission.ID, "stopped")
		r.activeItems.Wait()
	}
	return err
}

func (s *Service) feedInterval() time.Duration {
	gateways := len(s.cfg.Members()) + 1
	return min(max(feedInterval, feedInterval*time.Duration(gateways)/feedIntervalGateways), feedIntervalMax)
}

// storeContext returns the context for one store call. While the store seems
// unavailable, calls time out early and are retried, since a call that began during
// an outage may stay unanswered for seconds after it.
func (s *Service) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.mirror.isCurrent(time.Now()) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, outageCallTimeout)
}

// backOff waits before a failed store call is retried. The duration of the call
// counts towards the delay, so that a call that hung is retried at once. It returns
// false if ctx ends first.
func backOff(ctx context.Context, failures int, started time.Time) bool {
	return pause.For(ctx, storeBackoff.Delay(failures)-time.Since(started)) && ctx.Err() == nil
}

// refreshMirrorUntil refreshes the mirror. It retries until ctx ends unless the
// store throttles the call.
func (s *Service) refreshMirrorUntil(ctx context.Context) error {
	for failures := 0; ; failures++ {
		started := time.Now()
		err := s.refreshMirror(ctx)
		if err == nil || errors.Is(err, storage.ErrThrottled) || !backOff(ctx, failures, started) {
			return err
		}
	}
}

// refreshMirror replaces the mirror with a snapshot of all job rows.
func (s *Service) refreshMirror(ctx context.Context) error {
	ctx, cancel := s.storeContext(ctx)
	defer cancel()
	rows, version, err := s.cfg.Feed.Snapshot(ctx, jobTablePrefix)
	if err != nil {
		return err
	}
	s.mirror.replaceAll(rows, version)
	return nil
}
