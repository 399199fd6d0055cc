package job

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/storage"
)

const testModel = "m1"

// inputLines returns n valid lines of chat items.
func inputLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"i%d","method":"POST","url":%q,"body":{"model":%q,"messages":["i%d"]}}`+"\n",
			i, EndpointChat, testModel, i)
	}
	return b.String()
}

func submit(t testing.TB, s *Store, n int, key string) *Job {
	t.Helper()
	ctx := context.Background()
	f, err := s.Upload(ctx, "org", "caller", "in.jsonl", strings.NewReader(inputLines(n)))
	if err != nil {
		t.Fatal(err)
	}
	j, err := s.Submit(ctx, submission(f, key))
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func submission(f *File, key string) Submission {
	return Submission{
		Organisation: f.Organisation, Caller: f.Caller, FileID: f.ID, Endpoint: f.Endpoint,
		Service: testModel, Window: 24 * time.Hour, IdempotencyKey: key,
	}
}

// testResults returns results of a chunk whose lines contain the claim id.
func testResults(c *Claim) Results {
	n := c.Job.chunkLen(c.Chunk.Index)
	return Results{Output: bytes.Repeat([]byte(c.Chunk.ClaimID+"\n"), n), Completed: n}
}

// TestResend guards against a repeated request that creates a second job, with and
// without a key, across a period boundary and after lost responses.
func TestResend(t *testing.T) {
	for _, kind := range []fault{faultNone, faultUnavailable, faultAnswerLost, faultAppliedLate, faultThrottled} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakePlatform()
			s := NewStore(f)
			time.Sleep(59 * time.Minute) // near the end of a period
			failures := 2
			f.setFault(func(op, key string) fault {
				if op != "commit" || !strings.HasPrefix(key, jobPrefix) || failures == 0 {
					return faultNone
				}
				failures--
				return kind
			})
			first := submit(t, s, 1, "")
			time.Sleep(30 * time.Minute)
			if again := submit(t, s, 1, ""); again.ID != first.ID {
				t.Errorf("fault %d: resend after 30 min got another job", kind)
			}
			keyed := submit(t, s, 1, "k")
			time.Sleep(31 * time.Minute)
			if again := submit(t, s, 1, ""); again.ID == first.ID {
				t.Errorf("fault %d: a new submission after 61 min got the old job", kind)
			}
			if again := submit(t, s, 1, "k"); again.ID != keyed.ID {
				t.Errorf("fault %d: resend with key got another job", kind)
			}
			if jobs, _, err := s.List(t.Context(), "org", "", 10); err != nil || len(jobs) != 3 {
				t.Errorf("fault %d: %d jobs, %v", kind, len(jobs), err)
			}
			file, _ := s.Upload(t.Context(), "org", "caller", "x", strings.NewReader(inputLines(2)))
			if _, err := s.Submit(t.Context(), submission(file, "k")); !errors.Is(err, ErrIdempotencyMismatch) {
				t.Errorf("key with other input: %v", err)
			}
		})
	}
}

// TestUploadFindings guards against accepting invalid lines and against reporting
// only the first one.
func TestUploadFindings(t *testing.T) {
	good := `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m"}}`
	cases := []struct{ line, want string }{
		{`{`, "in:2: not a JSON object"},
		{strings.Replace(good, `"a"`, `""`, 1), "in:2: custom_id: missing"},
		{good, `in:2: custom_id: "a": used by an earlier line`},
		{strings.Replace(good, "POST", "GET", 1), `method: "GET": must be POST`},
		{strings.Replace(good, "/v1/completions", "/v1/chat/completions", 1), "differs from the first line's /v1/completions"},
		{strings.Replace(good, "/v1/completions", "/v1/x", 1), "not an endpoint"},
		{strings.Replace(good, `"model":"m"`, `"model":"n"`, 1), `body.model: "n": differs`},
		{strings.Replace(good, `"model":"m"`, `"model":"m","stream":true`, 1), "body.stream"},
		{strings.Repeat("x", MaxLineBytes+2), "in:2: longer than 1 MiB"},
	}
	var all []string
	for _, c := range cases {
		all = append(all, c.line)
		f := newFakePlatform()
		_, err := NewStore(f).Upload(t.Context(), "org", "caller", "in", strings.NewReader(good+"\n"+c.line))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.80s: got %v, want %q", c.line, err, c.want)
		}
		if len(f.rows) != 0 || len(f.objects) != 0 {
			t.Errorf("%.80s: left rows or objects", c.line)
		}
	}
	_, err := NewStore(newFakePlatform()).Upload(t.Context(), "org", "caller", "in",
		strings.NewReader(good+"\n"+strings.Join(all, "\n")))
	var list finding.List
	if !errors.As(err, &list) || len(list) < len(cases) {
		t.Errorf("findings of all lines: %d, want at least %d", len(list), len(cases))
	}
}

