package origin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/pause"
)

// ErrUnknown means that the version at which a stream began cannot be told.
var ErrUnknown = errors.New("the software version that began the stream is unknown")

const (
	// readTimeout bounds the read of a service's row for a stream that is to be resumed.
	readTimeout = 400 * time.Millisecond
	// findTimeout bounds the question to other gateways. They answer from memory.
	findTimeout = 250 * time.Millisecond
	// admitTimeout is how long a new stream may wait for the versions of its service to be
	// read. It is short beside the objectives of streams.
	admitTimeout      = 250 * time.Millisecond
	admitPollInterval = 5 * time.Millisecond
	// minAgreeing is the number of other gateways that must know one version only for it
	// to hold while the store cannot be read.
	minAgreeing = 2
)

// Answer is what another gateway knows about a stream.
type Answer struct {
	Stream   Stream
	Known    bool     // the stream is known
	Versions []string // registered versions of the service as last read there; none if it only learnt of them
}

// Peers exchanges streams with the other gateways.
type Peers interface {
	// Announce tells the gateways that keep streams for others. They may miss it.
	Announce(streams []Stream)
	// Find asks these gateways. It returns the answers that arrive before ctx ends, and
	// need not wait for others after one that knows the stream.
	Find(ctx context.Context, service string, key Key) []Answer
	// AllHeard reports whether no other gateway has fallen silent that may have begun
	// streams within StreamLifetime.
	AllHeard() bool
}

// Tracker tells at which software version streams began. It is safe for concurrent use.
type Tracker struct {
	registry *Registry
	peers    Peers
	log      zerolog.Logger

	mu     sync.Mutex
	own    *table // begun or resumed here
	others *table // announced by other gateways, or saved by them

	loaded chan struct{} // closed once the saved streams have been loaded; nil if none are saved
}

// NewTracker returns a tracker and sets the callback of the registry.
func NewTracker(registry *Registry, peers Peers, log zerolog.Logger) *Tracker {
	t := &Tracker{registry: registry, peers: peers, log: log, own: newTable(), others: newTable()}
	registry.OnSeveral = t.announceAll
	return t
}

// Admitted returns which upstreams of a service may begin streams, nil for all. If none may,
// as just after a start, it waits for that for up to admitTimeout.
func (t *Tracker) Admitted(ctx context.Context, service string) func(*fleet.Upstream) bool {
	for end := time.Now().Add(admitTimeout); ; {
		admitted, some := t.registry.Admitted(service)
		if some || time.Now().After(end) || !pause.For(ctx, admitPollInterval) {
			return admitted
		}
	}
}

// Begun records that a stream begins at an upstream. It must be called before the first
// event is passed on.
func (t *Tracker) Begun(service, request string, u *fleet.Upstream) {
	if request == "" {
		return // no caller can name it
	}
	now := time.Now()
	s := NewStream(KeyOf(service, request), u, now)
	t.mu.Lock()
	t.own.add(s, now)
	t.mu.Unlock()
	if t.registry.Several(service) {
		t.peers.Announce([]Stream{s})
	}
}

// Ended records that the caller has got all of a stream, so that it will not be resumed.
func (t *Tracker) Ended(service, request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.remove(KeyOf(service, request))
}

// Certain reports whether what is known of an upstream at which a stream began at a time
// still holds: no later incarnation with another version has come that may have been there
// already.
func (t *Tracker) Certain(u *fleet.Upstream, began time.Time) bool {
	s := NewStream(0, u, began)
	return !s.doubtful(t.registry.Holder.View())
}

// announceAll announces the streams that were begun here while there was no need to. It
// includes those of other services, which does no harm.
func (t *Tracker) announceAll(service string) {
	t.mu.Lock()
	streams := t.own.list(time.Now())
	t.mu.Unlock()
	t.log.Info().Str("service", service).Int("streams", len(streams)).Msg("several software versions are in use; announcing the origins of streams")
	if len(streams) > 0 {
		t.peers.Announce(streams)
	}
}

// Learn records streams that another gateway has announced.
func (t *Tracker) Learn(streams []Stream) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range streams {
		t.others.add(s, now)
	}
}

