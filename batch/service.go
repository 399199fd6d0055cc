package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/forward"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/peer"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// submitTimeout bounds a submission; clients wait 4 s.
	submitTimeout = 3 * time.Second
	// callTimeout bounds reads and ends.
	callTimeout = 3 * time.Second
	// awayTimeout bounds a call while the store seems to be away. The store answers
	// within 50 ms, and within 300 ms when it is slow.
	awayTimeout = 400 * time.Millisecond
	// feedInterval merges the changes of jobs, which all gateways read. With more
	// than feedGateways of them it grows to feedIntervalMax, so that 330 gateways
	// take a quarter of the store's 2,000 reads a second. A result that one gateway
	// has shown must be shown by all within a second.
	feedInterval    = 300 * time.Millisecond
	feedIntervalMax = 600 * time.Millisecond
	feedGateways    = 64
	// cachedSubmissions and cachedResults bound copies in memory, of about 150 KB
	// and 16 KB each.
	cachedSubmissions = 24
	cachedResults     = 512
	// quotaRetry is when a client may find room after about one more item per
	// slot has finished.
	quotaRetry = time.Second
)

// storeBackoff paces calls that the store refused.
var storeBackoff = storage.Backoff{Base: 40 * time.Millisecond, Max: 500 * time.Millisecond}

// Config of a Service.
type Config struct {
	Self       peer.Member
	Table      storage.Table
	Feed       storage.Feed
	Objects    storage.Objects
	Holder     *fleet.Holder
	Dispatcher *dispatch.Dispatcher
	Upstreams  forward.Upstreams
	Suspects   forward.CrashTracker
	Members    func() []peer.MemberStatus
	// HandOver gives a job to the peer at an address; nil if there are no peers.
	HandOver func(ctx context.Context, address string, job []byte) error
	// AnnounceTakenOver tells the peers which jobs this process has taken over and not
	// claimed yet; nil if there are none.
	AnnounceTakenOver func(jobs []uint64)
	JobRetention      time.Duration // how long a closed job stays readable after its creation
	Log               zerolog.Logger
}

// Service is safe for concurrent use. Lock order: Service.mu before mirror.mu.
type Service struct {
	cfg         Config
	mirror      *mirror
	submissions *lru.Cache[string, *Submission]
	results     *lru.Cache[resultID, Result]
	handed      *lru.Cache[string, *handover] // taken over, and not claimed as handed over

	mu       sync.Mutex
	running  map[string]*running
	claiming map[string]bool // by job id
	loading  map[string]bool // by job id
	stopping bool
	pace     pace
	wake     chan struct{} // buffered; items may be startable
}

type resultID struct {
	job      string
	position int
}

// New returns a service; Run starts it.
func New(cfg Config) (*Service, error) {
	submissions, err := lru.New[string, *Submission](cachedSubmissions)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	results, err := lru.New[resultID, Result](cachedResults)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	handed, err := lru.New[string, *handover](cachedSubmissions)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Service{cfg: cfg, mirror: newMirror(cfg.Log), submissions: submissions, results: results, handed: handed,
		running: make(map[string]*running), claiming: make(map[string]bool), loading: make(map[string]bool),
		pace: pace{event: firstEventTime, events: firstEvents}, wake: make(chan struct{}, 1)}, nil
}

// Run follows the job rows, claims jobs of lost owners and runs items until
// ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		storage.Follow(ctx, storage.Follower{
			Feed: s.cfg.Feed, Prefix: jobPrefix, Log: s.cfg.Log, Interval: s.feedInterval,
			Snapshot: s.mirror.replace, Changes: s.mirror.apply, Fresh: s.mirror.markFresh, Stale: s.mirror.markStale,
		})
		return nil
	})
	group.Go(func() error { return s.superviseJobs(ctx) })
	group.Go(func() error { return s.schedule(ctx) })
	group.Go(func() error { return s.checkpoint(ctx) })
	group.Go(func() error { return s.sweep(ctx) })
	err := group.Wait()
	for _, r := range s.ownJobs() { // without a release before, as when another part of the process has failed
		s.drop(r.submission.ID, "stopped")
		r.active.Wait()
	}
	return err
}

func (s *Service) feedInterval() time.Duration {
	gateways := len(s.cfg.Members()) + 1
	return min(max(feedInterval, feedInterval*time.Duration(gateways)/feedGateways), feedIntervalMax)
}

