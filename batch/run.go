package batch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/event"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/forward"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// scheduleInterval is how often waiting items are offered although no event
	// told of a free slot.
	scheduleInterval = 50 * time.Millisecond
	// startInterval is the least time between two rounds of starts: most of the
	// time in which gateways in other data centres hear of the first one.
	startInterval = 40 * time.Millisecond
	// itemSilence: an item is moved after this long without an event. Engines
	// send one every 30 ms.
	itemSilence = 700 * time.Millisecond
	// itemHeadSilence: an item is moved if its engine has not begun to answer by
	// then. An engine answers at its first event; a queue of 8 short requests
	// ahead delays that by a second.
	itemHeadSilence = 1500 * time.Millisecond
	// commitDelay merges results that finish together into one transaction.
	commitDelay = 40 * time.Millisecond
	// commitBytes and commitRows bound a transaction, which may have 1 MB and 100 entries.
	commitBytes = 600 << 10
	commitRows  = 60
	// failurePause is the first pause of an item after a failed attempt; it
	// doubles with each one.
	failurePause    = 100 * time.Millisecond
	failurePauseMax = 3 * time.Second
	// blockedPause is the time between attempts of an item that has crashed
	// engines. Nothing but an answer or its retention ends an item, so it is
	// never left alone for good; an engine needs some seconds after a crash.
	blockedPause = 12 * time.Second
	// releaseTimeout bounds giving a job back at shutdown.
	releaseTimeout = 2 * time.Second
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
	index     int
	state     itemState
	lastID    string // of the last event had
	output    []byte // data of the events had
	events    int
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
	commits    sync.Mutex // held during a commit with its reading back; taken before Service.mu
	ctx        context.Context
	cancel     context.CancelCauseFunc
	active     sync.WaitGroup
}

// adopt starts to run a job that this process owns.
func (s *Service) adopt(id string) {
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
		err := s.load(ctx, id)
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
func (s *Service) load(ctx context.Context, id string) error {
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
	r := &running{job: e.Job, version: e.version, submission: submission, items: make([]work, len(submission.Items))}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	for i := range r.items {
		r.items[i].index = i
		r.items[i].failures = e.Failures[i]
		if listed[submission.Items[i].ID] {
			r.items[i].state = itemListed
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] == nil && !s.stopping {
		s.running[id] = r
	}
	return nil
}

var errDropped = errors.New("the job is no longer run here")

// drop stops running a job.
func (s *Service) drop(id, reason string) {
	s.mu.Lock()
	r := s.running[id]
	delete(s.running, id)
	var version uint64
	if r != nil {
		r.dropped = true
		version = r.version
	}
	s.mu.Unlock()
	if r != nil {
		r.cancel(errDropped)
		s.cfg.Log.Info().Str("job", id).Str("reason", reason).Uint64("row", version).Msg("job dropped")
	}
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// schedule offers waiting items to free slots until ctx ends.
func (s *Service) schedule(ctx context.Context) error {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-s.cfg.Dispatcher.BatchWake():
		case <-ticker.C:
		}
		s.startItems()
		if !pause.For(ctx, startInterval) {
			return nil
		}
	}
}

// candidate is a waiting item with what decides its place.
type candidate struct {
	job  *running
	item *work
}

// startItems starts this gateway's share of the items that there are slots for.
func (s *Service) startItems() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.waiting(now)
	waiting := len(list)
	// Reported after the starts, since peers divide what is left by it.
	defer func() { s.cfg.Dispatcher.SetBacklog(waiting) }()
	shares := make(map[string]int) // starts left, by service
	for left := len(list); len(list) > 0; left = len(list) {
		best := NextItem(views(list))
		c := list[best]
		list = append(list[:best], list[best+1:]...)
		service, end := s.service(c.job, c.item, now)
		if end != "" {
			s.finish(c.job, c.item, Result{Abandoned: true}, end)
			continue
		}
		share, set := shares[service]
		if !set {
			share = s.cfg.Dispatcher.BatchStarts(service, left)
		}
		shares[service] = share - 1
		if share <= 0 || !s.start(c, service) {
			return
		}
		waiting--
	}
}

// start begins an attempt of an item if its service has a free slot.
func (s *Service) start(c candidate, service string) bool {
	grant := s.cfg.Dispatcher.TryBatch(service)
	if grant == nil {
		return false
	}
	c.item.state = itemActive
	c.job.active.Add(1)
	go s.runItem(c.job, c.item, grant)
	return true
}

// waiting returns the items that may start now.
func (s *Service) waiting(now time.Time) []candidate {
	var list []candidate
	if s.stopping {
		return nil
	}
	for _, r := range s.running {
		for i := range r.items {
			w := &r.items[i]
			if w.state == itemWaiting && !w.notBefore.After(now) {
				list = append(list, candidate{r, w})
			}
		}
	}
	return list
}

