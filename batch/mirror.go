package batch

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/storage"
)

// freshnessTimeout is how long the mirror counts as current after the feed's last
// answer. The feed answers at least once a second.
const freshnessTimeout = 1400 * time.Millisecond

// mirroredJob is the latest known version of a job's row.
type mirroredJob struct {
	jobrow.Row
	// ownerSeen is when this process last saw a sign of the owner in the row: its claim,
	// or a later write. Only the owner writes the row of an open job.
	ownerSeen time.Time
}

// mirror is an in-memory copy of all job rows, updated from the feed and by this
// process's own writes.
type mirror struct {
	log zerolog.Logger

	mu      sync.Mutex
	jobs    map[string]*mirroredJob
	quotas  map[string]uint64 // versions of quota rows, by key
	freshAt time.Time
	changed chan struct{}
}

func newMirror(log zerolog.Logger) *mirror {
	return &mirror{log: log, jobs: make(map[string]*mirroredJob), quotas: make(map[string]uint64), changed: make(chan struct{})}
}

func (m *mirror) markFresh() {
	m.mu.Lock()
	m.freshAt = time.Now()
	m.mu.Unlock()
}

func (m *mirror) markStale() {
	m.mu.Lock()
	m.freshAt = time.Time{}
	m.mu.Unlock()
}

// isCurrent reports whether the mirror is up to date.
func (m *mirror) isCurrent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.freshAt) < freshnessTimeout
}

// get returns a copy of a job.
func (m *mirror) get(id string) (mirroredJob, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.jobs[id]
	if e == nil {
		return mirroredJob{}, false
	}
	return *e, true
}

// selectJobs returns copies of the jobs that match a filter.
func (m *mirror) selectJobs(filter func(*mirroredJob) bool) []mirroredJob {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []mirroredJob
	for _, e := range m.jobs {
		if filter(e) {
			list = append(list, *e)
		}
	}
	return list
}

// quota returns the tokens of the open jobs of an organisation on a route and the version of the
// quota row that the sum corresponds to.
func (m *mirror) quota(route, organisation string) (tokens int64, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.jobs {
		if j := e.Job(); j.Route == route && j.Organisation == organisation && !j.Closed() {
			tokens += j.OpenTokens
		}
	}
	return tokens, m.quotas[quotaKey(route, organisation)]
}

// watch returns a channel that is closed on the next change.
func (m *mirror) watch() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *mirror) replaceAll(rows []storage.Row, version uint64) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]bool, len(rows))
	for _, r := range rows {
		seen[r.Key] = true
		m.applyRow(r, now)
	}
	for id, e := range m.jobs {
		if e.Version() <= version && !seen[jobrow.Key(id)] {
			delete(m.jobs, id)
		}
	}
	m.notify()
}

func (m *mirror) applyChanges(changes []storage.Change) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		if !c.Removed {
			m.applyRow(c.Row, now)
			continue
		}
		id := jobrow.ID(c.Key)
		if e := m.jobs[id]; e != nil && e.Version() < c.Version {
			delete(m.jobs, id)
		}
	}
	m.notify()
}

// recordJob records a write by this process before the feed delivers it.
func (m *mirror) recordJob(row jobrow.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyJob(row, time.Now())
	m.notify()
}

// recordAcceptance records the first row of a job and the version of the quota row that
// was written with it. Both become visible at once: a sum of open tokens without the job
// must not be used with that version.
func (m *mirror) recordAcceptance(row jobrow.Row, quotaKey string, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quotas[quotaKey] = max(m.quotas[quotaKey], version)
	m.applyJob(row, time.Now())
	m.notify()
}

func (m *mirror) applyRow(r storage.Row, now time.Time) {
	if strings.HasPrefix(r.Key, quotaKeyPrefix) {
		m.quotas[r.Key] = max(m.quotas[r.Key], r.Version)
		return
	}
	row, err := jobrow.Parse(r)
	if err != nil {
		m.log.Error().Err(err).Str("key", r.Key).Uint64("row", r.Version).Msg("malformed job row ignored")
		return
	}
	m.applyJob(row, now)
}

func (m *mirror) applyJob(row jobrow.Row, now time.Time) {
	j := row.Job()
	old := m.jobs[j.ID]
	if old != nil && old.Version() >= row.Version() {
		return
	}
	e := &mirroredJob{Row: row, ownerSeen: now}
	if old != nil && old.Job().Owner == "" && j.Owner == "" {
		e.ownerSeen = old.ownerSeen // released then
	}
	m.jobs[j.ID] = e
}

func (m *mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
