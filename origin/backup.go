package origin

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// backupPrefix precedes the name of a gateway in row keys.
	backupPrefix = "streams/origins/"
	// backupInterval is the least time between two writes of a gateway's row, and
	// backupIntervalPerGateway keeps those of many gateways to 100 per second.
	backupInterval           = 300 * time.Millisecond
	backupIntervalPerGateway = 10 * time.Millisecond
	// maxBackupStreams keeps a row below 40 KB.
	maxBackupStreams = 250
	// backupScanRows is the number of rows per scan. They stay below the 1 MB of an answer.
	backupScanRows = 20
	// backupRetention is how long after its last write a row is of use. Clocks of gateways
	// may differ by seconds.
	backupRetention = StreamLifetime + time.Minute
)

// backupRow is the value of a gateway's row. Its JSON keys are the Go field names.
type backupRow struct {
	WrittenMs int64 // Unix time
	Streams   []backupStream
}

type backupStream struct {
	Key       Key    `json:"K,string"`
	Version   string `json:"V"`
	Upstream  string `json:"U"`
	StartedMs int64  `json:"S"` // start of the upstream's incarnation
	BeganMs   int64  `json:"B"` // Unix time
}

// Backup saves in the store where the streams of this gateway began while there are several
// versions, one row per gateway, so that they are known after a loss of all gateways.
// Streams that are younger than the last write are not.
type Backup struct {
	rows     storage.Table
	tracker  *Tracker
	gateway  string
	gateways func() (rank, n int)
	log      zerolog.Logger
}

// NewBackup returns the backup of a tracker for the gateway with a name. gateways returns
// the rank of this gateway and the number of live ones.
func NewBackup(rows storage.Table, t *Tracker, gateway string, gateways func() (rank, n int), log zerolog.Logger) *Backup {
	t.loaded = make(chan struct{})
	return &Backup{rows: rows, tracker: t, gateway: gateway, gateways: gateways, log: log}
}

// Run loads the rows of all gateways, then saves the streams of this one until ctx ends.
func (b *Backup) Run(ctx context.Context) {
	for failures := 0; ; failures++ {
		if err := b.load(ctx, time.Now()); err == nil {
			break
		} else if failures == 0 && ctx.Err() == nil {
			b.log.Warn().Err(err).Msg("failed to load the origins of streams; retrying")
		}
		if !pause.For(ctx, retryInterval) {
			return
		}
	}
	close(b.tracker.loaded)
	for saved := []Key(nil); ; {
		_, n := b.gateways()
		if !pause.For(ctx, max(backupInterval, time.Duration(n)*backupIntervalPerGateway)) {
			return
		}
		streams := b.tracker.unended()
		keys := keysOf(streams)
		if slices.Equal(keys, saved) {
			continue
		}
		if err := b.save(ctx, streams, time.Now()); err != nil {
			b.log.Debug().Err(err).Msg("failed to save the origins of streams; retrying")
			continue
		}
		saved = keys
	}
}

// keysOf returns the keys of streams in order.
func keysOf(streams []Stream) []Key {
	keys := make([]Key, len(streams))
	for i := range streams {
		keys[i] = streams[i].Key
	}
	slices.Sort(keys)
	return keys
}

func (b *Backup) key() string { return backupPrefix + url.PathEscape(b.gateway) }

// save replaces the row of this gateway.
func (b *Backup) save(ctx context.Context, streams []Stream, now time.Time) error {
	slices.SortFunc(streams, func(a, b Stream) int { return b.Began.Compare(a.Began) })
	row := backupRow{WrittenMs: now.UnixMilli()}
	for _, s := range streams[:min(len(streams), maxBackupStreams)] {
		row.Streams = append(row.Streams, backupStream{Key: s.Key, Version: s.Version, Upstream: s.Upstream, StartedMs: s.Started,
			BeganMs: now.Add(s.Began.Sub(now)).UnixMilli()})
	}
	value, err := json.Marshal(&row)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = b.rows.Commit(ctx, storage.Transaction{Writes: []storage.Write{{Key: b.key(), Value: value, Always: true}}})
	return trace.Wrap(err)
}

// load takes over the streams of all rows and removes rows that are of no use any more. The
// streams of the row of this gateway, which it replaces, become its own.
func (b *Backup) load(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	loaded := 0
	for after := ""; ; {
		rows, err := b.rows.Scan(ctx, backupPrefix, after, backupScanRows)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, r := range rows {
			streams, obsolete := b.decode(r, now)
			if obsolete {
				b.remove(ctx, r)
				continue
			}
			loaded += len(streams)
			b.tracker.restore(streams, r.Key == b.key())
		}
		if len(rows) < backupScanRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	if loaded > 0 {
		b.log.Info().Int("streams", loaded).Msg("loaded the origins of streams")
	}
	return nil
}

// decode returns the streams of a row that may still be resumed. It reports whether the row
// is too old to hold any.
func (b *Backup) decode(r storage.Row, now time.Time) (streams []Stream, obsolete bool) {
	var row backupRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		b.log.Error().Err(err).Str("key", r.Key).Msg("invalid row of the origins of streams")
		return nil, false
	}
	if now.Sub(time.UnixMilli(row.WrittenMs)) > backupRetention {
		return nil, true
	}
	for _, s := range row.Streams {
		began := time.UnixMilli(s.BeganMs)
		if began.After(now) {
			began = now // clocks differ
		}
		if now.Sub(began) <= StreamLifetime {
			streams = append(streams, Stream{Key: s.Key, Version: s.Version, Upstream: s.Upstream, Started: s.StartedMs, Began: now.Add(began.Sub(now))})
		}
	}
	return streams, false
}

func (b *Backup) remove(ctx context.Context, r storage.Row) {
	tx := storage.Transaction{Writes: []storage.Write{{Key: r.Key, IfVersion: r.Version, Delete: true}}}
	if _, err := b.rows.Commit(ctx, tx); err != nil {
		b.log.Debug().Err(err).Str("key", r.Key).Msg("failed to remove an old row of the origins of streams")
	}
}
