package origin

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// rowPrefix precedes the name of a service in row keys: the partition and the table.
	rowPrefix = "streams/versions/"
	// checkInterval is how often the list of upstreams is checked for other versions.
	checkInterval = 50 * time.Millisecond
	// registerDelay lets other gateways announce the streams that they have begun before
	// a second version gets streams; up to registerJitter more keeps gateways from writing
	// the row at once.
	registerDelay  = 200 * time.Millisecond
	registerJitter = 200 * time.Millisecond
	// retryInterval is the least time between two attempts to read or write a row.
	retryInterval = 200 * time.Millisecond
	// obsoleteReadInterval is the time between two reads of a row whose obsolete versions
	// another gateway removes.
	obsoleteReadInterval = 10 * time.Second
	// callTimeout bounds the calls of one attempt.
	callTimeout = 2 * time.Second
	// confirmedFor is how long a version that is missing in the list stays confirmed. It is
	// far below obsoleteAfter, so that no gateway uses a version which another one has removed.
	confirmedFor = 5 * time.Second
	// obsoleteAfter is how long a version must be missing in the list until its row says
	// that none of its streams can be resumed. An upstream that is no longer listed serves
	// for some seconds more.
	obsoleteAfter = StreamLifetime + 30*time.Second
)

// versionsRow is the value of a service's row. Its JSON keys are the Go field names.
type versionsRow struct {
	Versions []string // sorted
}

// service is what a registry knows of one service.
type service struct {
	read      bool // the row, or that there is none
	row       uint64
	versions  map[string]bool      // in the row
	confirmed map[string]bool      // read in the row since they were last missing in the list
	listed    map[string]time.Time // when a version was last listed
	due       map[string]time.Time // when a version that is not confirmed may be written
	// missing versions were not listed for so long that another gateway may be removing them.
	// They are confirmed by a write of the row, which makes a removal under way fail.
	missing    map[string]bool
	lastCalled time.Time // end of the last call of the store
	calling    bool
	several    bool // versions are in use, or have been lately
}

// Registry keeps the versions at which streams of each service may have begun, one row per
// service in the store. A version is added before its first stream, so that a service
// whose row names one version has streams of that version only, whichever gateway began
// them and whichever have been lost since. It is safe for concurrent use.
type Registry struct {
	Rows   storage.Table
	Holder *fleet.Holder
	Log    zerolog.Logger
	// RemovesObsolete reports whether it is for this gateway to remove obsolete versions,
	// and its list of upstreams is current.
	RemovesObsolete func() bool
	// OnSeveral is called when the upstreams of a service begin to have several versions.
	OnSeveral func(service string)

	calls    sync.WaitGroup
	mu       sync.Mutex
	services map[string]*service
}

// of returns the state of a service. r.mu must be held.
func (r *Registry) of(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{versions: make(map[string]bool), confirmed: make(map[string]bool),
			listed: make(map[string]time.Time), due: make(map[string]time.Time), missing: make(map[string]bool)}
		if r.services == nil {
			r.services = make(map[string]*service)
		}
		r.services[name] = s
	}
	return s
}

// Admitted returns which upstreams of a service may begin streams, nil for all that are
// listed, and whether at least one of these may.
func (r *Registry) Admitted(name string) (admitted func(*fleet.Upstream) bool, some bool) {
	listed := r.Holder.View().SoftwareVersions(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, all := r.of(name), true
	some = len(listed) == 0 // waiting would be of no use
	for _, v := range listed {
		all = all && s.confirmed[v]
		some = some || s.confirmed[v]
	}
	if all {
		return nil, some
	}
	confirmed := maps.Clone(s.confirmed)
	return func(u *fleet.Upstream) bool { return confirmed[u.SoftwareVersion] }, some
}

// Several reports whether several versions of a service are listed or registered.
func (r *Registry) Several(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(name).several
}

// anySeveral reports whether Several holds for any service.
func (r *Registry) anySeveral() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		if s.several {
			return true
		}
	}
	return false
}