// Submit accepts a job once, whatever is sent again.
func (s *Service) Submit(ctx context.Context, route *fleet.Route, job *Submission) (SubmitOutcome, error) {
	if _, known := s.mirror.get(job.ID); known {
		return Accepted, nil
	}
	if s.isStopping() {
		return NotAccepted, nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	tokens := job.tokens()
	if s.mirror.current(time.Now()) && !s.fits(route, tokens) {
		return OverQuota, nil
	}
	content, err := json.Marshal(job)
	if err != nil {
		return NotAccepted, trace.Wrap(err)
	}
	if err := s.putObject(ctx, job.ID, content); err != nil {
		return NotAccepted, err // an object without a row is no job
	}
	row := Job{ID: job.ID, Route: route.Name, Owner: s.cfg.Self.Name, OwnerIncarnation: s.cfg.Self.Incarnation,
		Created: time.Now().UnixMilli(), Total: len(job.Items), OpenTokens: tokens, Commit: rand.Uint64()}
	s.submissions.Add(job.ID, job)
	acceptance, err := s.accept(ctx, route, row)
	if acceptance == Accepted {
		s.adopt(row.ID, false)
	}
	return acceptance, err
}

// storeContext bounds one call of the store. While the store seems to be away
// calls are short and begin anew, since one that began during an outage can
// stay without an answer for seconds after it.
func (s *Service) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.mirror.current(time.Now()) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, awayTimeout)
}

// putObject writes a job's object. Without an answer it tries again until ctx
// ends, which changes nothing: the object is the same each time.
func (s *Service) putObject(ctx context.Context, id string, content []byte) error {
	for failures := 0; ; failures++ {
		started := time.Now()
		attempt, cancel := s.storeContext(ctx)
		err := s.cfg.Objects.Put(attempt, objectKey(id), bytes.NewReader(content))
		cancel()
		if err == nil || errors.Is(err, storage.ErrThrottled) || !backOff(ctx, failures, started) {
			return err
		}
	}
}

// backOff waits after a failed call of the store. The time that the call took
// counts, so that one that hung is repeated at once. It returns false when ctx
// ends first.
func backOff(ctx context.Context, failures int, started time.Time) bool {
	return pause.For(ctx, storeBackoff.Delay(failures)-time.Since(started)) && ctx.Err() == nil
}

func (s *Service) fits(route *fleet.Route, tokens int64) bool {
	waiting, _ := s.mirror.quota(route.Name)
	return route.TokenQuota <= 0 || waiting+tokens <= route.TokenQuota
}

// accept writes the job row. The write is conditional on the quota row, which
// each acceptance on the route rewrites, so that the sum of waiting tokens that
// it rests on includes every accepted job.
func (s *Service) accept(ctx context.Context, route *fleet.Route, row Job) (SubmitOutcome, error) {
	uncertain := false
	for failures := 0; ; failures++ {
		if !s.mirror.current(time.Now()) {
			if err := s.refreshUntil(ctx); err != nil {
				return notAccepted(uncertain), err
			}
		}
		if _, known := s.mirror.get(row.ID); known {
			return Accepted, nil
		}
		_, quotaVersion := s.mirror.quota(route.Name)
		if !s.fits(route, row.OpenTokens) {
			if uncertain {
				return Unknown, nil
			}
			return OverQuota, nil
		}
		started := time.Now()
		attempt, cancel := s.storeContext(ctx)
		versions, err := s.cfg.Table.Commit(attempt, storage.Transaction{Writes: []storage.Write{
			{Key: jobKey(row.ID), Value: encodeJob(&row)},
			{Key: quotaKey(route.Name), Value: []byte("{}"), IfVersion: quotaVersion},
		}})
		cancel()
		switch {
		case err == nil:
			s.mirror.writeQuota(route.Name, versions[1])
			s.mirror.write(row, versions[0])
			return Accepted, nil
		case errors.Is(err, storage.ErrConflict):
			if err := s.refreshUntil(ctx); err != nil {
				return notAccepted(uncertain), err
			}
		case errors.Is(err, storage.ErrThrottled):
			if !backOff(ctx, failures, started) {
				return notAccepted(uncertain), err
			}
		default:
			uncertain = true // the write may take effect, even seconds later
			if !backOff(ctx, failures, started) {
				return Unknown, err
			}
			if err := s.refreshUntil(ctx); err != nil {
				return Unknown, err
			}
		}
	}
}

func notAccepted(uncertain bool) SubmitOutcome {
	if uncertain {
		return Unknown
	}
	return NotAccepted
}

func encodeJob(j *Job) []byte {
	value, err := json.Marshal(j)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return value
}

// refreshUntil reads all job rows. Without an answer it tries again until ctx ends.
func (s *Service) refreshUntil(ctx context.Context) error {
	for failures := 0; ; failures++ {
		started := time.Now()
		err := s.refresh(ctx)
		if err == nil || errors.Is(err, storage.ErrThrottled) || !backOff(ctx, failures, started) {
			return err
		}
	}
}

// refresh reads all job rows.
func (s *Service) refresh(ctx context.Context) error {
	ctx, cancel := s.storeContext(ctx)
	defer cancel()
	rows, version, err := s.cfg.Feed.Snapshot(ctx, jobPrefix)
	if err != nil {
		return err
	}
	s.mirror.replace(rows, version)
	return nil
}

// RetryAfter advises a client whose job did not fit.
func (s *Service) RetryAfter() time.Duration {
	return quotaRetry/2 + rand.N(quotaRetry)
}
