package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

func put(key, value string, ifVersion uint64) storage.Transaction {
	return storage.Transaction{Writes: []storage.Write{{Key: key, Value: []byte(value), IfVersion: ifVersion}}}
}

// eachAccess runs a test directly on a Platform and through the HTTP client.
func eachAccess(t *testing.T, test func(t *testing.T, p storage.Platform, faults *Platform)) {
	t.Run("direct", func(t *testing.T) {
		s := New(Config{})
		test(t, s, s)
	})
	t.Run("http", func(t *testing.T) {
		s := New(Config{})
		server := httptest.NewServer(s.Handler())
		defer server.Close()
		client, err := storage.NewClient(storage.ClientConfig{BaseURL: server.URL})
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		test(t, client, s)
	})
}

// Guards against repeated row versions: the condition of a writer that read a row
// before it was deleted and created again must not hold.
func TestVersionsNeverRepeat(t *testing.T) {
	eachAccess(t, func(t *testing.T, p storage.Platform, _ *Platform) {
		ctx := t.Context()
		first, err := p.Commit(ctx, put("k", "a", 0))
		if err != nil {
			t.Fatal(err)
		}
		remove := storage.Transaction{Writes: []storage.Write{{Key: "k", Delete: true, IfVersion: first[0]}}}
		if _, err := p.Commit(ctx, remove); err != nil {
			t.Fatal(err)
		}
		if _, err := p.Commit(ctx, put("k", "b", 0)); err != nil {
			t.Fatal(err)
		}
		if _, err := p.Commit(ctx, put("k", "c", first[0])); !errors.Is(err, storage.ErrConflict) {
			t.Fatalf("write with the version of the deleted row: %v, want a conflict", err)
		}
	})
}

// Guards against a transaction that is applied in part although one of its
// conditions fails.
func TestCommitIsAllOrNothing(t *testing.T) {
	eachAccess(t, func(t *testing.T, p storage.Platform, _ *Platform) {
		tx := put("a", "1", 0)
		tx.Writes = append(tx.Writes, storage.Write{Key: "b", Value: []byte("2"), IfVersion: 7})
		if _, err := p.Commit(t.Context(), tx); !errors.Is(err, storage.ErrConflict) {
			t.Fatalf("got %v, want a conflict", err)
		}
		if _, err := p.Get(t.Context(), "a"); !errors.Is(err, storage.ErrNotFound) {
			t.Fatalf("row of the failed transaction: %v, want not found", err)
		}
	})
}

// Guards against faults that return the wrong error, apply a write that should
// have no effect, or discard one that should take effect.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		inject  func(*Platform)
		want    error
		applied bool
	}{
		{"outage", func(s *Platform) { s.SetOutage(true) }, storage.ErrUnavailable, false},
		{"failure", func(s *Platform) { s.FailNextCalls(1) }, storage.ErrUnavailable, false},
		{"throttled", func(s *Platform) { s.ThrottleNextCalls(1) }, storage.ErrThrottled, false},
		{"response lost", func(s *Platform) { s.LoseNextResponses(1) }, storage.ErrUnavailable, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			eachAccess(t, func(t *testing.T, p storage.Platform, s *Platform) {
				c.inject(s)
				if _, err := p.Commit(t.Context(), put("k", "v", 0)); !errors.Is(err, c.want) {
					t.Fatalf("got %v, want %v", err, c.want)
				}
				s.ClearFaults()
				_, err := p.Get(t.Context(), "k")
				if applied := err == nil; applied != c.applied {
					t.Fatalf("write applied: %v (%v), want %v", applied, err, c.applied)
				}
			})
		})
	}
}

