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

// membersWait is the time between two answers of the feed of members. Gateways
// that run tell of themselves; rows are for those that nobody has heard yet.
const membersWait = 10 * time.Second

// memberPrefix is followed by the name of a member.
const memberPrefix = "peers/members/"

// Register writes the row that tells other gateways of this process. It tries
// until it succeeds or ctx ends.
func Register(ctx context.Context, table storage.Table, self Member, retry time.Duration, log zerolog.Logger) {
	value, err := json.Marshal(self)
	if err != nil {
		log.Error().Err(err).Msg("member row not encoded")
		return
	}
	tx := storage.Transaction{Writes: []storage.Write{{Key: memberPrefix + self.Name, Value: value, Always: true}}}
	for {
		_, err := table.Commit(ctx, tx)
		if err == nil {
			log.Info().Str("address", self.Address).Msg("member row written")
			return
		}
		log.Warn().Err(err).Msg("member row not written")
		if !pause.For(ctx, retry) {
			return
		}
	}
}

// WatchMembers tells an exchange of the members in the store until ctx ends.
// Rows of members that are gone for good stay; reports to them are rare.
func WatchMembers(ctx context.Context, feed storage.Feed, exchange *Exchange, log zerolog.Logger) {
	join := func(r storage.Row) {
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Name != strings.TrimPrefix(r.Key, memberPrefix) {
			log.Error().Err(err).Str("key", r.Key).Msg("member row not understood")
			return
		}
		exchange.AddMember(m)
	}
	storage.Follow(ctx, storage.Follower{Feed: feed, Prefix: memberPrefix, Wait: membersWait, Log: log, Row: join})
}
