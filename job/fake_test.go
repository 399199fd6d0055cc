package job

import (
	"bytes"
	"context"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/platform"
)

// fault is what happens to one call of the fake platform.
type fault int

const (
	faultNone      fault = iota
	faultDown            // no effect, ErrUnavailable
	faultLost            // takes effect, ErrUnavailable
	faultThrottled       // no effect, ErrThrottled
	faultLate            // ErrUnavailable now, takes effect after a second
)

// fake is an in-memory platform. Calls pause for latency and meet faults.
type fake struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	objects map[string][]byte
	written map[string]time.Time
	latency func() time.Duration
	fault   func(op, key string) fault

	commits, puts, reads, rowsRead, bytesRead int
}

func newFake() *fake {
	return &fake{
		rows: make(map[string]platform.Row), objects: make(map[string][]byte),
		written: make(map[string]time.Time),
	}
}

// meet gives the fault of a call, after its latency.
func (f *fake) meet(op, key string) fault {
	f.mu.Lock()
	latency, hook := f.latency, f.fault
	f.mu.Unlock()
	if latency != nil {
		time.Sleep(latency())
	}
	if hook == nil {
		return faultNone
	}
	return hook(op, key)
}

func (k fault) err() error {
	switch k {
	case faultDown, faultLost, faultLate:
		return platform.ErrUnavailable
	case faultThrottled:
		return platform.ErrThrottled
	}
	return nil
}

func (f *fake) setFault(hook func(op, key string) fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = hook
}

func (f *fake) Objects() platform.Objects { return fakeObjects{f} }

func (f *fake) Instances(context.Context, uint64) ([]platform.Instance, uint64, error) {
	return nil, 0, nil
}

func (f *fake) Get(_ context.Context, key string) (platform.Row, error) {
	k := f.meet("get", key)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if k != faultNone {
		return platform.Row{}, k.err()
	}
	row, ok := f.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	f.rowsRead++
	f.bytesRead += len(row.Value)
	return row, nil
}

func (f *fake) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	k := f.meet("scan", prefix)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if k != faultNone {
		return nil, k.err()
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	rows = rows[:min(limit, len(rows))]
	f.rowsRead += len(rows)
	for _, row := range rows {
		f.bytesRead += len(row.Value)
	}
	return rows, nil
}

func (f *fake) Commit(_ context.Context, tx platform.Transaction) ([]uint64, error) {
	k := f.meet("commit", tx.Writes[0].Key)
	switch k {
	case faultDown, faultThrottled:
		return nil, k.err()
	case faultLate:
		time.AfterFunc(time.Second, func() { _, _ = f.apply(tx) })
		return nil, k.err()
	}
	versions, err := f.apply(tx)
	if k == faultLost {
		return nil, k.err()
	}
	return versions, err
}

func (f *fake) apply(tx platform.Transaction) ([]uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	for _, c := range tx.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return nil, platform.ErrConflict
		}
	}
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

type fakeObjects struct{ f *fake }

func (o fakeObjects) Put(_ context.Context, key string, body io.Reader) error {
	b, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	k := o.f.meet("put", key)
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	o.f.puts++
	if k == faultNone || k == faultLost || k == faultLate {
		o.f.objects[key] = b
		o.f.written[key] = time.Now()
	}
	return k.err()
}

func (o fakeObjects) Get(_ context.Context, key string) (io.ReadCloser, error) {
	k := o.f.meet("open", key)
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	o.f.reads++
	if k != faultNone {
		return nil, k.err()
	}
	b, ok := o.f.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return io.NopCloser(bytes.NewReader(b)), nil
}

func (o fakeObjects) Delete(_ context.Context, key string) error {
	k := o.f.meet("delete", key)
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	if k == faultNone || k == faultLost {
		delete(o.f.objects, key)
	}
	return k.err()
}

func (o fakeObjects) List(_ context.Context, prefix, after string, limit int) ([]platform.ObjectInfo, error) {
	k := o.f.meet("list", prefix)
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	if k != faultNone {
		return nil, k.err()
	}
	var list []platform.ObjectInfo
	for key, b := range o.f.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, platform.ObjectInfo{Key: key, Bytes: int64(len(b)), Written: o.f.written[key]})
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	return list[:min(limit, len(list))], nil
}
