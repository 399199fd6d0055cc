package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

type object struct {
	body    []byte // immutable once stored
	written time.Time
}

// Objects returns the object store.
func (p *Platform) Objects() storage.Objects { return objects{p} }

type objects struct{ platform *Platform }

func (o objects) Put(ctx context.Context, key string, body io.Reader) error {
	if key == "" {
		return fmt.Errorf("%w: object without a key", ErrInvalid)
	}
	content, err := io.ReadAll(body)
	if err != nil {
		return fmt.Errorf("read object body: %w", err)
	}
	p := o.platform
	return p.write(ctx, countObjectWrite, func() error {
		p.objects.put(key, object{body: content, written: p.clock.Now()})
		p.stats.BytesWritten += int64(len(content))
		return nil
	})
}

func (o objects) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	p := o.platform
	var content []byte
	err := p.read(ctx, countObjectRead, func() error {
		found, ok := p.objects.get(key)
		if !ok {
			return storage.ErrNotFound
		}
		content = found.body
		p.stats.BytesRead += int64(len(content))
		return nil
	})
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(content)), nil
}

func (o objects) Delete(ctx context.Context, key string) error {
	p := o.platform
	return p.write(ctx, countObjectWrite, func() error {
		p.objects.remove(key)
		return nil
	})
}

func (o objects) List(ctx context.Context, prefix, after string, limit int) ([]storage.ObjectInfo, error) {
	p := o.platform
	var infos []storage.ObjectInfo
	err := p.read(ctx, countObjectRead, func() error {
		for _, key := range p.objects.scan(prefix, after, limit) {
			found := p.objects.values[key]
			infos = append(infos, storage.ObjectInfo{Key: key, Bytes: int64(len(found.body)), Written: found.written})
		}
		return nil
	})
	return infos, err
}
