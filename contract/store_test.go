package contract_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/finding"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
)

// sheetDocument returns a valid document with the sheet's date and revision.
func sheetDocument(date string, revision int) *contract.Document {
	return &contract.Document{
		SheetDate: date,
		Revision:  revision,
		Services:  []contract.Service{{Name: "portal", Kind: contract.KindPlain}},
		Callers:   []contract.Caller{{ID: "operator", Organisation: "o", KeySHA256: contract.HashKey("k"), Operator: true}},
	}
}

func accept(t *testing.T, s *contract.Store, base uint64, doc *contract.Document, options ...contract.AcceptOption) {
	t.Helper()
	version, err := s.Accept(t.Context(), base, doc, options...)
	if err != nil || version != base+1 {
		t.Fatalf("Accept on %d: version %d, %v", base, version, err)
	}
}

// Guards against a loaded document that differs from the accepted one, and
// against an empty store that is reported as a platform error.
func TestAcceptThenLoad(t *testing.T) {
	s := contract.NewStore(standin.New(standin.Config{}))
	if _, err := s.Load(t.Context()); !errors.Is(err, contract.ErrNoConfiguration) {
		t.Fatalf("empty store: %v", err)
	}
	doc := sheetDocument("2026-03-02", 1)
	accept(t, s, 0, doc)
	if doc.Version != 0 || doc.ChangeID != "" {
		t.Fatalf("Accept changed its argument: %+v", doc)
	}
	got, err := s.Load(t.Context())
	if err != nil || got.Version != 1 || got.ChangeID == "" {
		t.Fatalf("loaded %+v, %v", got, err)
	}
	got.Version, got.ChangeID = 0, ""
	if !reflect.DeepEqual(got, doc) {
		t.Fatalf("loaded %+v, want %+v", got, doc)
	}
}

// Guards against accepting an old sheet, or a change that was made to an old
// sheet.
func TestOldSheetIsRefused(t *testing.T) {
	small := []contract.AcceptOption{contract.SmallChange()}
	cases := []struct {
		name     string
		date     string
		revision int
		options  []contract.AcceptOption
		refused  bool
	}{
		{"next day", "2026-03-03", 0, nil, false},
		{"next revision", "2026-03-02", 6, nil, false},
		{"same sheet", "2026-03-02", 5, nil, true},
		{"earlier revision", "2026-03-02", 4, nil, true},
		{"earlier day with a higher revision", "2026-03-01", 9, nil, true},
		{"small change to the sheet in force", "2026-03-02", 5, small, false},
		{"small change to an earlier sheet", "2026-03-02", 4, small, true},
		{"small change to a sheet not yet accepted", "2026-03-03", 1, small, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := contract.NewStore(standin.New(standin.Config{}))
			accept(t, s, 0, sheetDocument("2026-03-02", 5))
			_, err := s.Accept(t.Context(), 1, sheetDocument(c.date, c.revision), c.options...)
			var stale *contract.StaleSheetError
			if refused := errors.As(err, &stale); refused != c.refused || (err != nil) != c.refused {
				t.Fatalf("got %v, want refused %v", err, c.refused)
			}
		})
	}
}

// Guards against accepting an invalid document, and a change whose base is not
// the version in force.
func TestRefusals(t *testing.T) {
	s := contract.NewStore(standin.New(standin.Config{}))
	var findings finding.List
	if _, err := s.Accept(t.Context(), 0, &contract.Document{}); !errors.As(err, &findings) || len(findings) < 2 {
		t.Fatalf("empty document: %v", err)
	}
	accept(t, s, 0, sheetDocument("2026-03-02", 1))
	other := sheetDocument("2026-03-02", 2)
	other.Callers[0].Burst = 7
	for _, base := range []uint64{0, 2, 9} {
		_, err := s.Accept(t.Context(), base, other)
		var conflict *contract.ConflictError
		if !errors.As(err, &conflict) || conflict.Version != 1 || conflict.InForce == nil {
			t.Fatalf("base %d: %v, want a conflict with version 1", base, err)
		}
		if changes := conflict.Changes(other); len(changes) != 2 {
			t.Fatalf("difference to the document in force: %v", changes)
		}
	}
}