// claimedChunk submits a job of one chunk and claims the chunk.
func claimedChunk(t *testing.T) (*fakePlatform, *Store, *Job, *Claim) {
	f := newFakePlatform()
	s := NewStore(f)
	j := submit(t, s, 100, "")
	c, err := s.Claim(t.Context(), j, Chunk{}, "a")
	if err != nil {
		t.Fatal(err)
	}
	return f, s, j, c
}

// TestFencing guards against commits by a holder that was paused until its claim
// expired, and against commits after a cancel.
func TestFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := NewStore(newFakePlatform())
		j := submit(t, s, 150, "")
		paused, _ := s.Claim(ctx, j, Chunk{}, "a")
		o := NewExpiryTracker()
		seen := paused.Chunk
		if o.Expired(j.ID, seen, time.Now()) {
			t.Fatal("expired on the first read")
		}
		time.Sleep(ClaimExpiry)
		if !o.Expired(j.ID, seen, time.Now()) {
			t.Fatal("not expired after 60 s")
		}
		taken, err := s.Claim(ctx, j, seen, "b")
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Commit(ctx, paused, testResults(paused)); !errors.Is(err, ErrClaimLost) {
			t.Errorf("commit of a paused holder: %v", err)
		}
		if err := s.Renew(ctx, paused); !errors.Is(err, ErrClaimLost) {
			t.Errorf("renewal of a paused holder: %v", err)
		}
		if err := s.Commit(ctx, taken, testResults(taken)); err != nil {
			t.Errorf("commit of the new holder: %v", err)
		}
		late, _ := s.Claim(ctx, j, Chunk{Index: 1}, "b")
		if c, err := s.Cancel(ctx, j.ID); err != nil || c.Status != StatusCancelled {
			t.Fatal(c, err)
		}
		if err := s.Commit(ctx, late, testResults(late)); !errors.Is(err, ErrClaimLost) {
			t.Errorf("commit after cancel: %v", err)
		}
		if done, _ := s.DoneChunks(ctx, j); len(done) != 1 || done[0].ClaimID != taken.Chunk.ClaimID {
			t.Errorf("done chunks: %+v", done)
		}
	})
}

// TestLostAnswers guards against a holder that mistakes its own write, whose response
// was lost or which was applied late, for the write of another holder.
func TestLostAnswers(t *testing.T) {
	for _, kind := range []fault{faultUnavailable, faultAnswerLost, faultThrottled, faultAppliedLate} {
		synctest.Test(t, func(t *testing.T) {
			ctx := t.Context()
			f, s, j, c := claimedChunk(t)
			steps := []func() error{
				func() error { return s.Renew(ctx, c) },
				func() error { return s.RecordIntents(ctx, c, []int{1, 2}) },
				func() error { return s.Commit(ctx, c, testResults(c)) },
			}
			for i, step := range steps {
				commits := 0
				f.setFault(func(op, _ string) fault {
					if op != "commit" {
						return faultNone
					}
					commits++
					if commits == 1 {
						return kind
					}
					if kind == faultAppliedLate && commits == 2 {
						time.Sleep(2 * time.Second) // until the delayed write has been applied
					}
					return faultNone
				})
				for step() != nil {
					if err := step(); err != nil && !transient(err) {
						t.Fatalf("fault %d, step %d: %v", kind, i, err)
					}
					time.Sleep(700 * time.Millisecond)
				}
				time.Sleep(2 * time.Second) // a delayed write is applied
			}
			if done, _ := s.DoneChunks(ctx, j); len(done) != 1 || done[0].ClaimID != c.Chunk.ClaimID {
				t.Errorf("fault %d: %+v", kind, done)
			}
		})
	}
}

