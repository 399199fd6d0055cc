package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

// pursue writes the state to the row of an ended attempt until it is certain.
// An earlier write of the attempt may still take effect at any time before.
func (s *Store) pursue(in *Intent, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.settling >= s.config.MaxSettling {
		return // the row keeps its state; a resend is answered unknown after the deadline
	}
	s.settling++
	s.idle.Add(1)
	record := in.record
	record.State = state
	go s.settle(in.key, record)
}

func (s *Store) settle(key string, record Record) {
	defer func() {
		s.mu.Lock()
		s.settling--
		s.mu.Unlock()
		s.idle.Done()
	}()
	ctx, cancel := context.WithTimeout(s.ctx, s.config.SettleTimeout)
	defer cancel()
	retry := newBackOff()
	for {
		if s.settleOnce(ctx, key, &record) {
			return
		}
		if !pause.For(ctx, retry.NextBackOff()) {
			return
		}
	}
}

// settleOnce reports whether the row is certain to keep the record's state, or
// belongs to another attempt. An absent row is written too: that makes the
// condition of a delayed insertion fail.
func (s *Store) settleOnce(ctx context.Context, key string, record *Record) bool {
	row, have, err := s.read(ctx, key)
	switch {
	case errors.Is(err, storage.ErrNotFound):
	case err != nil:
		return false
	case have.Attempt == record.Attempt && have.State == record.State:
		return true
	case have.Attempt != record.Attempt && have.State != StateNotRun:
		return true // its conditions have failed for good
	}
	list := have == nil || have.Attempt != record.Attempt
	_, err = s.put(ctx, key, record, row.Version, list)
	return err == nil
}

// SweepPageSize is the number of intents that one Sweep removes at most.
const SweepPageSize = 100

// Sweep removes one page of intents, with their objects, that are older than
// the retention, oldest first, and returns their number. A concurrent Sweep on
// another entry does no harm.
func (s *Store) Sweep(ctx context.Context, now time.Time) (int, error) {
	rows, err := s.config.Table.Scan(ctx, expiryPrefix, "", SweepPageSize)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	tx := storage.Transaction{}
	removed := 0
	for _, row := range rows {
		key, begun, err := parseExpiryKey(row.Key)
		if err != nil {
			return 0, err
		}
		if !s.expired(begun, now) {
			break // later rows are younger
		}
		tx.Writes = append(tx.Writes, storage.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
		gone, err := s.expire(ctx, key, now, &tx)
		if err != nil {
			return 0, err
		}
		if gone {
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

func (s *Store) expired(begun, now time.Time) bool {
	return now.Sub(begun) > s.config.Retention
}

// expire adds the removal of an intent row to the transaction, unless a later
// attempt has taken the row over. Its object goes first, so that none is left
// without a row.
func (s *Store) expire(ctx context.Context, key string, now time.Time, tx *storage.Transaction) (bool, error) {
	row, record, err := s.read(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if !s.expired(record.StartedAt, now) || removes(tx, key) {
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

// removes reports whether the transaction removes the row already: two listings
// of one row can be in the same page.
func removes(tx *storage.Transaction, key string) bool {
	for i := range tx.Writes {
		if tx.Writes[i].Key == key {
			return true
		}
	}
	return false
}
