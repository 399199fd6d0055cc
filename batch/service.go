package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
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
	// feedInterval merges the changes of jobs; a result may be listed a second late.
	feedInterval = 120 * time.Millisecond
	// claimInterval is how often jobs of lost owners are looked for.
	claimInterval = 200 * time.Millisecond
	// cachedSubmissions and cachedResults bound copies in memory, of about 150 KB
	// and 16 KB each.
	cachedSubmissions = 24
	cachedResults     = 512
	// pageBytes bounds the output of one answer, whose JSON may have 1 MB.
	pageBytes = 700 << 10
	// pageRows is read from the store for one answer.
	pageRows = 40
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
	Suspects   forward.Suspects
	Members    func() []peer.Seen
	Keep       time.Duration // how long a closed job stays readable after its creation
	Log        zerolog.Logger
}

// Service is safe for concurrent use. Lock order: Service.mu before mirror.mu.
type Service struct {
	cfg         Config
	mirror      *mirror
	submissions *lru.Cache[string, *Submission]
	results     *lru.Cache[resultID, Result]

	mu       sync.Mutex
	running  map[string]*running
	claiming map[string]bool // by job id
	loading  map[string]bool // by job id
	stopping bool
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
	return &Service{cfg: cfg, mirror: newMirror(cfg.Log), submissions: submissions, results: results,
		running: make(map[string]*running), claiming: make(map[string]bool), loading: make(map[string]bool), wake: make(chan struct{}, 1)}, nil
}

// Run follows the job rows, claims jobs of lost owners and runs items until
// ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		storage.Follow(ctx, storage.Follower{
			Feed: s.cfg.Feed, Prefix: jobPrefix, Log: s.cfg.Log, MinInterval: feedInterval,
			Snapshot: s.mirror.replace, Changes: s.mirror.apply, Fresh: s.mirror.markFresh, Stale: s.mirror.markStale,
		})
		return nil
	})
	group.Go(func() error { return s.superviseJobs(ctx) })
	group.Go(func() error { return s.schedule(ctx) })
	group.Go(func() error { return s.sweep(ctx) })
	return group.Wait()
}

// Submit accepts a job once, whatever is sent again.
func (s *Service) Submit(ctx context.Context, route *fleet.Route, job *Submission) (Acceptance, error) {
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
	if err := s.cfg.Objects.Put(ctx, objectKey(job.ID), bytes.NewReader(content)); err != nil {
		return NotAccepted, err // an object without a row is no job
	}
	row := Job{ID: job.ID, Route: route.Name, Owner: s.cfg.Self.Name, OwnerIncarnation: s.cfg.Self.Incarnation,
		Created: time.Now().UnixMilli(), Total: len(job.Items), OpenTokens: tokens, Commit: rand.Uint64()}
	s.submissions.Add(job.ID, job)
	acceptance, err := s.accept(ctx, route, row)
	if acceptance == Accepted {
		s.adopt(row.ID)
	}
	return acceptance, err
}

func (s *Service) fits(route *fleet.Route, tokens int64) bool {
	waiting, _ := s.mirror.quota(route.Name)
	return route.TokenQuota <= 0 || waiting+tokens <= route.TokenQuota
}

// accept writes the job row. The write is conditional on the quota row, which
// each acceptance on the route rewrites, so that the sum of waiting tokens that
// it rests on includes every accepted job.
func (s *Service) accept(ctx context.Context, route *fleet.Route, row Job) (Acceptance, error) {
	uncertain := false
	for failures := 0; ; failures++ {
		if !s.mirror.current(time.Now()) {
			if err := s.refresh(ctx); err != nil {
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
		versions, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
			{Key: jobKey(row.ID), Value: encodeJob(&row)},
			{Key: quotaKey(route.Name), Value: []byte("{}"), IfVersion: quotaVersion},
		}})
		switch {
		case err == nil:
			s.mirror.writeQuota(route.Name, versions[1])
			s.mirror.write(row, versions[0])
			return Accepted, nil
		case errors.Is(err, storage.ErrConflict):
			if err := s.refresh(ctx); err != nil {
				return notAccepted(uncertain), err
			}
		case errors.Is(err, storage.ErrThrottled):
			if !storeBackoff.Wait(ctx, failures) {
				return notAccepted(uncertain), err
			}
		default:
			uncertain = true // the write may take effect, even seconds later
			if !storeBackoff.Wait(ctx, failures) {
				return Unknown, err
			}
			if err := s.refresh(ctx); err != nil {
				return Unknown, err
			}
		}
	}
}

