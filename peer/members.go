package peer

import (
	"context"
	"encoding/json"
	"strings"
	"time"

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

// WatchMembers adds the members in the store to an exchange until ctx is done.
// Rows of members that are permanently gone are not deleted; such members are
// sent reports at a reduced rate.
func WatchMembers(ctx context.Context, feed storage.Feed, exchange *Exchange, log zerolog.Logger) {
	addRow := func(r storage.Row) {
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Name != strings.TrimPrefix(r.Key, memberKeyPrefix) {
			log.Error().Err(err).Str("key", r.Key).Msg("invalid member row")
			return
		}
		exchange.AddMember(m)
	}
	storage.Follow(ctx, storage.Follower{Feed: feed, Prefix: memberKeyPrefix, Wait: memberWatchWait, Log: log, OnRow: addRow})
}