// Guards against object keys with special characters and large bodies that are
// corrupted in transfer, and against unsorted listings.
func TestObjects(t *testing.T) {
	eachAccess(t, func(t *testing.T, p storage.Platform, _ *Platform) {
		ctx, objects := t.Context(), p.Objects()
		large := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		for _, key := range []string{"x/b c?&%/ü", "x/a"} {
			if err := objects.Put(ctx, key, bytes.NewReader(large)); err != nil {
				t.Fatal(err)
			}
		}
		body, err := objects.Get(ctx, "x/b c?&%/ü")
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(body)
		if err != nil || !bytes.Equal(got, large) {
			t.Fatalf("read %d bytes, %v; want %d", len(got), err, len(large))
		}
		if err := body.Close(); err != nil {
			t.Fatal(err)
		}
		infos, err := objects.List(ctx, "x/", "", 10)
		if err != nil || len(infos) != 2 || infos[0].Key != "x/a" || infos[0].Bytes != int64(len(large)) {
			t.Fatalf("listed %+v, %v", infos, err)
		}
		if err := objects.Delete(ctx, "x/a"); err != nil {
			t.Fatal(err)
		}
		if _, err := objects.Get(ctx, "x/a"); !errors.Is(err, storage.ErrNotFound) {
			t.Fatalf("deleted object: %v", err)
		}
	})
}

// Guards against an object that is stored although its upload was incomplete, and
// against an error of the source that is reported as one of the platform.
func TestPutWithFailingSource(t *testing.T) {
	eachAccess(t, func(t *testing.T, p storage.Platform, _ *Platform) {
		sourceErr := errors.New("source failed")
		source := io.MultiReader(strings.NewReader("part"), &failingReader{sourceErr})
		err := p.Objects().Put(t.Context(), "k", source)
		if !errors.Is(err, sourceErr) || errors.Is(err, storage.ErrUnavailable) {
			t.Fatalf("got %v, want the source's error only", err)
		}
		if _, err := p.Objects().Get(t.Context(), "k"); !errors.Is(err, storage.ErrNotFound) {
			t.Fatalf("object of the incomplete upload: %v, want not found", err)
		}
	})
}

type failingReader struct{ err error }

func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against an instance list without lag, and against a revision that
// decreases.
func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{InstanceLag: 10 * time.Second})
		s.SetInstance(storage.Instance{ID: "a"})
		time.Sleep(5 * time.Second)
		s.SetInstance(storage.Instance{ID: "b"})
		for _, step := range []struct {
			after     time.Duration
			instances int
			revision  uint64
		}{{0, 0, 0}, {6 * time.Second, 1, 1}, {5 * time.Second, 2, 2}} {
			time.Sleep(step.after)
			list, revision, err := s.Instances(t.Context(), 99)
			if err != nil || len(list) != step.instances || revision != step.revision {
				t.Fatalf("after %v: %v, revision %d, %v", step.after, list, revision, err)
			}
		}
		if list, _, _ := s.Instances(t.Context(), 2); list != nil {
			t.Fatalf("unchanged revision: %v, want nil", list)
		}
	})
}

// Guards against a delayed write that takes effect before its call returns, or
// never, or although its condition no longer holds.
func TestDelayedWriteTakesEffectLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		s.DelayNextWrites(2, time.Second)
		for _, key := range []string{"a", "b"} {
			if _, err := s.Commit(t.Context(), put(key, "late", 0)); !errors.Is(err, storage.ErrUnavailable) {
				t.Fatal(err)
			}
		}
		if _, err := s.Get(t.Context(), "a"); !errors.Is(err, storage.ErrNotFound) {
			t.Fatalf("delayed write is visible immediately: %v", err)
		}
		if _, err := s.Commit(t.Context(), put("b", "newer", 0)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		for key, want := range map[string]string{"a": "late", "b": "newer"} {
			if row, err := s.Get(t.Context(), key); err != nil || string(row.Value) != want {
				t.Errorf("row %s: %q, %v; want %q", key, row.Value, err, want)
			}
		}
	})
}

// Guards against a rate limit that admits more calls than its rate.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{WritesPerSecond: 100})
		allowed := 0
		for range 300 {
			_, err := s.Commit(context.Background(), storage.Transaction{Writes: []storage.Write{{Key: "k", Always: true}}})
			if err == nil {
				allowed++
			}
			time.Sleep(5 * time.Millisecond)
		}
		if allowed < 240 || allowed > 250 { // a burst of 100, and 150 in 1.5 s
			t.Fatalf("%d of 300 writes in 1.5 s passed a limit of 100/s", allowed)
		}
	})
}
