package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/platform"
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
	ctx, cancel := context.WithTimeout(s.ctx, s.config.Settle)
	defer cancel()
	retry := newBackOff()
	for {
		if s.settleOnce(ctx, key, &record) {
			return
		}
		if !sleep(ctx, retry.NextBackOff()) {
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
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return false
	case have.Attempt == record.Attempt && have.State == record.State:
		return true
	case have.Attempt != record.Attempt && have.State != StateNotRun:
		return true // its conditions have failed for good
	}
	_, err = s.put(ctx, key, record, row.Version)
	return err == nil
}

// sweepPage is the number of rows that one Sweep reads.
const sweepPage = 100

// Sweep removes rows and their objects that are older than the retention. One
// call reads one page; the next call continues after it. It returns the number
// of rows removed. Sweep must not be called concurrently.
func (s *Store) Sweep(ctx context.Context, now time.Time) (int, error) {
	rows, err := s.config.Table.Scan(ctx, rowPrefix, s.sweepAfter, sweepPage)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	s.sweepAfter = ""
	if len(rows) == sweepPage {
		s.sweepAfter = rows[len(rows)-1].Key
	}
	removed := 0
	for _, row := range rows {
		record, err := decode(row.Value)
		if err != nil {
			return removed, trace.Wrap(err, row.Key)
		}
		if now.Sub(record.Begun) <= s.config.Retention {
			continue
		}
		if err := s.remove(ctx, row, record); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// remove deletes the object first, so that none is left without a row.
func (s *Store) remove(ctx context.Context, row platform.Row, r *Record) error {
	if r.Answer != nil && r.Answer.Object != "" {
		if err := s.config.Objects.Delete(ctx, r.Answer.Object); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := s.config.Table.Commit(ctx, platform.Transaction{
		Writes: []platform.Write{{Key: row.Key, IfVersion: row.Version, Delete: true}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return trace.Wrap(err)
}