// restore takes over streams that were saved.
func (t *Tracker) restore(streams []Stream, own bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	into := t.others
	if own {
		into = t.own
	}
	for _, s := range streams {
		into.add(s, now)
	}
}

// unended returns the streams of this gateway that may be resumed, none if all services
// have one version.
func (t *Tracker) unended() []Stream {
	if !t.registry.anySeveral() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own.list(time.Now())
}

// Answer returns what this gateway knows about a stream, for another one.
func (t *Tracker) Answer(service string, key Key) Answer {
	s, known := t.find(key)
	return Answer{Stream: s, Known: known, Versions: t.registry.ReadVersions(service)}
}

// Registered returns the software versions registered for each service, as far as they
// are certain to be still.
func (t *Tracker) Registered() map[string][]string { return t.registry.Confirmed() }

// LearnRegistered adds versions that another gateway knows to be registered.
func (t *Tracker) LearnRegistered(all map[string][]string) { t.registry.Learn(all) }

func (t *Tracker) find(key Key) (Stream, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, known := t.own.find(key, now); known {
		return s, true
	}
	return t.others.find(key, now)
}

// Version returns the software version at which the stream of a request began, or
// ErrUnknown. request is empty if the caller does not name it.
func (t *Tracker) Version(ctx context.Context, service, request string) (string, error) {
	key := KeyOf(service, request)
	if s, known := t.find(key); known {
		return t.resolve(s, "own")
	}
	var answers []Answer
	if len(t.registry.Known(service)) > 1 { // they are likely to know, and faster than the store
		if answers = t.ask(ctx, service, key); len(answers) > 0 && answers[0].Known {
			return t.resolve(answers[0].Stream, "peer")
		}
	}
	versions, err := t.readVersions(ctx, service)
	if err == nil && len(versions) == 1 {
		metric.StreamOrigin("only")
		return versions[0], nil
	}
	if s, known := t.awaitLoaded(ctx, key); known {
		return t.resolve(s, "saved")
	}
	if answers == nil {
		if answers = t.ask(ctx, service, key); len(answers) > 0 && answers[0].Known {
			return t.resolve(answers[0].Stream, "peer")
		}
	}
	if known := t.registry.ReadVersions(service); err != nil && t.peers.AllHeard() && agree(known, answers) {
		metric.StreamOrigin("agreed")
		return known[0], nil
	}
	metric.StreamOrigin("unknown")
	return "", ErrUnknown
}

// awaitLoaded waits for the saved streams after a start and returns a stream if it is
// among them.
func (t *Tracker) awaitLoaded(ctx context.Context, key Key) (Stream, bool) {
	if t.loaded == nil || isClosed(t.loaded) {
		return Stream{}, false // find would have found it
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	select {
	case <-t.loaded:
	case <-ctx.Done():
	}
	return t.find(key)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// readVersions reads the row of a service.
func (t *Tracker) readVersions(ctx context.Context, service string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	versions, err := t.registry.Read(ctx, service)
	if err != nil {
		t.log.Warn().Err(err).Str("service", service).Msg("failed to read the software versions of streams")
	}
	return versions, err
}

// ask returns the answers of other gateways, one that knows the stream first.
func (t *Tracker) ask(ctx context.Context, service string, key Key) []Answer {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := t.peers.Find(ctx, service, key)
	if i := slices.IndexFunc(answers, func(a Answer) bool { return a.Known }); i > 0 {
		answers[0], answers[i] = answers[i], answers[0]
	}
	return answers
}

// resolve returns the version of a known stream unless it is doubtful.
func (t *Tracker) resolve(s Stream, source string) (string, error) {
	if s.doubtful(t.registry.Holder.View()) {
		metric.StreamOrigin("doubtful")
		return "", ErrUnknown
	}
	metric.StreamOrigin(source)
	return s.Version, nil
}

// agree reports whether enough other gateways know the single version in versions and no
// other one.
func agree(versions []string, answers []Answer) bool {
	if len(versions) != 1 || len(answers) < minAgreeing {
		return false
	}
	for _, a := range answers {
		if a.Known || len(a.Versions) != 1 || a.Versions[0] != versions[0] {
			return false
		}
	}
	return true
}