// Known returns the registered versions of a service as last read, with those that are
// listed and may have been registered since. It returns none before the first read.
func (r *Registry) Known(name string) []string {
	listed := r.Holder.View().SoftwareVersions(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of(name)
	if len(s.versions) == 0 {
		return nil
	}
	known := slices.AppendSeq(slices.Clone(listed), maps.Keys(s.versions))
	slices.Sort(known)
	return slices.Compact(known)
}

// ReadVersions is Known of a service whose row this gateway has read, else none.
func (r *Registry) ReadVersions(name string) []string {
	r.mu.Lock()
	read := r.of(name).read
	r.mu.Unlock()
	if !read {
		return nil
	}
	return r.Known(name)
}

// Confirmed returns the confirmed versions of all services. Others may have been removed
// since they were read.
func (r *Registry) Confirmed() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string][]string, len(r.services))
	for name, s := range r.services {
		if len(s.confirmed) > 0 {
			all[name] = slices.Sorted(maps.Keys(s.confirmed))
		}
	}
	return all
}

// Learn adds versions that another gateway knows to be registered.
func (r *Registry) Learn(all map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, versions := range all {
		s := r.of(name)
		if s.read {
			continue // the row is at least as new
		}
		for _, v := range versions {
			s.versions[v], s.confirmed[v] = true, true
		}
	}
}

// Read returns the registered versions of a service from its row.
func (r *Registry) Read(ctx context.Context, name string) ([]string, error) {
	row, err := r.Rows.Get(ctx, rowKey(name))
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return nil, trace.Wrap(err)
	}
	versions, err := decodeVersions(row.Value)
	if err != nil {
		return nil, err
	}
	r.apply(name, row.Version, versions)
	return versions, nil
}

// apply takes over a row that was read; version 0 stands for none.
func (r *Registry) apply(name string, version uint64, versions []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of(name)
	if s.read && version < s.row {
		return
	}
	s.read, s.row = true, version
	s.versions, s.confirmed = make(map[string]bool, len(versions)), make(map[string]bool, len(versions))
	for _, v := range versions {
		s.versions[v] = true
		if !s.missing[v] {
			s.confirmed[v] = true
		}
	}
}

func rowKey(name string) string { return rowPrefix + url.PathEscape(name) }

func decodeVersions(value []byte) ([]string, error) {
	if value == nil {
		return nil, nil
	}
	var row versionsRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, trace.Wrap(err, "row of software versions")
	}
	return row.Versions, nil
}

// Run registers versions as they appear in the list of upstreams until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	defer r.calls.Wait()
	r.readAll(ctx)
	for pause.For(ctx, checkInterval) {
		now := time.Now()
		for _, name := range resumableServices(r.Holder.View().Configuration) {
			r.update(ctx, name, now)
		}
	}
}

// readAll reads the rows of all services, so that those of the first configuration are
// known when it arrives.
func (r *Registry) readAll(ctx context.Context) {
	const maxRows = 500
	rows, err := r.Rows.Scan(ctx, rowPrefix, "", maxRows)
	if err != nil {
		r.Log.Warn().Err(err).Msg("failed to read the software versions of streams; reading them by service")
		return
	}
	for _, row := range rows {
		name, err := url.PathUnescape(strings.TrimPrefix(row.Key, rowPrefix))
		versions, decodeErr := decodeVersions(row.Value)
		if err := errors.Join(err, decodeErr); err != nil {
			r.Log.Error().Err(err).Str("key", row.Key).Msg("invalid row of software versions")
			continue
		}
		r.apply(name, row.Version, versions)
	}
}

// resumableServices returns the services to which a configuration routes streams that may
// be resumed.
func resumableServices(c *fleet.Configuration) []string {
	if c == nil {
		return nil
	}
	var names []string
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Kind != fleet.Stream || !route.Resumable {
			continue
		}
		for _, target := range route.Targets {
			if !slices.Contains(names, target.Service) {
				names = append(names, target.Service)
			}
		}
	}
	return names
}

// step is what an update has to do at the store.
type step uint8

const (
	stepNone step = iota
	stepRead
	stepWrite
)

