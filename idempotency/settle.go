package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

// settleAsync writes the state to the row of an ended attempt, in the background and
// until the write is certain. An earlier write of the attempt can take effect at any
// time before.
func (s *Store) settleAsync(in *Intent, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.settling >= s.config.MaxSettling {
		return // the row keeps its state; after the deadline, the outcome of a resend is unknown
	}
	s.settling++
	s.background.Add(1)
	record := in.record
	record.State = state
	go s.settle(in.key, record)
}

func (s *Store) settle(key string, record Record) {
	defer func() {
		s.mu.Lock()
		s.settling--
		s.mu.Unlock()
		s.background.Done()
	}()
	ctx, cancel := context.WithTimeout(s.ctx, s.config.SettleTimeout)
	defer cancel()
	retry := newBackOff()
	for {
		if s.trySettle(ctx, key, &record) {
			return
		}
		if !pause.For(ctx, retry.NextBackOff()) {
			return
		}
	}
}

// trySettle reports whether the row certainly keeps the record's state, or belongs to
// another attempt. A missing row is written too, so that the condition of a delayed
// insert fails.
func (s *Store) trySettle(ctx context.Context, key string, record *Record) bool {
	row, current, err := s.read(ctx, key)
	switch {
	case errors.Is(err, storage.ErrNotFound):
	case err != nil:
		return false
	case current.Attempt == record.Attempt && current.State == record.State:
		return true
	case current.Attempt != record.Attempt && current.State != StateNotRun:
		return true // writes of this attempt can no longer succeed
	}
	indexed := current == nil || current.Attempt != record.Attempt
	_, err = s.put(ctx, key, record, row.Version, indexed)
	return err == nil
}

// SweepPageSize is the maximum number of intents that one Sweep removes.
const SweepPageSize = 100

// Sweep removes one page of intents that are older than the retention, oldest first,
// with their objects, and returns their number. Concurrent sweeps by other entries are
// safe.
func (s *Store) Sweep(ctx context.Context, now time.Time) (int, error) {
	rows, err := s.config.Table.Scan(ctx, expiryPrefix, "", SweepPageSize)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	tx := storage.Transaction{}
	removed := 0
	for _, row := range rows {
		key, startedAt, err := parseExpiryKey(row.Key)
		if err != nil {
			return 0, err
		}
		if !s.isExpired(startedAt, now) {
			break // later rows are newer
		}
		tx.Writes = append(tx.Writes, storage.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
		removable, err := s.addRemoval(ctx, key, now, &tx)
		if err != nil {
			return 0, err
		}
		if removable {
			removed++
		}
	}
	if len(tx.Writes) == 0 {
		return 0, nil
	}
	_, err = s.config.Table.Commit(ctx, tx)
	if errors.Is(err, storage.ErrConflict) {
		return 0, nil // another entry removes the same page
	}
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return removed, nil
}

func (s *Store) isExpired(startedAt, now time.Time) bool {
	return now.Sub(startedAt) > s.config.Retention
}

// addRemoval adds the removal of an intent row to the transaction, unless a later
// attempt has taken the row over. Its object is deleted first, so that no object is
// left without a row.
func (s *Store) addRemoval(ctx context.Context, key string, now time.Time, tx *storage.Transaction) (bool, error) {
	row, record, err := s.read(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if !s.isExpired(record.StartedAt, now) || hasWrite(tx, key) {
		return false, nil
	}
	if record.Response != nil && record.Response.Object != "" {
		if err := s.config.Objects.Delete(ctx, record.Response.Object); err != nil {
			return false, trace.Wrap(err)
		}
	}
	tx.Writes = append(tx.Writes, storage.Write{Key: key, IfVersion: row.Version, Delete: true})
	return true, nil
}

// hasWrite reports whether the transaction already writes the key, since two expiry
// rows of one intent row can be in the same page.
func hasWrite(tx *storage.Transaction, key string) bool {
	for i := range tx.Writes {
		if tx.Writes[i].Key == key {
			return true
		}
	}
	return false
}
