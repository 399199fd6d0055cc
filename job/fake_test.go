package job

import (
	"bytes"
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

// fault is a failure injected into one call of the fake platform.
type fault int

const (
	faultNone        fault = iota
	faultUnavailable       // not applied, returns ErrUnavailable
	faultAnswerLost        // applied, returns ErrUnavailable
	faultThrottled         // not applied, returns ErrThrottled
	faultAppliedLate       // returns ErrUnavailable, applied a second later
)

func (k fault) err() error {
	switch k {
	case faultNone:
		return nil
	case faultThrottled:
		return storage.ErrThrottled
	}
	return storage.ErrUnavailable
}

func (k fault) takesEffect() bool {
	return k == faultNone || k == faultAnswerLost || k == faultAppliedLate
}

// fakePlatform is one entry's connection to an in-memory platform. Calls have a
// latency and pass the gate and fault hooks, which may make them fail.
type fakePlatform struct {
	*platformState
	gate func(op string) fault // may be nil
}

type platformState struct {
	mu      sync.Mutex
	rows    map[string]storage.Row
	version uint64
	objects map[string][]byte
	written map[string]time.Time
	latency func() time.Duration
	fault   func(op, key string) fault

	commits, puts, reads, rowsRead, bytesRead int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{platformState: &platformState{
		rows: make(map[string]storage.Row), objects: make(map[string][]byte),
		written: make(map[string]time.Time),
	}}
}

// enter sleeps for the latency, returns the fault of the call, and leaves mu locked.
func (f *fakePlatform) enter(op, key string) fault {
	f.mu.Lock()
	latency, hook := f.latency, f.fault
	f.mu.Unlock()
	if latency != nil {
		time.Sleep(latency())
	}
	k := faultNone
	if f.gate != nil {
		k = f.gate(op)
	}
	if hook != nil && k == faultNone {
		k = hook(op, key)
	}
	f.mu.Lock()
	return k
}

func (f *fakePlatform) setFault(hook func(op, key string) fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = hook
}

// page returns the first keys with a prefix that sort after a key.
func page[V any](m map[string]V, prefix, after string, limit int) []string {
	keys := slices.DeleteFunc(slices.Collect(maps.Keys(m)), func(key string) bool {
		return !strings.HasPrefix(key, prefix) || key <= after
	})
	slices.Sort(keys)
	return keys[:min(limit, len(keys))]
}

func (f *fakePlatform) Objects() storage.Objects { return fakeObjects{f} }

func (f *fakePlatform) Instances(context.Context, uint64) ([]storage.Instance, uint64, error) {
	return nil, 0, nil
}

func (f *fakePlatform) Get(_ context.Context, key string) (storage.Row, error) {
	k := f.enter("get", key)
	defer f.mu.Unlock()
	f.reads++
	row, ok := f.rows[key]
	if k == faultNone && !ok {
		return storage.Row{}, storage.ErrNotFound
	}
	f.rowsRead++
	f.bytesRead += len(row.Value)
	return row, k.err()
}

func (f *fakePlatform) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	k := f.enter("scan", prefix)
	defer f.mu.Unlock()
	f.reads++
	if k != faultNone {
		return nil, k.err()
	}
	var rows []storage.Row
	for _, key := range page(f.rows, prefix, after, limit) {
		rows = append(rows, f.rows[key])
		f.rowsRead++
		f.bytesRead += len(f.rows[key].Value)
	}
	return rows, nil
}

func (f *fakePlatform) Commit(_ context.Context, tx storage.Transaction) ([]uint64, error) {
	k := f.enter("commit", tx.Writes[0].Key)
	defer f.mu.Unlock()
	if k == faultAppliedLate {
		time.AfterFunc(time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.apply(tx)
		})
	}
	if k != faultNone && k != faultAnswerLost {
		return nil, k.err()
	}
	versions, err := f.apply(tx)
	if k == faultAnswerLost {
		return nil, k.err()
	}
	return versions, err
}

// apply commits a transaction. The caller must hold mu.
func (f *fakePlatform) apply(tx storage.Transaction) ([]uint64, error) {
	f.commits++
	for _, w := range tx.Writes {
		if !w.Always {
			tx.Conditions = append(slices.Clip(tx.Conditions), storage.Condition{Key: w.Key, Version: w.IfVersion})
		}
	}
	for _, c := range tx.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return nil, storage.ErrConflict
		}
	}
	var versions []uint64
	for _, w := range tx.Writes {
		f.version++
		versions = append(versions, f.version)
		f.rows[w.Key] = storage.Row{Key: w.Key, Version: f.version, Value: w.Value}
		if w.Delete {
			delete(f.rows, w.Key)
		}
	}
	return versions, nil
}

type fakeObjects struct{ f *fakePlatform }

func (o fakeObjects) Put(_ context.Context, key string, body io.Reader) error {
	b, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	k := o.f.enter("put", key)
	defer o.f.mu.Unlock()
	o.f.puts++
	if k.takesEffect() {
		o.f.objects[key] = b
		o.f.written[key] = time.Now()
	}
	return k.err()
}

func (o fakeObjects) Get(_ context.Context, key string) (io.ReadCloser, error) {
	k := o.f.enter("open", key)
	defer o.f.mu.Unlock()
	o.f.reads++
	b, ok := o.f.objects[key]
	if k == faultNone && !ok {
		return nil, storage.ErrNotFound
	}
	return io.NopCloser(bytes.NewReader(b)), k.err()
}

func (o fakeObjects) Delete(_ context.Context, key string) error {
	k := o.f.enter("delete", key)
	defer o.f.mu.Unlock()
	if k.takesEffect() {
		delete(o.f.objects, key)
	}
	return k.err()
}

func (o fakeObjects) List(_ context.Context, prefix, after string, limit int) ([]storage.ObjectInfo, error) {
	k := o.f.enter("list", prefix)
	defer o.f.mu.Unlock()
	if k != faultNone {
		return nil, k.err()
	}
	var list []storage.ObjectInfo
	for _, key := range page(o.f.objects, prefix, after, limit) {
		list = append(list, storage.ObjectInfo{Key: key, Bytes: int64(len(o.f.objects[key])), Written: o.f.written[key]})
	}
	return list, nil
}
