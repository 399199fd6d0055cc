package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/operator"
	"github.com/magnoliausher/magnoliausher/sheet"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
)

var operatorCaller = &contract.Caller{ID: "operator", Operator: true}

// testEntry is one entry with its operator API and configuration.
type testEntry struct {
	t      *testing.T
	holder *contract.Holder
	api    *operator.API
}

func newTestEntry(t *testing.T, p storage.Platform) *testEntry {
	holder := new(contract.Holder)
	return &testEntry{t: t, holder: holder, api: operator.New(operator.Config{
		ID: "entry", Store: contract.NewStore(p), Holder: holder,
	})}
}

// response holds the parts of any response that the tests check.
type response struct {
	method   string
	status   int
	executed string
	raw      []byte

	Version    uint64
	Base       uint64
	Newer      bool
	Difference []contract.Change
	Versions   []contract.AcceptedVersion
	Error      struct {
		Code     string
		Findings finding.List
		Details  operator.ErrorDetails
	}
}

func (n *testEntry) send(caller *contract.Caller, method, path, changeID, body string) response {
	n.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if caller != nil {
		r = r.WithContext(contract.WithCaller(r.Context(), caller))
	}
	if changeID != "" {
		r.Header.Set("Idempotency-Key", changeID)
	}
	w := httptest.NewRecorder()
	n.api.Handler().ServeHTTP(w, r)
	a := response{method: method, status: w.Code, executed: w.Header().Get(apierror.ExecutedHeader), raw: w.Body.Bytes()}
	if err := json.Unmarshal(a.raw, &a); err != nil {
		n.t.Fatalf("%s %s: status %d, body %q: %v", method, path, a.status, a.raw, err)
	}
	return a
}

func (n *testEntry) apply(query, changeID, body string) response {
	n.t.Helper()
	return n.send(operatorCaller, http.MethodPost, operator.PathSheet+query, changeID, body)
}

func document(revision, deadline int) *contract.Document {
	return &contract.Document{
		SheetDate: "2026-03-02", Revision: revision,
		Services: []contract.Service{{Name: "portal", Kind: contract.KindPlain, DeadlineMS: deadline}},
		Callers:  []contract.Caller{{ID: "operator", Organisation: "o", KeySHA256: contract.HashKey("k"), Operator: true}},
	}
}

