package idempotency

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Config of a Store. Zero values take the defaults.
type Config struct {
	Table            storage.Table
	Objects          storage.Objects
	BeginTimeout     time.Duration // a slower table counts as unavailable
	SettleTimeout    time.Duration // how long a row with an open write is pursued in the background
	MaxSettling      int           // rows pursued at once; more are left to their deadline
	MaxInlineBytes   int           // larger answers are stored as objects
	MaxResponseBytes int           // larger answers are not kept
	Retention        time.Duration
}

// Defaults of Config.
const (
	DefaultBeginTimeout     = 2 * time.Second
	DefaultSettleTimeout    = 5 * time.Minute
	DefaultMaxSettling      = 1024
	DefaultMaxInlineBytes   = 16 << 10
	DefaultMaxResponseBytes = 8 << 20
	DefaultRetention        = 24 * time.Hour
)

func (c Config) withDefaults() Config {
	setDefault(&c.BeginTimeout, DefaultBeginTimeout)
	setDefault(&c.SettleTimeout, DefaultSettleTimeout)
	setDefault(&c.MaxSettling, DefaultMaxSettling)
	setDefault(&c.MaxInlineBytes, DefaultMaxInlineBytes)
	setDefault(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&c.Retention, DefaultRetention)
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Store reads and writes intent rows.
type Store struct {
	config Config
	cancel context.CancelFunc
	ctx    context.Context // of the work in the background

	mu       sync.Mutex
	settling int
	closed   bool
	idle     sync.WaitGroup
}

// New returns a store over the table and objects of c.
func New(c Config) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{config: c.withDefaults(), ctx: ctx, cancel: cancel}
}

// Close waits for the rows pursued in the background until ctx ends, then
// leaves them to their deadlines.
func (s *Store) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	s.idle.Wait()
	s.cancel()
}

// Result of Begin. Intent is set for Fresh, Answer for Recorded.
type Result struct {
	Outcome  Outcome
	Intent   *Intent
	Response *Response
	Err      error // of Unavailable, and of Unknown when a recorded answer cannot be read
}

// Intent is the right to dispatch the one attempt of a call. Exactly one of
// Finish, Unknown and NotRun must be called.
type Intent struct {
	store   *Store
	key     string
	record  Record
	version uint64 // of the row with the record
}

// Begin makes sure that the call's row names its attempt, before dispatch. It
// returns Unavailable, and the call must not be dispatched, unless that is certain.
func (s *Store) Begin(ctx context.Context, c Call, now time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, s.config.BeginTimeout)
	defer cancel()
	in := &Intent{store: s, key: rowKey(&c), record: Record{
		State: StateStarted, Attempt: c.Attempt, RequestHash: c.RequestHash, StartedAt: now, Deadline: c.Deadline,
	}}
	var replaces uint64
	written := false // a write of this attempt may have taken effect
	retry := newBackOff()
	for {
		version, err := s.put(ctx, in.key, &in.record, replaces, true)
		if err == nil {
			in.version = version
			return Result{Outcome: Fresh, Intent: in}
		}
		written = written || mayHaveWritten(err)
		row, record, readErr := s.read(ctx, in.key)
		switch {
		case readErr == nil && record.Attempt == c.Attempt:
			in.version = row.Version
			return Result{Outcome: Fresh, Intent: in}
		case readErr == nil:
			outcome := judge(record, &c, now)
			if outcome != Fresh {
				return s.answerEarlier(ctx, outcome, record)
			}
			replaces = row.Version
		case errors.Is(readErr, storage.ErrNotFound):
			replaces = 0
		default:
			err = readErr
		}
		if errors.Is(err, storage.ErrConflict) {
			continue // the row just read shows what to write instead
		}
		if !pause.For(ctx, retry.NextBackOff()) {
			if written {
				s.pursue(in, StateNotRun)
			}
			return Result{Outcome: Unavailable, Err: err}
		}
	}
}

// answerEarlier completes the outcome of an earlier attempt.
func (s *Store) answerEarlier(ctx context.Context, o Outcome, r *Record) Result {
	if o != Recorded {
		return Result{Outcome: o}
	}
	if r.Response == nil {
		return Result{Outcome: Unknown}
	}
	a := *r.Response
	if a.Object != "" {
		body, err := s.readObject(ctx, a.Object)
		if err != nil {
			return Result{Outcome: Unknown, Err: err}
		}
		a.Body = body
	}
	return Result{Outcome: Recorded, Response: &a}
}

func (s *Store) readObject(ctx context.Context, key string) ([]byte, error) {
	r, err := s.config.Objects.Get(ctx, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r, int64(s.config.MaxResponseBytes)+1))
	return body, trace.Wrap(err)
}

func mayHaveWritten(err error) bool {
	return !errors.Is(err, storage.ErrConflict) && !errors.Is(err, storage.ErrThrottled)
}

// put writes an intent row. list is set when the row comes to name this
// attempt, and lists its age for the removal.
func (s *Store) put(ctx context.Context, key string, r *Record, ifVersion uint64, list bool) (uint64, error) {
	tx := storage.Transaction{Writes: []storage.Write{{Key: key, Value: encode(r), IfVersion: ifVersion}}}
	if list {
		tx.Writes = append(tx.Writes, storage.Write{Key: expiryKey(key, r.StartedAt), Always: true})
	}
	versions, err := s.config.Table.Commit(ctx, tx)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return versions[0], nil
}

func (s *Store) read(ctx context.Context, key string) (storage.Row, *Record, error) {
	row, err := s.config.Table.Get(ctx, key)
	if err != nil {
		return row, nil, trace.Wrap(err)
	}
	record, err := decode(row.Value)
	return row, record, trace.Wrap(err)
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	return b
}

// Finish records the whole answer. On an error the answer is still the
// caller's; the row is pursued in the background.
func (in *Intent) Finish(ctx context.Context, a Response) error {
	kept, err := in.store.keep(ctx, in, a)
	if err != nil || kept == nil {
		return trace.NewAggregate(err, in.end(ctx, StateUnknown))
	}
	in.record.Response = kept
	return in.end(ctx, StateDone)
}

// MarkUnknown records that the attempt may have run and has no answer.
func (in *Intent) MarkUnknown(ctx context.Context) error {
	return in.end(ctx, StateUnknown)
}

// MarkNotRun records that the attempt was not run, so that a resend may. The
// attempt must not be dispatched any more.
func (in *Intent) MarkNotRun(ctx context.Context) error {
	return in.end(ctx, StateNotRun)
}

// keep moves a large body to an object. It returns nil for one that is too large.
func (s *Store) keep(ctx context.Context, in *Intent, a Response) (*Response, error) {
	if len(a.Body) > s.config.MaxResponseBytes {
		return nil, nil
	}
	if len(a.Body) <= s.config.MaxInlineBytes {
		return &a, nil
	}
	a.Object = objectKey(in)
	if err := s.config.Objects.Put(ctx, a.Object, bytes.NewReader(a.Body)); err != nil {
		return nil, trace.Wrap(err)
	}
	a.Body = nil
	return &a, nil
}

func objectKey(in *Intent) string {
	return in.key + "/" + string(in.record.Attempt)
}

// end writes the final state once and leaves the rest to the background.
func (in *Intent) end(ctx context.Context, state State) error {
	in.record.State = state
	version, err := in.store.put(ctx, in.key, &in.record, in.version, false)
	if err != nil {
		in.store.pursue(in, state)
		return err
	}
	in.version = version
	return nil
}