// TestDoneChunkStays guards against a holder that overwrites its own commit, whose
// response was lost, by renewing or returning the chunk.
func TestDoneChunkStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		f, s, j, c := claimedChunk(t)
		f.setFault(func(op, _ string) fault {
			if op == "commit" {
				return faultAnswerLost
			}
			return faultNone
		})
		if err := s.Commit(ctx, c, testResults(c)); !transient(err) {
			t.Fatal(err)
		}
		f.setFault(nil)
		before, _ := s.AllChunks(ctx, j.ID, j.Chunks())
		if err := s.Renew(ctx, c); !errors.Is(err, ErrClaimLost) {
			t.Errorf("renewal: %v", err)
		}
		if err := s.Return(ctx, c, nil); !errors.Is(err, ErrClaimLost) {
			t.Errorf("return: %v", err)
		}
		after, _ := s.AllChunks(ctx, j.ID, j.Chunks())
		if after[0].State != ChunkDone || after[0].Version != before[0].Version {
			t.Errorf("%+v, was %+v", after[0], before[0])
		}
		if err := s.Commit(ctx, c, testResults(c)); err != nil {
			t.Errorf("repeated commit: %v", err)
		}
	})
}

// TestFinishRace guards against different final states of one job when it is
// cancelled, completed and expired concurrently.
func TestFinishRace(t *testing.T) {
	outcomes := make(map[Status]int)
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			ctx := t.Context()
			f, s, j, c := claimedChunk(t)
			if err := s.Commit(ctx, c, testResults(c)); err != nil {
				t.Fatal(err)
			}
			faults := newFaultPlan(seed, rand.New(rand.NewPCG(seed, 1)))
			f.latency = faults.latency
			f.setFault(faults.nextFault)
			seen := make([]Status, 3)
			var wg sync.WaitGroup
			complete := func(ctx context.Context, id string) (*Job, error) {
				if ended, err := s.Complete(ctx, id); err != nil || !ended {
					return nil, fmt.Errorf("ended %v: %w", ended, err)
				}
				return s.Job(ctx, id)
			}
			for i, finish := range []func(context.Context, string) (*Job, error){s.Cancel, s.Expire, complete} {
				wg.Go(func() {
					got, err := finish(ctx, j.ID)
					if err != nil {
						t.Error(err)
						return
					}
					seen[i] = got.Status
				})
			}
			wg.Wait()
			time.Sleep(2 * time.Second) // delayed writes are applied
			end, err := s.Job(ctx, j.ID)
			if err != nil {
				t.Fatal(err)
			}
			outcomes[end.Status]++
			for i, status := range seen {
				if status != end.Status {
					t.Errorf("seed %d: finisher %d saw %s, the job ended %s", seed, i, status, end.Status)
				}
			}
			if list, err := NewIndexReader(f).Refresh(ctx); err == nil && len(list) != 0 {
				t.Errorf("seed %d: ended job still in the index", seed)
			}
		})
	}
	if len(outcomes) != 3 {
		t.Errorf("outcomes %v, want all three", outcomes)
	}
}

var _ storage.Platform = (*fakePlatform)(nil)

func inputReader(n int) *strings.Reader { return strings.NewReader(inputLines(n)) }

// refusingPlatform loses the answer of the first commit and refuses later ones with an
// error that is not transient.
type refusingPlatform struct {
	*fakePlatform
	calls int
}

func (p *refusingPlatform) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	p.calls++
	if p.calls > 1 {
		return nil, &storage.StatusError{Status: 403}
	}
	_, _ = p.fakePlatform.Commit(ctx, tx)
	return nil, storage.ErrUnavailable
}

// TestFileOfLostAnswerKeepsItsParts guards against a stored file without its content: the
// answer to the write of its row is lost, and a refusal of the repeated write is taken for
// the outcome.
func TestFileOfLostAnswerKeepsItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		_, err := NewStore(&refusingPlatform{fakePlatform: f}).Upload(t.Context(), "org", "caller", "in.jsonl", inputReader(1))
		if err == nil || errors.Is(err, ErrNotWritten) {
			t.Errorf("error %v, want one that leaves the outcome open", err)
		}
		for key := range f.rows {
			file, err := NewStore(f).File(t.Context(), strings.TrimPrefix(key, filePrefix))
			if err != nil {
				t.Fatal(err)
			}
			if err := NewStore(f).WriteInput(t.Context(), file, io.Discard); err != nil {
				t.Errorf("stored file is not readable: %v", err)
			}
		}
		if len(f.rows) != 1 {
			t.Errorf("%d rows", len(f.rows))
		}
	})
}