func views(list []candidate) []ItemView {
	out := make([]ItemView, len(list))
	for i, c := range list {
		out[i] = ItemView{Created: c.job.job.Created, Left: c.job.job.Total - c.job.job.Listed, Events: c.item.events}
	}
	return out
}

// ItemView is what decides the place of a waiting item.
type ItemView struct {
	Created int64 // of its job, Unix ms
	Left    int   // results that its job lacks
	Events  int   // events that it has had
}

// NextItem returns the index of the item to start first: the one of the oldest
// job, which is due first; in a job, the one that has got furthest.
func NextItem(list []ItemView) int {
	best := 0
	for i := range list {
		a, b := &list[i], &list[best]
		if a.Created != b.Created {
			if a.Created < b.Created {
				best = i
			}
			continue
		}
		if a.Events > b.Events {
			best = i
		}
	}
	return best
}

// Reasons to give an item up without an attempt.
const (
	endRouteRemoved = "route_removed"
	endRetention    = "retention"
)

// retentionSlack is added to the retention, since the clock of the gateway that
// accepted the job may differ from the own one by seconds.
const retentionSlack = 10 * time.Second

// service returns the service that the configuration in force sends an item
// to, or the reason why it is given up.
func (s *Service) service(r *running, w *work, now time.Time) (service, end string) {
	item := &r.submission.Items[w.index]
	if s.cfg.Holder.View().Configuration == nil {
		return r.submission.Service, ""
	}
	route := s.route(r, w)
	switch {
	case route == nil:
		return "", endRouteRemoved
	case route.Retention > 0 && age(&r.job, now) > route.Retention+retentionSlack:
		return "", endRetention
	}
	return route.Service(item.ID), ""
}

func (s *Service) route(r *running, w *work) *fleet.Route {
	if c := s.cfg.Holder.View().Configuration; c != nil {
		return c.Match(r.submission.Host, r.submission.Items[w.index].Target)
	}
	return nil
}

// defaultAttempts applies while no route is known.
const defaultAttempts = 3

// runItem makes one attempt of an item.
func (s *Service) runItem(r *running, w *work, grant *dispatch.Grant) {
	defer r.active.Done()
	item := &r.submission.Items[w.index]
	fingerprint := xxhash.Sum64String(r.submission.ID + "\x00" + item.ID)
	if rest := blockedPause - time.Since(w.attempted); rest > 0 && s.cfg.Suspects.Blocked(fingerprint) {
		grant.Release(dispatch.Cancelled)
		s.requeue(w, rest)
		return
	}
	w.attempted = time.Now()
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	stop := context.AfterFunc(r.ctx, cancel)
	defer stop()
	go func() {
		select {
		case <-grant.Preempted():
			cancel()
		case <-ctx.Done():
		}
	}()
	started, had := time.Now(), w.events
	outcome, end := s.attempt(ctx, r, w, grant)
	preempted := isClosed(grant.Preempted())
	if outcome == dispatch.Broken && ctx.Err() != nil {
		outcome = dispatch.Cancelled
	}
	grant.Release(outcome)
	if preempted {
		metric.Preempted(grant.Upstream.Service)
	}
	s.cfg.Log.Info().Str("request", item.ID).Str("job", r.submission.ID).Str("upstream", grant.Upstream.ID).
		Int("from_event", had).Int("events", w.events).Bool("preempted", preempted).Str("outcome", end).
		Int64("ms", time.Since(started).Milliseconds()).Msg("item attempt")
	s.settle(r, w, grant, outcome, end, had, fingerprint)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Ends of an attempt.
const (
	endDone       = "done"
	endImpossible = "impossible" // 422
	endFailed     = "failed"     // 500
	endNotRun     = "not_run"
	endNotSent    = "not_sent"
	endBroken     = "broken"
)

// attempt sends an item and collects its events. It writes w without a lock,
// which is safe because an active item has one attempt.
func (s *Service) attempt(ctx context.Context, r *running, w *work, grant *dispatch.Grant) (dispatch.Outcome, string) {
	item := &r.submission.Items[w.index]
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	head := time.AfterFunc(itemHeadSilence, cancel)
	answer, err := s.cfg.Upstreams.Call(ctx, grant.Upstream, &forward.Call{
		ID: item.ID, Host: r.submission.Host, Method: http.MethodPost, Target: item.Target,
		Header: header, Body: item.Body, ResumeAfter: w.lastID})
	head.Stop()
	if errors.Is(err, forward.ErrNotSent) {
		return dispatch.Refused, endNotSent
	}
	if err != nil {
		return dispatch.Broken, endBroken
	}
	defer answer.Body.Close()
	switch {
	case answer.NotRun:
		return dispatch.Full, endNotRun
	case answer.Status == http.StatusUnprocessableEntity:
		return dispatch.Cancelled, endImpossible
	case answer.Status >= 500:
		return dispatch.Cancelled, endFailed
	case answer.Status != http.StatusOK || !answer.Signed || !answer.Events:
		return dispatch.Broken, endBroken + " status " + strconv.Itoa(answer.Status)
	}
	return s.collect(w, grant, answer)
}

func (s *Service) collect(w *work, grant *dispatch.Grant, answer *forward.Answer) (dispatch.Outcome, string) {
	silence := time.AfterFunc(itemSilence, func() { answer.Body.Close() })
	defer silence.Stop()
	events := event.NewReader(answer.Body)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Raw)) == 0 {
			return dispatch.Served, endDone
		}
		if err != nil {
			return dispatch.Broken, endBroken
		}
		silence.Reset(itemSilence)
		grant.Progress()
		if e.Data == nil {
			continue
		}
		if w.events > 0 {
			w.output = append(w.output, '\n')
		}
		w.output = append(w.output, e.Data...)
		w.events++
		if e.ID != "" {
			w.lastID = e.ID
		}
	}
}