// Guards against a change that is accepted twice, or reported as refused
// although it was accepted, when responses of the platform are lost.
func TestLostResponsesAreResolved(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*standin.Platform)
	}{
		{"body's response lost", func(s *standin.Platform) { s.LoseNextResponses(1) }},
		{"both responses lost", func(s *standin.Platform) { s.LoseNextResponses(2) }},
		{"repeats lost too", func(s *standin.Platform) { s.LoseNextResponses(9) }},
		{"body late", func(s *standin.Platform) { s.DelayNextWrites(1, time.Second) }},
		{"both late", func(s *standin.Platform) { s.DelayNextWrites(2, time.Second) }},
		{"failures", func(s *standin.Platform) { s.FailNextCalls(5) }},
		{"throttled", func(s *standin.Platform) { s.ThrottleNextCalls(5) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := standin.New(standin.Config{})
				s := contract.NewStore(p)
				accept(t, s, 0, sheetDocument("2026-03-02", 1))
				c.inject(p)
				accept(t, s, 1, sheetDocument("2026-03-02", 2))
				p.ClearFaults()
				time.Sleep(time.Minute)
				if doc, err := s.Load(t.Context()); err != nil || doc.Version != 2 || doc.Revision != 2 {
					t.Fatalf("in force: %+v, %v", doc, err)
				}
			})
		})
	}
}

// scriptedCommits is a platform whose commits end with the errors of a script; an
// ErrUnavailable loses the answer of a commit that is performed.
type scriptedCommits struct {
	*standin.Platform
	script []error
}

func (p *scriptedCommits) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	if len(p.script) == 0 {
		return p.Platform.Commit(ctx, tx)
	}
	err := p.script[0]
	if len(p.script) > 1 { // the last error repeats
		p.script = p.script[1:]
	}
	if errors.Is(err, storage.ErrUnavailable) {
		_, _ = p.Platform.Commit(ctx, tx)
	}
	return nil, err
}

// Guards against a change that may have been accepted and is reported as "nothing was
// changed", since the last of several commits failed for sure, or with an error that
// says nothing.
func TestOutcomeFollowsFromAllCommits(t *testing.T) {
	lost, throttled := storage.ErrUnavailable, storage.ErrThrottled
	refused := &storage.StatusError{Status: 403}
	cases := []struct {
		name    string
		script  []error
		unknown bool
	}{
		{"throttled", []error{throttled}, false},
		{"lost, then throttled", []error{lost, throttled}, true},
		{"lost, then refused", []error{lost, refused}, true},
		{"throttled, then lost", []error{throttled, lost, throttled}, true},
		{"throttled and lost at once", []error{errors.Join(throttled, lost), throttled}, true},
		{"unknown error", []error{refused}, true},
		{"no answer to decode", []error{errors.New("unexpected end of JSON input")}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &scriptedCommits{Platform: standin.New(standin.Config{}), script: c.script}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := contract.NewStore(p).Accept(ctx, 0, sheetDocument("2026-03-02", 1))
				var unknown *contract.UnknownOutcomeError
				if err == nil || errors.As(err, &unknown) != c.unknown {
					t.Errorf("got %v, want unknown %v", err, c.unknown)
				}
			})
		})
	}
}

