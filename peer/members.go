package peer

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

// memberWatchWait is the time between two responses of the member feed. Running
// gateways announce themselves in reports; the rows are needed only for members
// that have not been heard yet.
const memberWatchWait = 10 * time.Second

// memberKeyPrefix precedes the name of a member in row keys.
const memberKeyPrefix = "peers/members/"

// Register writes the row by which other gateways discover this process. It
// retries until it succeeds or ctx is done.
func Register(ctx context.Context, table storage.Table, self Member, retry time.Duration, log zerolog.Logger) {
	value, err := json.Marshal(self)
	if err != nil {
		log.Error().Err(err).Msg("failed to encode the member row")
		return
	}
	tx := storage.Transaction{Writes: []storage.Write{{Key: memberKeyPrefix + self.Name, Value: value, Always: true}}}
	for {
		_, err := table.Commit(ctx, tx)
		if err == nil {
			log.Info().Str("address", self.Address).Msg("member row written")
			return
		}
		log.Warn().Err(err).Msg("failed to write the member row; retrying")
		if !pause.For(ctx, retry) {
			return
		}
	}
}

// Unregister removes the row of this process, so that gateways that start later don't
// count it among those that they ought to hear. A later process has another row.
func Unregister(ctx context.Context, table storage.Table, self Member) error {
	row, err := table.Get(ctx, memberKeyPrefix+self.Name)
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	var m Member
	if err := json.Unmarshal(row.Value, &m); err != nil || m.Incarnation != self.Incarnation {
		return trace.Wrap(err)
	}
	_, err = table.Commit(ctx, storage.Transaction{Writes: []storage.Write{{Key: row.Key, IfVersion: row.Version, Delete: true}}})
	return trace.Wrap(err)
}

const (
	// memberRetention is how long a member must have been silent before its row is
	// removed. It exceeds any outage after which a machine comes back; one that comes
	// back later reports to its peers and writes its row again at its next start.
	memberRetention = time.Hour
	// memberSweepInterval is how often rows are checked against memberRetention.
	memberSweepInterval = time.Minute
)

// memberRows holds the rows of members that were read from the store, by name.
type memberRows struct {
	mu   sync.Mutex
	rows map[string]memberRow
}

type memberRow struct {
	Member
	version uint64
	since   time.Time // when this process first read this version
}

// WatchMembers adds the members in the store to an exchange until ctx is done, and
// removes the rows of members that have been silent for memberRetention.
func WatchMembers(ctx context.Context, feed storage.Feed, table storage.Table, exchange *Exchange, log zerolog.Logger) {
	known := memberRows{rows: make(map[string]memberRow)}
	var sweeper sync.WaitGroup
	defer sweeper.Wait()
	sweeper.Go(func() {
		for pause.For(ctx, memberSweepInterval) {
			known.sweep(ctx, table, exchange, log)
		}
	})
	apply := func(r storage.Row, removed bool) {
		name := strings.TrimPrefix(r.Key, memberKeyPrefix)
		if removed {
			known.remove(name)
			exchange.RemoveMember(name, time.Now().Add(-memberRetention))
			return
		}
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Name != name {
			log.Error().Err(err).Str("key", r.Key).Msg("invalid member row")
			return
		}
		known.add(m, r.Version)
		exchange.AddMember(m)
	}
	storage.Follow(ctx, storage.Follower{Feed: feed, Prefix: memberKeyPrefix, Wait: memberWatchWait, Log: log,
		OnSnapshot: func(rows []storage.Row, _ uint64) {
			for _, r := range rows {
				apply(r, false)
			}
			exchange.membersRead.Store(true)
			exchange.countMembers(time.Now())
		},
		OnChanges: func(changes []storage.Change) {
			for _, c := range changes {
				apply(c.Row, c.Removed)
			}
		}})
}

func (k *memberRows) add(m Member, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.rows[m.Name].version != version {
		k.rows[m.Name] = memberRow{Member: m, version: version, since: time.Now()}
	}
}

func (k *memberRows) remove(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.rows, name)
}

// expired returns the rows of members that have been silent since before the given
// time, as far as this process knows.
func (k *memberRows) expired(exchange *Exchange, before time.Time) []memberRow {
	heard := make(map[string]time.Time)
	for _, m := range exchange.Members() {
		heard[m.Name] = m.LastHeard
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []memberRow
	for name, r := range k.rows {
		if name != exchange.cfg.Self.Name && r.since.Before(before) && heard[name].Before(before) {
			list = append(list, r)
		}
	}
	return list
}

// sweep removes the rows of members that have been silent for memberRetention. A row
// that its member wrote again meanwhile has another version and stays. Only primary
// collectors sweep, so that few gateways try.
func (k *memberRows) sweep(ctx context.Context, table storage.Table, exchange *Exchange, log zerolog.Logger) {
	before := time.Now().Add(-memberRetention)
	if !exchange.isPrimary() {
		return
	}
	for _, r := range k.expired(exchange, before) {
		_, err := table.Commit(ctx, storage.Transaction{Writes: []storage.Write{
			{Key: memberKeyPrefix + r.Name, IfVersion: r.version, Delete: true}}})
		log.Info().Err(err).Str("member", r.Name).Str("address", r.Address).Uint64("row", r.version).
			Dur("silent_for", memberRetention).Bool("removed", err == nil).Msg("row of a silent member")
		if err == nil {
			k.remove(r.Name)
			exchange.RemoveMember(r.Name, before)
		}
	}
}