// settle decides what becomes of an item after an attempt.
func (s *Service) settle(r *running, w *work, grant *dispatch.Grant, outcome dispatch.Outcome, end string, had int, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := defaultAttempts
	if route := s.route(r, w); route != nil {
		attempts = route.MaxAttempts
	}
	switch end {
	case endDone:
		s.finish(r, w, Result{Output: string(w.output)}, end)
		return
	case endImpossible:
		s.finish(r, w, Result{Abandoned: true}, end)
		return
	case endFailed:
		w.failures++
		if w.failures >= attempts {
			s.finish(r, w, Result{Abandoned: true}, end)
			return
		}
		s.wait(w, min(failurePause<<w.failures, failurePauseMax))
		return
	}
	if outcome == dispatch.Broken && w.events == had {
		w.broken++
		s.cfg.Suspects.Crashed(grant.Upstream, fingerprint)
		s.wait(w, min(failurePause<<min(w.broken, 5), failurePauseMax))
		return
	}
	w.broken = 0
	s.wait(w, 0)
}

func (s *Service) wait(w *work, pause time.Duration) {
	w.state = itemWaiting
	w.notBefore = time.Now().Add(pause)
	s.signal()
}

func (s *Service) requeue(w *work, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait(w, pause)
}

// finish notes the end of an item and starts the commit. The caller holds the lock.
func (s *Service) finish(r *running, w *work, result Result, reason string) {
	result.Item = r.submission.Items[w.index].ID
	w.state = itemFinished
	w.result = result
	w.output = nil
	r.finished = append(r.finished, w.index)
	if result.Abandoned {
		s.cfg.Log.Info().Str("request", result.Item).Str("job", r.job.ID).Str("reason", reason).
			Int("failures", w.failures).Msg("item given up")
	}
	if !r.committing && !r.dropped {
		r.committing = true
		time.AfterFunc(commitDelay, func() { s.commitFinished(r) })
	}
}

// commitFinished lists finished results until there are none.
func (s *Service) commitFinished(r *running) {
	for failures := 0; ; {
		err := s.commitOnce(r, false)
		s.mu.Lock()
		version, closed := r.version, r.job.closed()
		if r.dropped || (err == nil && len(r.finished) == 0) {
			r.committing = false
			s.mu.Unlock()
			if closed {
				s.drop(r.submission.ID, "complete")
			}
			return
		}
		s.mu.Unlock()
		if err == nil {
			failures = 0
			continue
		}
		s.cfg.Log.Warn().Err(err).Str("job", r.submission.ID).Uint64("row", version).Msg("results not listed; tried again")
		time.Sleep(storeBackoff.Delay(failures))
		failures++
	}
}

// commitOnce writes some finished results and the job row in one transaction.
// With release set it gives the job back as well.
func (s *Service) commitOnce(r *running, release bool) error {
	r.commits.Lock()
	defer r.commits.Unlock()
	s.mu.Lock()
	if r.dropped {
		s.mu.Unlock()
		return nil
	}
	next, writes, listed := r.prepare()
	if release {
		next.Owner, next.OwnerIncarnation = "", 0
	}
	version := r.version
	s.mu.Unlock()
	if len(listed) == 0 && !release {
		return nil
	}
	writes = append(writes, storage.Write{Key: jobKey(next.ID), Value: encodeJob(&next), IfVersion: version})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	versions, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: writes})
	switch {
	case err == nil:
		s.listed(r, next, versions[len(versions)-1], listed)
		return nil
	case errors.Is(err, storage.ErrThrottled):
		return err // nothing was done
	}
	return s.reconcile(ctx, r, next, listed, err)
}

