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

	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Config configures a Store. Zero values are replaced by the defaults.
type Config struct {
	Table            storage.Table
	Objects          storage.Objects
	BeginTimeout     time.Duration // the table counts as unavailable after it
	SettleTimeout    time.Duration // how long the background retries the write of a final state
	MaxSettling      int           // rows settled concurrently in the background; further rows are left to their deadline
	MaxInlineBytes   int           // larger bodies are stored as objects
	MaxResponseBytes int           // larger responses are not stored
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
	ctx    context.Context // of background work

	mu         sync.Mutex
	settling   int
	closed     bool
	background sync.WaitGroup
}

// New returns a Store that uses the table and objects of c.
func New(c Config) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{config: c.withDefaults(), ctx: ctx, cancel: cancel}
}

// Close waits for background work until ctx is done; rows that are not settled by then
// are left to their deadlines.
func (s *Store) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	s.background.Wait()
	s.cancel()
}

// Result is the result of Begin. Intent is set for Fresh, Response for Recorded.
type Result struct {
	Outcome  Outcome
	Intent   *Intent
	Response *Response
	Err      error // for Unavailable, and for Unknown if a recorded response cannot be read
	// Earlier is, for Unavailable, Unknown if the key has a row that could not be read.
	Earlier effect.Outcome
}

// Intent represents a call whose row in the store names its only attempt. Its holder
// may dispatch that attempt and must then record the outcome by calling exactly one of
// Finish, MarkUnknown and MarkNotRun.
type Intent struct {
	store   *Store
	key     string
	record  Record
	version uint64 // of the row
}

// Begin ensures, before dispatch, that the call's row names its attempt. If that is not
// certain, it returns Unavailable, and the call must not be dispatched.
func (s *Store) Begin(ctx context.Context, c Call, now time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, s.config.BeginTimeout)
	defer cancel()
	in := &Intent{store: s, key: rowKey(&c), record: Record{
		State: StateStarted, Attempt: c.Attempt, RequestHash: c.RequestHash, StartedAt: now, Deadline: c.Deadline,
	}}
	var replaces uint64
	known := effect.NotPerformed   // of all writes of this attempt
	earlier := effect.NotPerformed // unless a row was met that could not be read
	retry := newBackOff()
	for {
		version, err := s.put(ctx, in.key, &in.record, replaces, true)
		if err == nil {
			in.version = version
			return Result{Outcome: Fresh, Intent: in}
		}
		known = known.Either(storage.WriteOutcome(err))
		row, record, readErr := s.read(ctx, in.key)
		switch {
		case readErr == nil && record.Attempt == c.Attempt:
			in.version = row.Version
			return Result{Outcome: Fresh, Intent: in}
		case readErr == nil:
			outcome := evaluate(record, &c, now)
			if outcome != Fresh {
				return s.earlierResult(ctx, outcome, record)
			}
			replaces, earlier = row.Version, effect.NotPerformed // marked as not run
		case errors.Is(readErr, storage.ErrNotFound):
			replaces, earlier = 0, effect.NotPerformed
		default:
			if errors.Is(err, storage.ErrConflict) {
				earlier = effect.Unknown
			}
			err = readErr
		}
		if errors.Is(err, storage.ErrConflict) {
			continue // retry with the version of the row just read
		}
		if !pause.For(ctx, retry.NextBackOff()) {
			if known != effect.NotPerformed {
				s.settleAsync(in, StateNotRun)
			}
			return Result{Outcome: Unavailable, Err: err, Earlier: earlier}
		}
	}
}

// earlierResult returns the result for a call that an earlier attempt has used.
func (s *Store) earlierResult(ctx context.Context, o Outcome, r *Record) Result {
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

// put writes an intent row. indexed is set if the row did not name this attempt before;
// the expiry row is then written too.
func (s *Store) put(ctx context.Context, key string, r *Record, ifVersion uint64, indexed bool) (uint64, error) {
	tx := storage.Transaction{Writes: []storage.Write{{Key: key, Value: encode(r), IfVersion: ifVersion}}}
	if indexed {
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

// Finish records the complete response. If it returns an error, the response is still
// valid for the caller, and the row is settled in the background.
func (in *Intent) Finish(ctx context.Context, a Response) error {
	stored, err := in.store.storeBody(ctx, in, a)
	if err != nil || stored == nil {
		return trace.NewAggregate(err, in.finalize(ctx, StateUnknown))
	}
	in.record.Response = stored
	return in.finalize(ctx, StateDone)
}

// MarkUnknown records that the attempt may have run and that there is no response.
func (in *Intent) MarkUnknown(ctx context.Context) error {
	return in.finalize(ctx, StateUnknown)
}

// MarkNotRun records that the attempt was not run, so that a resend may run. The
// attempt must not be dispatched afterwards.
func (in *Intent) MarkNotRun(ctx context.Context) error {
	return in.finalize(ctx, StateNotRun)
}

// storeBody moves a large body to an object. It returns nil for a response that is too
// large.
func (s *Store) storeBody(ctx context.Context, in *Intent, a Response) (*Response, error) {
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

// objectKey returns the object key of the response to an intent's attempt, for responses
// too large for the row.
func objectKey(in *Intent) string {
	return in.key + "/" + string(in.record.Attempt)
}

// finalize writes the final state once and leaves retries to the background.
func (in *Intent) finalize(ctx context.Context, state State) error {
	in.record.State = state
	version, err := in.store.put(ctx, in.key, &in.record, in.version, false)
	if err != nil {
		in.store.settleAsync(in, state)
		return err
	}
	in.version = version
	return nil
}