func sheetOf(t *testing.T, revision, deadline int) string {
	t.Helper()
	var text bytes.Buffer
	if err := sheet.Write(&text, document(revision, deadline), sheet.Format{}); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func (a response) expect(t *testing.T, status int, code string) {
	t.Helper()
	if a.status != status || a.Error.Code != code {
		t.Fatalf("status %d, code %q, want %d %q: %s", a.status, a.Error.Code, status, code, a.raw)
	}
	executed := "no"
	if status == http.StatusOK || a.method == http.MethodGet {
		executed = ""
	}
	if a.executed != executed {
		t.Fatalf("executed %q, want %q: %s", a.executed, executed, a.raw)
	}
}

// Guards against accepting sheets that have findings, are not newer or have an old
// base, and against rejections that do not state the reason.
func TestSheetAcceptance(t *testing.T) {
	n := newTestEntry(t, standin.New(standin.Config{}))
	first := n.apply("", "", sheetOf(t, 1, 0))
	first.expect(t, http.StatusOK, "")
	if first.Version != 1 || n.holder.Version() != 1 {
		t.Fatalf("version %d, in the holder %d", first.Version, n.holder.Version())
	}
	second := n.apply("?base=1", "", sheetOf(t, 2, 5))
	second.expect(t, http.StatusOK, "")
	if second.Version != 2 || len(second.Difference) != 2 {
		t.Fatalf("second: %s", second.raw)
	}

	bad := strings.Replace(strings.Replace(sheetOf(t, 3, 0), "plain", "plane", 1), "2026-03-02", "today", 1)
	a := n.apply("", "", bad)
	a.expect(t, http.StatusUnprocessableEntity, operator.CodeFindings)
	if len(a.Error.Findings) != 2 || a.Error.Findings[0].Line == 0 || a.Error.Findings[0].Column == "" {
		t.Errorf("findings: %s", a.raw)
	}

	a = n.apply("", "", sheetOf(t, 2, 7))
	a.expect(t, http.StatusConflict, operator.CodeStaleSheet)
	if d := a.Error.Details; d.Version != 2 || len(d.Difference) != 1 || d.Difference[0].Field != "deadline_ms" {
		t.Errorf("stale sheet: %s", a.raw)
	}

	a = n.apply("?base=1", "", sheetOf(t, 3, 7))
	a.expect(t, http.StatusConflict, operator.CodeConflict)
	if d := a.Error.Details; d.Version != 2 || len(d.Difference) != 2 || len(d.SinceBase) != 2 {
		t.Errorf("conflict: %s", a.raw)
	}
	n.apply("?base=x", "", sheetOf(t, 3, 7)).expect(t, http.StatusBadRequest, "invalid_parameter")
	n.apply("", "not an id", sheetOf(t, 3, 7)).expect(t, http.StatusUnprocessableEntity, operator.CodeFindings)
	if v := n.holder.Version(); v != 2 {
		t.Errorf("version %d after rejections", v)
	}

	a = n.send(operatorCaller, http.MethodPost, operator.PathDiff, "", sheetOf(t, 2, 9))
	if a.status != http.StatusOK || a.Newer || len(a.Difference) != 1 {
		t.Errorf("diff: %s", a.raw)
	}
	a = n.send(operatorCaller, http.MethodGet, operator.PathHistory+"?limit=1", "", "")
	if len(a.Versions) != 1 || a.Versions[0].Version != 2 || a.Versions[0].SheetDate != "2026-03-02" || a.Versions[0].Revision != 2 {
		t.Errorf("history: %s", a.raw)
	}
}

// Guards against admitting callers that are not operators, and against an
// unauthenticated first sheet that replaces or discloses an accepted configuration.
func TestAuthorisation(t *testing.T) {
	p := standin.New(standin.Config{})
	n, unloaded := newTestEntry(t, p), newTestEntry(t, p)
	n.send(nil, http.MethodGet, operator.PathSheet, "", "").expect(t, http.StatusServiceUnavailable, "not_ready")
	n.send(nil, http.MethodPost, operator.PathSheet, "", sheetOf(t, 1, 0)).expect(t, http.StatusOK, "")
	a := unloaded.send(nil, http.MethodPost, operator.PathSheet, "", sheetOf(t, 2, 0))
	if a.status == http.StatusOK || len(a.Error.Details.Difference) > 0 {
		t.Errorf("sheet without a key on an entry that has not loaded the configuration: %s", a.raw)
	}
	n.send(nil, http.MethodPost, operator.PathSheet, "", sheetOf(t, 2, 0)).expect(t, http.StatusUnauthorized, "invalid_api_key")
	n.send(operatorCaller, http.MethodPost, operator.PathStatus, "", "").expect(t, http.StatusMethodNotAllowed, "method_not_allowed")
	n.send(operatorCaller, http.MethodPost, operator.PathStatus+"/x", "", "").expect(t, http.StatusNotFound, "path_not_found")
	n.send(&contract.Caller{ID: "c"}, http.MethodGet, operator.PathStatus, "", "").expect(t, http.StatusForbidden, "not_an_operator")
}

// lossyPlatform can apply a commit, lose its response and fail all later calls.
type lossyPlatform struct {
	storage.Platform
	mu       sync.Mutex
	loseNext bool // the next commit is applied, its response is lost and the platform goes down
	down     bool
}

func (p *lossyPlatform) set(loseNext, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseNext, p.down = loseNext, down
}

func (p *lossyPlatform) check() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return storage.ErrUnavailable
	}
	return nil
}

func (p *lossyPlatform) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := p.check(); err != nil {
		return storage.Row{}, err
	}
	return p.Platform.Get(ctx, key)
}

func (p *lossyPlatform) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	versions, err := p.Platform.Commit(ctx, tx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loseNext {
		p.loseNext, p.down = false, true
		return nil, storage.ErrUnavailable
	}
	return versions, err
}

