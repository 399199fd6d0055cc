package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/batch/jobrow"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/storage"
)

// newResultService returns a service whose store holds a done job with results of a size.
func newResultService(t *testing.T, results, size int, budget *memory.Budget) *Service {
	t.Helper()
	table := newLateTable()
	s, err := New(Config{Table: table, Holder: fleet.NewHolder(), Results: budget, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	row, _, err := jobrow.New(jobrow.Job{ID: "j", Total: results, Listed: results}).Commit(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	s.mirror.recordJob(row)
	for position := range results {
		for part, value := range resultRows(Result{Item: fmt.Sprint("i", position), Output: strings.Repeat("x", size)}) {
			if _, err := table.Commit(t.Context(), storage.Transaction{Writes: []storage.Write{{Key: resultKey("j", position, part), Value: value, Always: true}}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	return s
}

func open(t *testing.T, s *Service, after int) (*ResultReader, error) {
	t.Helper()
	return s.OpenResults(t.Context(), "", "j", after, 0)
}

// Guards against results that slow readers hold in no budget, and against slow readers that
// keep an ordinary one from its results.
func TestResultsWithinTheirBudget(t *testing.T) {
	const size, budget = 200 << 10, 1 << 20 // results of this size are not cached
	s := newResultService(t, 6, size, memory.NewBudget(budget))
	var slow []*ResultReader
	for {
		r, err := open(t, s, 0)
		if err != nil {
			if !errors.Is(err, memory.ErrExhausted) {
				t.Fatal(err)
			}
			break
		}
		if _, ok := r.Read(); !ok { // holds the first result, and what was read ahead
			t.Fatal("a page without a result")
		}
		if slow = append(slow, r); len(slow) > budget/size+2 {
			t.Fatalf("%d readers hold %d KB each, the budget is %d KB", len(slow), size>>10, budget>>10)
		}
	}
	if len(slow) < 2 {
		t.Errorf("one reader holds the whole budget")
	}
	small := newResultService(t, 6, 16<<10, s.cfg.Results) // of a usual size
	r, err := open(t, small, 0)
	if err != nil {
		t.Fatal("an ordinary reader is refused:", err)
	}
	if _, ok := r.Read(); !ok {
		t.Error("a page without a result")
	}
	r.Close()
	for _, r := range slow {
		r.Close()
	}
	if err := s.cfg.Results.Share().Resize(budget); err != nil {
		t.Error("closed readers hold memory:", err)
	}
}

// Guards against pages without a result, with results twice or left out, or with more than
// the protocol allows, however far the results are cached.
func TestPagesHoldAllResultsOnce(t *testing.T) {
	for _, size := range []int{0, 10, 16 << 10, 70 << 10, 400 << 10} {
		const results = 130
		s := newResultService(t, min(results, 40<<20/max(size, 1)), size, nil)
		total := min(results, 40<<20/max(size, 1))
		for next := 0; next < total; {
			r, err := open(t, s, next)
			if err != nil {
				t.Fatal(err)
			}
			var page []Result
			for {
				result, ok := r.Read()
				if !ok {
					break
				}
				if want := fmt.Sprint("i", next+len(page)); result.Item != want || len(result.Output) != size {
					t.Fatalf("size %d: got %s, want %s", size, result.Item, want)
				}
				page = append(page, result)
			}
			if encoded, _ := json.Marshal(page); len(page) == 0 || len(encoded) > 1_000_000 || r.Next != next+len(page) {
				t.Fatalf("size %d: %d results in %d bytes from %d, next %d", size, len(page), len(encoded), next, r.Next)
			}
			next = r.Next
			r.Close()
		}
	}
}

// Guards against a caller that reads slowly and gets no page whole within its time.
func TestSlowReaderGetsAShortPage(t *testing.T) {
	s := newResultService(t, 20, 10, nil)
	synctest.Test(t, func(t *testing.T) {
		r, err := open(t, s, 0)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for ; ; n++ {
			if _, ok := r.Read(); !ok {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if n != 4 || r.Next != 4 {
			t.Errorf("%d results, next %d, want those of the first second", n, r.Next)
		}
	})
}

// Guards against a page that exceeds the protocol's limit since its texts have many
// characters that take more bytes in JSON.
func TestJSONBytes(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("no text takes more bytes than counted", prop.ForAll(func(pieces []string) bool {
		text := strings.Join(pieces, "")
		var b strings.Builder
		e := json.NewEncoder(&b)
		e.SetEscapeHTML(false)
		return e.Encode(text) == nil && jsonBytes(text) >= b.Len()-3 // two quotation marks, one line feed
	}, gen.SliceOf(gen.OneConstOf("a", "\"", "\\", "\n", "\t", "\r", "\b", "\f", "\x00", "\x1f", "\x7f", "<&>", "é", "日", "\u2028", "\u2029", "\xff", "\xe6\x97", "😀"))))
	properties.TestingRun(t)
	if n := jsonBytes("two\nlines"); n != len("two\nlines")+1 {
		t.Error(n)
	}
}
