package idempotency

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/platform"
)

// fakeTable is a table whose calls fail at random in every way that the
// interface allows, including a write that takes effect after its error.
type fakeTable struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	faults  float64 // share of calls that fail
	down    bool
	rows    map[string]platform.Row
	version uint64
	objects map[string][]byte
}

func newTable(seed uint64, faults float64) *fakeTable {
	return &fakeTable{
		rnd: rand.New(rand.NewPCG(seed, 7)), faults: faults,
		rows: make(map[string]platform.Row), objects: make(map[string][]byte),
	}
}

// latest bounds how long after its error a write can take effect.
const latest = 20 * time.Second

func (f *fakeTable) Get(ctx context.Context, key string) (platform.Row, error) {
	f.delay(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil || f.down || f.rnd.Float64() < f.faults {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, row)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list[:min(limit, len(list))], nil
}

func (f *fakeTable) Commit(ctx context.Context, tx platform.Transaction) ([]uint64, error) {
	f.delay(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	if f.rnd.Float64() >= f.faults {
		return f.apply(tx)
	}
	switch f.rnd.IntN(4) {
	case 0:
		return nil, platform.ErrThrottled
	case 1:
		_, _ = f.apply(tx) // the answer is lost
	case 2:
		wait := time.Duration(f.rnd.Int64N(int64(latest)))
		time.AfterFunc(wait, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.apply(tx)
		})
	}
	return nil, platform.ErrUnavailable
}

// delay lets calls of several entries overlap.
func (f *fakeTable) delay(ctx context.Context) {
	f.mu.Lock()
	d := time.Duration(f.rnd.Int64N(int64(10 * time.Millisecond)))
	if f.faults > 0 && f.rnd.IntN(20) == 0 {
		d = 3 * time.Second // slower than Begin may wait
	}
	f.mu.Unlock()
	sleep(ctx, d)
}

func (f *fakeTable) apply(tx platform.Transaction) ([]uint64, error) {
	for _, w := range tx.Writes {
		if !w.Always && f.rows[w.Key].Version != w.IfVersion {
			return nil, platform.ErrConflict
		}
	}
	var versions []uint64
	for _, w := range tx.Writes {
		f.version++
		versions = append(versions, f.version)
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.version, Value: w.Value}
	}
	return versions, nil
}

func (f *fakeTable) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = 0
	f.down = false
}

// fakeObjects is an object store in memory that does not fail.
type fakeObjects struct {
	platform.Objects // nil; List is not used
	f                *fakeTable
}

func (o fakeObjects) Put(_ context.Context, key string, body io.Reader) error {
	b, err := io.ReadAll(body)
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	o.f.objects[key] = b
	return err
}

func (o fakeObjects) Get(_ context.Context, key string) (io.ReadCloser, error) {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	b, ok := o.f.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return io.NopCloser(bytes.NewReader(b)), nil
}

func (o fakeObjects) Delete(_ context.Context, key string) error {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	delete(o.f.objects, key)
	return nil
}