// Guards against the loss of the platform's response to a commit: the change must
// not be reported as rejected, must not be accepted twice when it is sent again,
// and must come into force even if it is not sent again.
func TestLostResponse(t *testing.T) {
	for _, query := range []string{"", "?base=1"} {
		synctest.Test(t, func(t *testing.T) {
			p := &lossyPlatform{Platform: standin.New(standin.Config{})}
			n, other := newTestEntry(t, p), newTestEntry(t, p)
			n.apply("", "", sheetOf(t, 1, 0)).expect(t, http.StatusOK, "")
			p.set(true, false)
			a := n.apply(query, "change-a", sheetOf(t, 2, 5))
			if a.status != http.StatusGatewayTimeout || a.executed != "unknown" || a.Error.Details.ChangeID != "change-a" {
				t.Fatalf("lost response: executed %q: %s", a.executed, a.raw)
			}
			if a = other.apply("?base=1", "change-a", sheetOf(t, 2, 5)); a.executed != "unknown" {
				t.Fatalf("resend while the platform is down: executed %q: %s", a.executed, a.raw)
			}
			smallChange := `{"base":1,"remove":{"services":["portal"]}}`
			if a = other.send(operatorCaller, http.MethodPost, operator.PathChange, "change-a", smallChange); a.executed != "unknown" {
				t.Fatalf("small change while the platform is down: executed %q: %s", a.executed, a.raw)
			}
			p.set(false, false)
			for range 2 {
				a = other.apply(query, "change-a", sheetOf(t, 2, 5))
				a.expect(t, http.StatusOK, "")
				if a.Version != 2 {
					t.Fatalf("resend: %s", a.raw)
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { n.api.Run(ctx) })
			time.Sleep(time.Minute) // fake time of the synctest bubble
			if n.holder.Version() != 2 {
				t.Errorf("the first entry has version %d", n.holder.Version())
			}
			cancel()
			running.Wait()
		})
	}
}

// unreadableRow fails the reads of one row.
type unreadableRow struct {
	*standin.Platform
	key string
}

func (p *unreadableRow) Get(ctx context.Context, key string) (storage.Row, error) {
	if key == p.key {
		return storage.Row{}, storage.ErrUnavailable
	}
	return p.Platform.Get(ctx, key)
}

func (p *unreadableRow) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if prefix == p.key {
		return nil, storage.ErrUnavailable
	}
	return p.Platform.Scan(ctx, prefix, after, limit)
}

// Guards against an accepted sheet that is sent again and answered as refused, because
// the lookup of its change id fails.
func TestResentSheetWithoutLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &unreadableRow{Platform: standin.New(standin.Config{})}
		n := newTestEntry(t, p)
		n.apply("", "change-a", sheetOf(t, 1, 0)).expect(t, http.StatusOK, "")
		p.key = "config/history/"
		a := n.apply("", "change-a", sheetOf(t, 1, 0))
		if a.status != http.StatusGatewayTimeout || a.executed != "unknown" {
			t.Errorf("status %d, executed %q: %s", a.status, a.executed, a.raw)
		}
		p.key = ""
		// The body advises to send it again on this base, which is not that of the first call.
		again := n.apply(fmt.Sprintf("?base=%d", a.Error.Details.Base), "change-a", sheetOf(t, 1, 0))
		if again.expect(t, http.StatusOK, ""); again.Version != 1 || again.Base != 0 {
			t.Errorf("sent again: %s", again.raw)
		}
	})
}

// Guards against a small change that is sent again and answered as "nothing was changed"
// although an earlier call with its change id may have been accepted.
func TestResentSmallChangeWithUnknownBase(t *testing.T) {
	for changeID, want := range map[string]struct {
		status   int
		executed string
	}{"change-a": {http.StatusGatewayTimeout, "unknown"}, "": {http.StatusServiceUnavailable, "no"}} {
		t.Run(changeID, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &unreadableRow{Platform: standin.New(standin.Config{})}
				n := newTestEntry(t, p)
				n.apply("", "", sheetOf(t, 1, 0)).expect(t, http.StatusOK, "")
				p.key = "config/current"
				a := n.send(operatorCaller, http.MethodPost, operator.PathChange, changeID, `{"base":7,"remove":{"services":["portal"]}}`)
				if a.status != want.status || a.executed != want.executed {
					t.Errorf("status %d, executed %q: %s", a.status, a.executed, a.raw)
				}
			})
		})
	}
}

