// Package origin knows at which software version of an upstream a stream began. What two
// versions write does not fit together, so that only an upstream of that version can
// resume the stream. Decisions are pure; package peer exchanges what gateways know, and
// Registry keeps in the store which versions may have streams.
package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/fleet"
)

const (
	// StreamLifetime is how long after its start a stream may be resumed. It exceeds the
	// default time limit of requests, which a caller may use twice.
	StreamLifetime = 150 * time.Second
	// clockDifference is how far the clocks of a gateway and of an upstream may differ,
	// steps of either included.
	clockDifference = 10 * time.Second
	// maxStreams limits a table to about 6 MB. A gateway at the target size begins 40
	// streams per second and is told of three times as many.
	maxStreams = 1 << 15
)

// Key identifies a stream by a hash of its service and of the id of the request that
// began it.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(service, request string) Key {
	h := xxhash.New()
	_, _ = h.WriteString(service) // xxhash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(request)
	return Key(h.Sum64())
}

// Stream is where and when a stream began.
type Stream struct {
	Key      Key
	Version  string // software version of the upstream
	Upstream string // id
	Started  int64  // start of the upstream's incarnation in Unix ms; 0 if not reported
	Began    time.Time
}

// NewStream describes a stream that begins at an upstream.
func NewStream(key Key, u *fleet.Upstream, now time.Time) Stream {
	return Stream{Key: key, Version: u.SoftwareVersion, Upstream: u.ID, Started: u.Started, Began: now}
}

// doubtful reports whether the stream may have begun at a later incarnation of its upstream
// than the one that was known then, which has another version. That one may have gone since.
func (s *Stream) doubtful(view *fleet.View) bool {
	latest := s.Began.Add(clockDifference).UnixMilli() // by the clock of the upstream
	return slices.ContainsFunc(view.Records, func(r fleet.Record) bool {
		return r.ID == s.Upstream && r.Started > s.Started && r.SoftwareVersion != s.Version && r.Started <= latest
	})
}

// table holds the streams that began within StreamLifetime. It has no clock and is not
// safe for concurrent use.
type table struct {
	streams map[Key]Stream
	order   []Stream // as added; entries that were replaced or removed stay until they expire
}

func newTable() *table { return &table{streams: make(map[Key]Stream)} }

// add adds a stream. A later one with the same key replaces it.
func (t *table) add(s Stream, now time.Time) {
	t.expire(now)
	if len(t.order) >= maxStreams {
		t.drop()
	}
	t.streams[s.Key] = s
	t.order = append(t.order, s)
}

func (t *table) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].Began) > StreamLifetime {
		t.drop()
	}
}

// drop removes the entry that was added first.
func (t *table) drop() {
	s := t.order[0]
	if t.streams[s.Key] == s {
		delete(t.streams, s.Key)
	}
	t.order = t.order[1:]
}

// find returns a stream.
func (t *table) find(key Key, now time.Time) (Stream, bool) {
	t.expire(now)
	s, ok := t.streams[key]
	return s, ok
}

// remove forgets a stream.
func (t *table) remove(key Key) { delete(t.streams, key) }

// list returns all streams.
func (t *table) list(now time.Time) []Stream {
	t.expire(now)
	return slices.Collect(maps.Values(t.streams))
}