// reconcile finds out what became of a commit that conflicted or got no answer.
func (s *Service) reconcile(ctx context.Context, r *running, next Job, listed []int, cause error) error {
	row, err := s.cfg.Table.Get(ctx, jobKey(next.ID))
	if errors.Is(err, storage.ErrNotFound) {
		s.drop(next.ID, "row_removed")
		return nil
	}
	if err != nil {
		return err
	}
	s.mirror.apply([]storage.Change{{Row: row}})
	e, known := s.mirror.get(next.ID)
	switch {
	case !known || e.Ended || !s.owns(&e.Job) && e.Commit != next.Commit:
		s.drop(next.ID, "closed_or_claimed")
		return nil
	case e.Commit == next.Commit:
		s.listed(r, next, e.version, listed) // it took effect
		return nil
	}
	s.mu.Lock()
	r.version = e.version
	s.mu.Unlock()
	return cause
}

// prepare builds the next job row with as many finished results as fit. The
// caller holds the lock.
func (r *running) prepare() (Job, []storage.Write, []int) {
	next := r.job
	next.Commit = rand.Uint64()
	next.Failures = nil
	var writes []storage.Write
	var listed []int
	size := 0
	for _, index := range r.finished {
		result := r.items[index].result
		if len(listed) > 0 && size+len(result.Output) > commitBytes || len(writes) >= commitRows {
			break
		}
		for part, value := range resultRows(result) {
			writes = append(writes, storage.Write{Key: resultKey(next.ID, next.Listed, part), Value: value, Always: true})
		}
		size += len(result.Output)
		next.Listed++
		next.OpenTokens -= r.submission.Items[index].Tokens
		listed = append(listed, index)
	}
	for i := range r.items {
		if r.items[i].failures > 0 && r.items[i].state < itemFinished {
			if next.Failures == nil {
				next.Failures = make(map[int]int)
			}
			next.Failures[i] = r.items[i].failures
		}
	}
	return next, writes, listed
}

// listed takes over a commit that took effect.
func (s *Service) listed(r *running, next Job, version uint64, indexes []int) {
	s.mu.Lock()
	first := r.job.Listed
	for i, index := range indexes {
		s.results.Add(resultID{next.ID, first + i}, r.items[index].result)
		r.items[index].state = itemListed
		r.items[index].result = Result{}
	}
	r.finished = r.finished[len(indexes):]
	r.job, r.version = next, version
	s.mu.Unlock()
	s.mirror.write(next, version)
	s.cfg.Log.Info().Str("job", next.ID).Int("listed", next.Listed).Int("total", next.Total).Uint64("row", version).Msg("results listed")
}

// Release stops all items and gives the jobs back, so that other gateways can
// claim them at once.
func (s *Service) Release() {
	s.mu.Lock()
	s.stopping = true
	list := make([]*running, 0, len(s.running))
	for _, r := range s.running {
		list = append(list, r)
	}
	s.mu.Unlock()
	var all sync.WaitGroup
	for _, r := range list {
		all.Go(func() { s.release(r) })
	}
	all.Wait()
	for _, e := range s.mirror.all(func(e *entry) bool { return !e.closed() && s.owns(&e.Job) }) {
		s.giveBack(e.ID) // accepted or claimed, and not running yet
	}
}

// giveBack clears the owner of a job that does not run here.
func (s *Service) giveBack(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for failures := 0; ; failures++ {
		e, known := s.mirror.get(id)
		if !known || e.closed() || !s.owns(&e.Job) {
			return
		}
		next := e.Job
		next.Owner, next.OwnerIncarnation, next.Commit = "", 0, rand.Uint64()
		versions, err := s.cfg.Table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
			{Key: jobKey(id), Value: encodeJob(&next), IfVersion: e.version}}})
		s.cfg.Log.Info().Err(err).Str("job", id).Uint64("row", e.version).Msg("job given back")
		if err == nil {
			s.mirror.write(next, versions[0])
			return
		}
		if !storeBackoff.Wait(ctx, failures) {
			return // its owner counts as lost soon
		}
		if row, err := s.cfg.Table.Get(ctx, jobKey(id)); err == nil {
			s.mirror.apply([]storage.Change{{Row: row}})
		}
	}
}

func (s *Service) release(r *running) {
	r.cancel(errDropped)
	r.active.Wait()
	deadline := time.Now().Add(releaseTimeout)
	for failures := 0; time.Now().Before(deadline); failures++ {
		s.mu.Lock()
		left := len(r.finished)
		s.mu.Unlock()
		err := s.commitOnce(r, left == 0)
		if err == nil && left == 0 {
			break
		}
		if err != nil {
			time.Sleep(storeBackoff.Delay(failures))
		}
	}
	s.drop(r.submission.ID, "released")
}