// Guards against concurrent changes to the same version on two entries of which
// both or neither are accepted, and against a rejection without the difference.
func TestRacingOperators(t *testing.T) {
	p := standin.New(standin.Config{})
	entries := []*testEntry{newTestEntry(t, p), newTestEntry(t, p)}
	entries[0].apply("", "", sheetOf(t, 1, 0)).expect(t, http.StatusOK, "")
	for round := range 50 {
		base := round + 1
		var responses [2]response
		var racing sync.WaitGroup
		for i, n := range entries {
			text := sheetOf(t, base+1, 10*base+i)
			racing.Go(func() { responses[i] = n.apply(fmt.Sprintf("?base=%d", base), "", text) })
		}
		racing.Wait()
		winner := 0
		if responses[1].status == http.StatusOK {
			winner = 1
		}
		responses[winner].expect(t, http.StatusOK, "")
		loser := responses[1-winner]
		loser.expect(t, http.StatusConflict, operator.CodeConflict)
		if d := loser.Error.Details; len(d.Difference) != 1 || d.Difference[0].Field != "deadline_ms" {
			t.Fatalf("loser: %s", loser.raw)
		}
	}
}

// Guards against small changes that modify other elements or apply to an old
// version, and against findings that do not name the element.
func TestSmallChange(t *testing.T) {
	n := newTestEntry(t, standin.New(standin.Config{}))
	n.apply("", "", sheetOf(t, 1, 0)).expect(t, http.StatusOK, "")
	change := func(changeID, body string) response {
		return n.send(operatorCaller, http.MethodPost, operator.PathChange, changeID, body)
	}
	raiseDeadline := `{"base":1,"put":{"services":[{"name":"portal","kind":"plain","deadline_ms":9}]}}`
	for range 2 { // sending it again gives the same result
		a := change("id-1", raiseDeadline)
		a.expect(t, http.StatusOK, "")
		if a.Version != 2 || len(a.Difference) != 1 {
			t.Fatalf("change: %s", a.raw)
		}
	}
	a := change("", strings.Replace(raiseDeadline, ":9", ":8", 1))
	a.expect(t, http.StatusConflict, operator.CodeConflict)
	if len(a.Error.Details.Difference) != 1 || len(a.Error.Details.SinceBase) != 1 {
		t.Errorf("old base: %s", a.raw)
	}
	change("", strings.Replace(raiseDeadline, `"base":1`, `"base":9`, 1)).expect(t, http.StatusConflict, operator.CodeConflict)
	cases := []struct {
		body string
		keys []string
	}{
		{`{"base":2,"put":{"services":[{"name":"portal","kind":"plain","deadline_ms":-1},{"name":"x","kind":"y"}]}}`,
			[]string{"services[portal].deadline_ms", "services[x].kind"}},
		{`{"base":2,"remove":{"groups":["g"],"callers":["operator"]}}`, []string{"remove.groups[0]", "callers"}},
		{`{"base":2,"put":{"services":[{"name":"portal","kind":"plain"}]},"remove":{"services":["portal"]}}`, []string{"put.services[0]"}},
		{`{}`, []string{"base", ""}},
		{`{"base":2,"puts":{}}`, []string{""}},
		{`{"base":2,"put":{"services":[{"deadline_ms":"x"}]}}`, []string{"put.services.deadline_ms"}},
		{`{"base":2`, []string{""}},
	}
	for _, c := range cases {
		a := change("", c.body)
		a.expect(t, http.StatusUnprocessableEntity, operator.CodeFindings)
		var keys []string
		for _, f := range a.Error.Findings {
			keys = append(keys, f.Key)
		}
		if strings.Join(keys, " ") != strings.Join(c.keys, " ") {
			t.Errorf("%s: findings %s", c.body, a.raw)
		}
	}
}

// FuzzChange guards against bodies that cause a panic, modify the base document,
// or produce an invalid document without a finding.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"base":1,"put":{"services":[{"name":"portal","kind":"plain","deadline_ms":9}]}}`))
	f.Add([]byte(`{"base":1,"remove":{"services":["portal"],"callers":["operator"]}}`))
	f.Add([]byte(`{"base":1,"put":{"callers":[{"id":"operator"},{"id":"operator"}]}}{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var findings finding.List
		change, err := operator.ParseChange(body)
		if err != nil {
			if !errors.As(err, &findings) {
				t.Fatalf("error without findings: %v", err)
			}
			return
		}
		base := document(1, 5)
		out, err := change.Apply(base)
		if len(contract.Diff(base, document(1, 5))) > 0 {
			t.Fatal("the base was changed")
		}
		if err != nil {
			if !errors.As(err, &findings) {
				t.Fatalf("error without findings: %v", err)
			}
			return
		}
		if problems := contract.Check(out); len(problems) > 0 {
			t.Fatalf("problems without findings: %+v", problems)
		}
	})
}