// update brings the row of a service in line with the list of upstreams. Its calls of the
// store do not hold up other services.
func (r *Registry) update(ctx context.Context, name string, now time.Time) {
	listed := r.Holder.View().SoftwareVersions(name)
	removes := r.RemovesObsolete()
	r.mu.Lock()
	s := r.of(name)
	begins := s.observe(listed, now)
	next := stepNone
	if !s.calling {
		next = s.next(listed, removes, now)
	}
	s.calling = s.calling || next != stepNone
	r.mu.Unlock()
	if begins {
		r.OnSeveral(name)
	}
	if next != stepNone {
		r.calls.Go(func() { r.call(ctx, name, next, listed, removes, now) })
	}
}

// call reads the row of a service and writes it if that is the next step.
func (r *Registry) call(ctx context.Context, name string, next step, listed []string, removes bool, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := r.Read(ctx, name)
	// No streams have begun that other gateways would have to announce first if there is no row.
	if err == nil && (next == stepWrite || len(versions) == 0) {
		err = r.write(ctx, name, listed, removes, now)
	}
	if err != nil && !errors.Is(err, storage.ErrConflict) {
		r.Log.Warn().Err(err).Str("service", name).Msg("failed to update the software versions of streams; retrying")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of(name)
	s.calling, s.lastCalled = false, time.Now()
}

// write adds the listed versions to the row that was just read and removes obsolete ones.
func (r *Registry) write(ctx context.Context, name string, listed []string, removes bool, now time.Time) error {
	r.mu.Lock()
	s := r.of(name)
	version, next := s.row, maps.Clone(s.versions)
	for v := range next {
		if removes && s.obsolete(v, now) {
			delete(next, v)
		}
	}
	for _, v := range listed {
		next[v] = true
	}
	unchanged := maps.Equal(next, s.versions) && !slices.ContainsFunc(listed, func(v string) bool { return s.missing[v] })
	r.mu.Unlock()
	if unchanged {
		return nil
	}
	row := versionsRow{Versions: slices.Sorted(maps.Keys(next))}
	value, err := json.Marshal(&row)
	if err != nil {
		return trace.Wrap(err)
	}
	versions, err := r.Rows.Commit(ctx, storage.Transaction{Writes: []storage.Write{{Key: rowKey(name), Value: value, IfVersion: version}}})
	if err != nil {
		return trace.Wrap(err)
	}
	r.mu.Lock()
	for _, v := range listed {
		delete(s.missing, v)
	}
	r.mu.Unlock()
	r.apply(name, versions[0], row.Versions)
	r.Log.Info().Str("service", name).Strs("versions", row.Versions).Uint64("row", versions[0]).Msg("software versions of streams registered")
	return nil
}

// observe records the versions that are listed. It reports whether there are several now
// and were not before.
func (s *service) observe(listed []string, now time.Time) (begins bool) {
	for _, v := range listed {
		s.listed[v] = now
	}
	for v := range s.versions {
		if last, known := s.listed[v]; !known {
			s.listed[v] = now // of a row that names more than the list did so far
		} else if now.Sub(last) > confirmedFor {
			delete(s.confirmed, v)
			s.missing[v] = s.missing[v] || now.Sub(last) > obsoleteAfter/2
		}
	}
	several := len(listed) > 1 || len(s.versions) > 1
	begins = several && !s.several
	s.several = several
	return begins
}

// obsolete reports whether a version has been missing in the list for so long that none of
// its streams can be resumed.
func (s *service) obsolete(v string, now time.Time) bool {
	last, known := s.listed[v]
	return known && now.Sub(last) > obsoleteAfter
}

// next returns what is to be done at the store.
func (s *service) next(listed []string, removes bool, now time.Time) step {
	if now.Sub(s.lastCalled) < retryInterval {
		return stepNone
	}
	if len(listed) == 0 {
		return stepNone // the list may not have been read
	}
	next := stepNone
	if !s.read {
		next = stepRead
	}
	for v := range s.versions {
		switch {
		case !s.obsolete(v, now):
		case removes:
			next = stepWrite
		case now.Sub(s.lastCalled) >= obsoleteReadInterval:
			next = max(next, stepRead)
		}
	}
	for _, v := range listed {
		switch due, known := s.due[v]; {
		case s.confirmed[v]:
			delete(s.due, v)
		case s.versions[v] && !s.missing[v]:
			next = max(next, stepRead)
		case !known:
			s.due[v] = now.Add(registerDelay + rand.N(registerJitter))
		case !now.Before(due):
			next = stepWrite
		}
	}
	return next
}