// Guards against an HTTP connection that breaks after the write took effect and
// is not handled as a lost response.
func TestLostResponsesOverHTTP(t *testing.T) {
	p := standin.New(standin.Config{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client, err := storage.NewClient(storage.ClientConfig{BaseURL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	s := contract.NewStore(storage.NewLimited(client, storage.LimitConfig{}))
	for base := range uint64(5) {
		p.LoseNextResponses(2) // the responses to the body write and the commit
		accept(t, s, base, sheetDocument("2026-03-02", int(base)))
	}
	if lost := p.Stats().Lost; lost != 10 {
		t.Fatalf("%d responses lost, want 10", lost)
	}
	if doc, err := s.Load(t.Context()); err != nil || doc.Version != 5 || doc.Revision != 4 {
		t.Fatalf("in force: %+v, %v", doc, err)
	}
}

// Guards against an unknown outcome that is reported as a refusal, and against a
// retry that is accepted a second time or refused, also after later changes.
func TestUnknownOutcomeIsResolvedByResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		s := contract.NewStore(p)
		accept(t, s, 0, sheetDocument("2026-03-02", 1))
		doc := sheetDocument("2026-03-02", 2)
		doc.ChangeID = "change-2"
		p.SetLatency(time.Second)
		// The body is written after 2 s; the commit takes effect after 2.5 s.
		ctx, cancel := context.WithTimeout(t.Context(), 2700*time.Millisecond)
		defer cancel()
		_, err := s.Accept(ctx, 1, doc)
		var unknown *contract.UnknownOutcomeError
		if !errors.As(err, &unknown) || unknown.ChangeID != "change-2" || !errors.Is(err, storage.ErrUnavailable) {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
		p.ClearFaults()
		accept(t, s, 1, doc)
		accept(t, s, 2, sheetDocument("2026-03-02", 3))
		accept(t, s, 1, doc)
		reused := sheetDocument("2026-03-02", 9)
		reused.ChangeID = doc.ChangeID
		var conflict *contract.ConflictError
		if _, err := s.Accept(t.Context(), 1, reused); !errors.As(err, &conflict) {
			t.Fatalf("another document with a used change id: %v, want a conflict", err)
		}
		if version, err := s.Version(t.Context()); err != nil || version != 3 {
			t.Fatalf("version %d, %v", version, err)
		}
	})
}

// Guards against bodies and history rows that accumulate without bound.
func TestOldVersionsAreRemoved(t *testing.T) {
	p := standin.New(standin.Config{})
	s := contract.NewStore(p)
	accept(t, s, 0, sheetDocument("2026-03-02", 1))
	for base := uint64(1); base < 1100; base++ {
		accept(t, s, base, sheetDocument("2026-03-02", 1), contract.SmallChange())
	}
	bodies, err := p.Objects().List(t.Context(), "config/", "", 5000)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := p.Scan(t.Context(), "config/", "", 5000)
	if err != nil {
		t.Fatal(err)
	}
	if len(bodies) > 1001 || len(rows) > 1001 {
		t.Fatalf("%d bodies and %d rows after 1100 changes, want at most 1001 each", len(bodies), len(rows))
	}
}

// Guards against polls that read more than one row when nothing has changed, and
// against a poller that does not load a change within 6 s, also after an outage.
func TestPoller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		s := contract.NewStore(p)
		accept(t, s, 0, sheetDocument("2026-03-02", 1))
		var holder contract.Holder
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go contract.NewPoller(s, &holder, contract.PollerConfig{}).Run(ctx)
		synctest.Wait()
		if holder.Version() != 1 {
			t.Fatalf("version %d after the first poll", holder.Version())
		}
		p.ResetStats()
		time.Sleep(10 * time.Minute)
		stats := p.ResetStats()
		polls := int(10 * time.Minute / contract.DefaultPollInterval)
		if stats.ObjectReads != 0 || stats.TableReads < polls*2/3 || stats.TableReads > 2*polls {
			t.Fatalf("unchanged for 10 min: %+v; want about %d row reads and no object reads", stats, polls)
		}
		p.SetOutage(true)
		time.Sleep(10 * time.Minute)
		p.SetOutage(false)
		accept(t, s, 1, sheetDocument("2026-03-02", 2))
		time.Sleep(6 * time.Second)
		if holder.Version() != 2 {
			t.Fatalf("version %d, 6 s after the change", holder.Version())
		}
	})
}

// Guards against pollers of many instances that keep polling in step after a
// simultaneous start.
func TestPollersSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 100 {
			go contract.NewPoller(contract.NewStore(p), new(contract.Holder), contract.PollerConfig{Interval: 30 * time.Second}).Run(ctx)
		}
		time.Sleep(5 * time.Minute)
		p.ResetStats()
		for second := range 30 {
			time.Sleep(time.Second)
			if reads := p.ResetStats().Reads(); reads > 25 {
				t.Fatalf("%d of 100 pollers read in second %d", reads, second)
			}
		}
	})
}

func ExampleDiff() {
	old, changed := sheetDocument("2026-03-02", 1), sheetDocument("2026-03-03", 0)
	for _, change := range contract.Diff(old, changed) {
		fmt.Println(change)
	}
	// Output:
	// sheet revision: "1" -> "0"
	// sheet sheet_date: "2026-03-02" -> "2026-03-03"
}
