package job

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// TestSweep guards against removing data before it expires, against rows or objects
// that are never removed, and against removing the input file of a later job.
func TestSweep(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx := t.Context()
			f := newFakePlatform()
			s := NewStore(f)
			sweep := func() {
				t.Helper()
				w := &Sweeper{Store: s, Rank: func() (int, int) { return 0, 1 }, Log: zerolog.Nop()}
				if err := w.Sweep(ctx); err != nil {
					t.Fatal(err)
				}
			}
			j := submit(t, s, 150, "")
			c, _ := s.Claim(ctx, j, Chunk{}, "a")
			_ = s.Commit(ctx, c, testResults(c))
			_ = fakeObjects{f}.Put(ctx, partKey("file-orphan", 0), strings.NewReader("x"))
			_ = fakeObjects{f}.Put(ctx, resultKey("batch_gone", 0, "x"), strings.NewReader("x"))
			objects := len(f.objects)
			sweep()
			if len(f.objects) != objects {
				t.Error("a new object was removed")
			}
			time.Sleep(6 * 24 * time.Hour)
			sweep()
			if len(f.objects) != objects-2 {
				t.Errorf("%d objects after a day, want the two orphans removed from %d", len(f.objects), objects)
			}
			// The file's retention has nearly ended; a new job extends it.
			second, err := s.Submit(ctx, submission(mustFile(t, s, j.FileID), "later"))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = s.Cancel(ctx, second.ID)
			n := 0
			f.setFault(func(string, string) fault {
				n++
				if faulty && n%3 == 0 {
					return []fault{faultUnavailable, faultAnswerLost, faultThrottled}[n/3%3]
				}
				return faultNone
			})
			time.Sleep(3 * 24 * time.Hour) // day 9: the first job has expired
			sweep()
			second, err = s.Job(ctx, second.ID)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := s.WriteResults(ctx, second, true, &out); err != nil || bytes.Count(out.Bytes(), []byte("\n")) != 150 {
				t.Errorf("results of the second job: %d bytes, %v", out.Len(), err)
			}
			time.Sleep(7 * 24 * time.Hour)
			sweep()
			time.Sleep(48 * time.Hour) // parts left after a lost response are orphans
			sweep()
			for key := range f.rows {
				if !strings.HasPrefix(key, "running/") {
					t.Errorf("row %s is left", key)
				}
			}
			for key := range f.objects {
				t.Errorf("object %s is left", key)
			}
		})
	}
}

func mustFile(t *testing.T, s *Store, id string) *File {
	t.Helper()
	f, err := s.File(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	return f
}