func notAccepted(uncertain bool) Acceptance {
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

// refresh reads all job rows.
func (s *Service) refresh(ctx context.Context) error {
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

// lookup returns a job, from the store if the copy may be out of date.
func (s *Service) lookup(ctx context.Context, id string) (entry, error) {
	e, known := s.mirror.get(id)
	if known && s.mirror.current(time.Now()) {
		return e, nil
	}
	row, err := s.cfg.Table.Get(ctx, jobKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return entry{}, ErrNotFound
	}
	if err != nil {
		if known {
			return e, nil // older, but listed results never change
		}
		return entry{}, trace.Wrap(ErrUnsure, "%v", err)
	}
	s.mirror.apply([]storage.Change{{Row: row}})
	if e, known = s.mirror.get(id); !known {
		return entry{}, trace.Wrap(ErrUnsure, "job row not understood")
	}
	return e, nil
}

// Results returns results from a position on. If there are none yet it waits.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	deadline := time.Now().Add(wait)
	for {
		changed := s.mirror.watch()
		e, err := s.lookup(ctx, id)
		if err != nil {
			return Page{}, err
		}
		if after < e.Listed {
			results, err := s.read(ctx, id, after, e.Listed)
			return Page{Total: e.Total, Results: results}, err
		}
		left := time.Until(deadline)
		if e.closed() || left <= 0 {
			return Page{Total: e.Total}, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Page{}, context.Cause(ctx)
		}
		timer.Stop()
	}
}

// read returns results from memory, else from the store.
func (s *Service) read(ctx context.Context, id string, from, to int) ([]Result, error) {
	var list []Result
	size := 0
	for at := from; at < to && size < pageBytes; at++ {
		r, held := s.results.Get(resultID{id, at})
		if !held {
			break
		}
		list = append(list, r)
		size += len(r.Output)
	}
	if len(list) > 0 {
		return list, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := s.cfg.Table.Scan(ctx, resultPrefix+id+"/", resultKey(id, from-1, 999), pageRows)
	if err != nil {
		return nil, trace.Wrap(ErrUnsure, "%v", err)
	}
	results, err := s.assemble(id, from, rows)
	if err != nil || len(results) == 0 {
		return nil, trace.Wrap(ErrUnsure, "results of job %s from %d: %v", id, from, err)
	}
	return results, nil
}

// assemble joins the parts of results that begin at a position.
func (s *Service) assemble(id string, from int, rows []storage.Row) ([]Result, error) {
	var list []Result
	var open *Result
	for _, row := range rows {
		at, err := position(row.Key, id)
		if err != nil {
			return nil, err
		}
		part, more, err := parseResultRow(row.Value)
		if err != nil {
			return nil, err
		}
		if open == nil {
			if at != from+len(list) {
				return nil, trace.BadParameter("position %d is missing", from+len(list))
			}
			open = &part
		} else {
			open.Output += part.Output
		}
		if !more {
			s.results.Add(resultID{id, at}, *open)
			list = append(list, *open)
			open = nil
		}
	}
	return list, nil
}

// Body returns the body of an item of a job that has not ended.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	e, err := s.lookup(ctx, id)
	if err != nil {
		return nil, err
	}
	if e.Ended {
		return nil, ErrNotFound
	}
	job, err := s.submission(ctx, id)
	if err != nil {
		return nil, err
	}
	for i := range job.Items {
		if job.Items[i].ID == item {
			return job.Items[i].Body, nil
		}
	}
	return nil, ErrNotFound
}

// submission returns a job's object.
func (s *Service) submission(ctx context.Context, id string) (*Submission, error) {
	if job, held := s.submissions.Get(id); held {
		return job, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reader, err := s.cfg.Objects.Get(ctx, objectKey(id))
	if err != nil {
		return nil, trace.Wrap(ErrUnsure, "%v", err)
	}
	defer reader.Close()
	content, err := io.ReadAll(reader)
	if err != nil {
		return nil, trace.Wrap(ErrUnsure, "%v", err)
	}
	var job Submission
	if err := json.Unmarshal(content, &job); err != nil {
		return nil, trace.Wrap(ErrUnsure, "object of job %s: %v", id, err)
	}
	s.submissions.Add(id, &job)
	return &job, nil
}

// Cancel ends a job. A nil error means that the end is kept.
func (s *Service) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for failures := 0; ; failures++ {
		e, err := s.lookup(ctx, id)
		if err != nil {
			return err
		}
		if e.Ended {
			return nil
		}
		next := e.Job
		next.Ended, next.OpenTokens, next.Commit = true, 0, rand.Uint64()
		versions, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
			{Key: jobKey(id), Value: encodeJob(&next), IfVersion: e.version}}})
		if err == nil {
			s.mirror.write(next, versions[0])
			s.drop(id, "ended")
			return nil
		}
		if !storeBackoff.Wait(ctx, failures) {
			return trace.Wrap(ErrUnsure, "%v", err)
		}
		if row, err := s.cfg.Table.Get(ctx, jobKey(id)); err == nil {
			s.mirror.apply([]storage.Change{{Row: row}})
		}
	}
}

// superviseJobs starts the jobs that this process owns and does not run, and
// claims those of lost owners.
func (s *Service) superviseJobs(ctx context.Context) error {
	for pause.For(ctx, claimInterval) {
		now := time.Now()
		if !s.mirror.current(now) || s.isStopping() {
			continue
		}
		members := s.cfg.Members()
		open := s.mirror.all(func(e *entry) bool { return !e.closed() })
		for i := range open {
			e := &open[i]
			if s.owns(&e.Job) {
				s.adopt(e.ID)
			} else if ShouldClaim(&e.Job, e.seen, s.cfg.Self, members, now) {
				s.claim(ctx, *e)
			}
		}
		s.dropForeign()
	}
	return nil
}

func (s *Service) owns(j *Job) bool {
	return j.Owner == s.cfg.Self.Name && j.OwnerIncarnation == s.cfg.Self.Incarnation
}

func (s *Service) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// claim makes this process the owner of a job, in the background.
func (s *Service) claim(ctx context.Context, e entry) {
	s.mu.Lock()
	busy := s.claiming[e.ID]
	s.claiming[e.ID] = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			s.mu.Lock()
			delete(s.claiming, e.ID)
			s.mu.Unlock()
		}()
		next := e.Job
		next.Owner, next.OwnerIncarnation, next.Commit = s.cfg.Self.Name, s.cfg.Self.Incarnation, rand.Uint64()
		versions, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
			{Key: jobKey(e.ID), Value: encodeJob(&next), IfVersion: e.version}}})
		s.cfg.Log.Info().Err(err).Str("job", e.ID).Str("owner", e.Owner).Uint64("row", e.version).Int("listed", e.Listed).
			Int("total", e.Total).Msg("job claimed")
		if err != nil {
			return // the feed tells who owns it now
		}
		s.mirror.write(next, versions[0])
		s.adopt(e.ID)
	}()
}

// dropForeign stops running jobs that another process owns or that are closed.
func (s *Service) dropForeign() {
	s.mu.Lock()
	ids := make([]string, 0, len(s.running))
	for id := range s.running {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		e, known := s.mirror.get(id)
		if known && (e.closed() || !s.owns(&e.Job)) {
			s.drop(id, "closed_or_claimed")
		}
	}
}

// sweepInterval and sweepRows bound the removal of old jobs.
const (
	sweepInterval = 10 * time.Second
	sweepRows     = 90
)

// sweep removes jobs that nobody may read any more. The gateway that is first
// in a job's order does it.
func (s *Service) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		now := time.Now()
		if !s.mirror.current(now) {
			continue
		}
		members := s.cfg.Members()
		old := s.mirror.all(func(e *entry) bool { return e.closed() && age(&e.Job, now) > s.cfg.Keep })
		for i := range old {
			if rank(old[i].ID, s.cfg.Self.Name, members, now) == 0 {
				if err := s.remove(ctx, &old[i]); err != nil {
					s.cfg.Log.Warn().Err(err).Str("job", old[i].ID).Msg("old job not removed")
				}
			}
		}
	}
	return nil
}

// remove deletes the results, the object and, last, the row of a job.
func (s *Service) remove(ctx context.Context, e *entry) error {
	for {
		rows, err := s.cfg.Table.Scan(ctx, resultPrefix+e.ID+"/", "", sweepRows)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			break
		}
		var tx storage.Transaction
		for _, r := range rows {
			tx.Writes = append(tx.Writes, storage.Write{Key: r.Key, Always: true, Delete: true})
		}
		if _, err := s.cfg.Table.Commit(ctx, tx); err != nil {
			return err
		}
	}
	if err := s.cfg.Objects.Delete(ctx, objectKey(e.ID)); err != nil {
		return err
	}
	_, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
		{Key: jobKey(e.ID), IfVersion: e.version, Delete: true}}})
	return err
}
