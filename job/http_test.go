package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/effect"
)

// apiTest sends requests to two instances of the API in turn.
type apiTest struct {
	t         *testing.T
	store     *Store
	handlers  []http.Handler
	calls     int
	announced []string
}

func newAPITest(t *testing.T, f *fakePlatform) *apiTest {
	a := &apiTest{t: t, store: NewStore(f)}
	for range 2 {
		api := &API{
			Store: NewStore(f), Contract: testContract(), Log: zerolog.Nop(),
			AnnounceCancelled: func(id string) { a.announced = append(a.announced, id) },
		}
		a.handlers = append(a.handlers, api.Handler())
	}
	return a
}

func (a *apiTest) send(org, method, path, contentType, body string, header ...string) *httptest.ResponseRecorder {
	a.calls++
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", contentType)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	if org != "" {
		r = r.WithContext(contract.WithCaller(r.Context(), &contract.Caller{
			ID: org + "-caller", Organisation: org, Classes: []contract.Class{contract.ClassBatch},
		}))
	}
	w := httptest.NewRecorder()
	a.handlers[a.calls%len(a.handlers)].ServeHTTP(w, r)
	return w
}

func form(purpose, content string) (contentType, body string) {
	var buf bytes.Buffer
	w := multipart.NewWriter(&buf)
	part, _ := w.CreateFormFile("file", "in.jsonl")
	_, _ = io.WriteString(part, content)
	_ = w.WriteField("purpose", purpose)
	_ = w.Close()
	return w.FormDataContentType(), buf.String()
}

// call sends a JSON request, checks the status and decodes the response.
func call[T any](a *apiTest, status int, org, method, path, body string, header ...string) T {
	a.t.Helper()
	w := a.send(org, method, path, "application/json", body, header...)
	var v T
	if w.Code != status {
		a.t.Fatalf("%s %s: %d, want %d: %s", method, path, w.Code, status, w.Body)
	}
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
		a.t.Fatalf("%s %s: %v", method, path, err)
	}
	return v
}

func (a *apiTest) upload(n int) FileObject {
	a.t.Helper()
	contentType, body := form("batch", inputLines(n))
	w := a.send("org", "POST", "/v1/files", contentType, body)
	var f FileObject
	if err := json.Unmarshal(w.Body.Bytes(), &f); err != nil || w.Code != 200 {
		a.t.Fatal(w.Code, w.Body)
	}
	return f
}

func createBody(file, window string) string {
	return fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":%q,"metadata":{"k":"v"}}`, file, EndpointChat, window)
}

// TestAPILifecycle guards against responses that deviate from the OpenAI format or
// differ between entries, and against output that changes between reads.
func TestAPILifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		a := newAPITest(t, f)
		file := a.upload(250)
		if got := call[FileObject](a, 200, "org", "GET", "/v1/files/"+file.ID, ""); got != file || got.Purpose != "batch" {
			t.Errorf("file %+v", got)
		}
		if w := a.send("org", "GET", "/v1/files/"+file.ID+"/content", "", ""); w.Body.String() != inputLines(250) {
			t.Errorf("content of %d bytes", w.Body.Len())
		}
		b := call[BatchObject](a, 200, "org", "POST", "/v1/batches", createBody(file.ID, "24h"), "Idempotency-Key", "k")
		again := call[BatchObject](a, 200, "org", "POST", "/v1/batches", createBody(file.ID, "24h"), "Idempotency-Key", "k")
		if b.ID != again.ID || b.Status != "in_progress" || b.Object != "batch" || b.RequestCounts.Total != 250 {
			t.Errorf("%+v, resend %+v", b, again)
		}
		if w := a.send("org", "GET", "/v1/files/"+OutputFileID(b.ID)+"/content", "", ""); w.Code != 404 {
			t.Errorf("output of a running batch: %d", w.Code)
		}
		fl := newFakeAgents(20)
		fl.answer = completeAfter(time.Second)
		e := startEntry(t, f, fl, 0, 1)
		awaitJob(t, a.store, b.ID, time.Minute)
		e.stop(t)
		b = call[BatchObject](a, 200, "org", "GET", "/v1/batches/"+b.ID, "")
		if b.Status != "completed" || b.CompletedAt == 0 || b.RequestCounts != (Counts{250, 250, 0}) || b.ErrorFileID != "" {
			t.Errorf("%+v", b)
		}
		var outputs []string
		for range 2 {
			outputs = append(outputs, a.send("org", "GET", "/v1/files/"+b.OutputFileID+"/content", "", "").Body.String())
		}
		info := call[FileObject](a, 200, "org", "GET", "/v1/files/"+b.OutputFileID, "")
		if outputs[0] != outputs[1] || strings.Count(outputs[0], "\n") != 250 || info.Bytes != int64(len(outputs[0])) {
			t.Errorf("output of %d and %d bytes, stated %d", len(outputs[0]), len(outputs[1]), info.Bytes)
		}
		if c := call[BatchObject](a, 200, "org", "POST", "/v1/batches/"+b.ID+"/cancel", ""); c.Status != "completed" {
			t.Errorf("cancel after completion: %s", c.Status)
		}
	})
}

// TestAPICancelled guards against items of a cancelled batch that have neither an
// output nor an error line.
func TestAPICancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		a := newAPITest(t, f)
		b := call[BatchObject](a, 200, "org", "POST", "/v1/batches", createBody(a.upload(350).ID, "24h"))
		j, _ := a.store.Job(t.Context(), b.ID)
		claim, _ := a.store.Claim(t.Context(), j, Chunk{Index: 2}, "x")
		if err := a.store.Commit(t.Context(), claim, testResults(claim)); err != nil {
			t.Fatal(err)
		}
		b = call[BatchObject](a, 200, "org", "POST", "/v1/batches/"+b.ID+"/cancel", "")
		if b.Status != "cancelled" || b.RequestCounts != (Counts{350, 100, 0}) || len(a.announced) != 1 {
			t.Errorf("%+v, announced %v", b, a.announced)
		}
		errorFile := a.send("org", "GET", "/v1/files/"+b.ErrorFileID+"/content", "", "").Body.String()
		lines := strings.Split(strings.TrimSpace(errorFile), "\n")
		if len(lines) != 250 || !strings.Contains(lines[200], `"i300"`) || !strings.Contains(lines[0], codeCancelled) {
			t.Errorf("%d error lines; 200: %.200s", len(lines), lines[min(200, len(lines)-1)])
		}
		info := call[FileObject](a, 200, "org", "GET", "/v1/files/"+b.ErrorFileID, "")
		if info.Bytes != int64(len(errorFile)) {
			t.Errorf("%d bytes stated, %d read", info.Bytes, len(errorFile))
		}
	})
}

// TestAPIRefusals guards against access to another organisation's data and
// against wrong statuses.
func TestAPIRefusals(t *testing.T) {
	f := newFakePlatform()
	a := newAPITest(t, f)
	file := a.upload(5)
	b := call[BatchObject](a, 200, "org", "POST", "/v1/batches", createBody(file.ID, "24h"))
	badType, badForm := form("batch", "{\n{")
	fineTune, fineForm := form("fine-tune", inputLines(1))
	cases := []struct {
		org, method, path, contentType, body string
		status                               int
		want                                 string
	}{
		{"", "GET", "/v1/batches", "", "", 401, "invalid_api_key"},
		{"other", "GET", "/v1/files/" + file.ID, "", "", 404, "not_found"},
		{"other", "GET", "/v1/files/" + file.ID + "/content", "", "", 404, "not_found"},
		{"other", "GET", "/v1/files/" + OutputFileID(b.ID), "", "", 404, "not_found"},
		{"other", "GET", "/v1/batches/" + b.ID, "", "", 404, "not_found"},
		{"other", "POST", "/v1/batches/" + b.ID + "/cancel", "", "", 404, "not_found"},
		{"other", "GET", "/v1/batches?after=" + b.ID, "", "", 404, "not_found"},
		{"other", "POST", "/v1/batches", "", createBody(file.ID, "24h"), 400, "no such file"},
		{"org", "POST", "/v1/batches", "", createBody(file.ID, "30 days"), 400, "completion_window"},
		{"org", "POST", "/v1/batches", "", "{", 400, "invalid_json"},
		{"org", "GET", "/v1/batches?limit=0", "", "", 400, "invalid_limit"},
		{"org", "POST", "/v1/files", badType, badForm, 400, `"line":2`},
		{"org", "POST", "/v1/files", fineTune, fineForm, 400, "invalid_purpose"},
		{"org", "POST", "/v1/files", "text/plain", "x", 400, "invalid_form"},
	}
	for _, c := range cases {
		w := a.send(c.org, c.method, c.path, c.contentType, c.body)
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s %s %s: %d %s, want %d %s", c.org, c.method, c.path, w.Code, w.Body, c.status, c.want)
		}
	}
	if page := call[ListObject](a, 200, "other", "GET", "/v1/batches", ""); len(page.Data) != 0 {
		t.Error("list returned another organisation's batch")
	}
}

// TestAPIPaging guards against missing or duplicate batches across list pages.
func TestAPIPaging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAPITest(t, newFakePlatform())
		file := a.upload(1)
		var created []string
		for i := range 25 {
			b := call[BatchObject](a, 200, "org", "POST", "/v1/batches", createBody(file.ID, "24h"), "Idempotency-Key", itoa(i))
			created = append([]string{b.ID}, created...)
			time.Sleep(time.Second)
		}
		var listed []string
		for path := "/v1/batches?limit=10"; ; {
			page := call[ListObject](a, 200, "org", "GET", path, "")
			for _, b := range page.Data {
				listed = append(listed, b.ID)
			}
			if !page.HasMore {
				break
			}
			path = "/v1/batches?limit=10&after=" + page.LastID
		}
		if strings.Join(listed, " ") != strings.Join(created, " ") {
			t.Errorf("listed %d of %d: %v", len(listed), len(created), listed)
		}
	})
}

// TestAPIOutage guards against a create that hangs in an outage, misreports whether it
// may have taken effect, or promises that it has not with its status.
func TestAPIOutage(t *testing.T) {
	statuses := map[string]int{"no": 503, "unknown": 504}
	for op, executed := range map[string]string{"get": "no", "commit": "unknown"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakePlatform()
			a := newAPITest(t, f)
			file := a.upload(1)
			f.setFault(func(have, key string) fault {
				if have == op && !strings.HasPrefix(key, filePrefix) {
					return faultUnavailable
				}
				return faultNone
			})
			w := a.send("org", "POST", "/v1/batches", "", createBody(file.ID, "24h"))
			if w.Code != statuses[executed] || w.Header().Get("X-Request-Executed") != executed || w.Header().Get("Retry-After") == "" {
				t.Errorf("%s down: %d %v", op, w.Code, w.Header())
			}
		})
	}
}

// TestAnswersPromiseOnlyWhatIsKnown guards against a status that promises "not run" for
// a create, cancel or upload that was performed or may be, and against a missing promise
// for one that surely was not.
func TestAnswersPromiseOnlyWhatIsKnown(t *testing.T) {
	isRow := func(prefix string) func(op, key string) bool {
		return func(op, key string) bool { return op == "commit" && strings.HasPrefix(key, prefix) }
	}
	readOf := func(prefix string) func(op, key string) bool {
		return func(op, key string) bool { return op == "get" && strings.HasPrefix(key, prefix) }
	}
	cases := []struct {
		name, request string
		fault         fault
		at            func(op, key string) bool
		status        int
		executed      string
	}{
		{"file not readable", "create", faultUnavailable, readOf(filePrefix), 503, "no"},
		{"commits throttled", "create", faultThrottled, isRow(jobPrefix), 503, "no"},
		{"commits lost and reads down", "create", faultAnswerLost, func(string, string) bool { return false }, 504, "unknown"},
		{"counts of the new job not readable", "create", faultUnavailable, func(op, _ string) bool { return op == "scan" }, 504, "unknown"},
		{"job not readable", "cancel", faultUnavailable, readOf(jobPrefix), 503, "no"},
		{"commit without an answer", "cancel", faultUnavailable, isRow(jobPrefix), 504, "unknown"},
		{"counts of the cancelled job not readable", "cancel", faultUnavailable, func(op, _ string) bool { return op == "scan" }, 504, "unknown"},
		{"part not stored", "upload", faultThrottled, func(op, _ string) bool { return op == "put" }, 503, "no"},
		{"row throttled", "upload", faultThrottled, isRow(filePrefix), 503, "no"},
		{"row without an answer", "upload", faultUnavailable, isRow(filePrefix), 504, "unknown"},
		{"read", "get", faultUnavailable, readOf(jobPrefix), 503, ""},
	}
	for _, c := range cases {
		t.Run(c.request+" "+c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakePlatform()
				a := newAPITest(t, f)
				file := a.upload(1)
				job := call[BatchObject](a, 200, "org", "POST", "/v1/batches", createBody(file.ID, "24h"), "Idempotency-Key", "first")
				lost := false
				f.setFault(func(op, key string) fault {
					switch {
					case c.fault == faultAnswerLost && lost:
						return faultUnavailable
					case c.fault == faultAnswerLost && op == "commit":
						lost = true
						return faultAnswerLost
					case c.at(op, key):
						return c.fault
					}
					return faultNone
				})
				contentType, body := form(purposeBatch, inputLines(1))
				method, path := "POST", "/v1/files"
				switch c.request {
				case "create":
					path, contentType, body = "/v1/batches", "", createBody(file.ID, "24h")
				case "cancel":
					path, body = "/v1/batches/"+job.ID+"/cancel", ""
				case "get":
					method, path, body = "GET", "/v1/batches/"+job.ID, ""
				}
				w := a.send("org", method, path, contentType, body)
				if w.Code != c.status || w.Header().Get("X-Request-Executed") != c.executed {
					t.Errorf("status %d, executed %q, want %d %q: %s", w.Code,
						w.Header().Get("X-Request-Executed"), c.status, c.executed, w.Body)
				}
			})
		})
	}
}

// TestPromisedRequestsNeverTakeEffect guards against a create, cancel or upload that was
// answered with a promise of "not run" at any attempt of two gateways and takes effect, at
// once or later, under any sequence of faults.
func TestPromisedRequestsNeverTakeEffect(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 600
	properties := gopter.NewProperties(params)
	promises, effects := 0, 0
	properties.Property("no effect after promises only", prop.ForAll(func(seed uint64) bool {
		ok := true
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			f := newFakePlatform()
			a := newAPITest(t, f)
			file := a.upload(1)
			job := call[BatchObject](a, 200, "org", "POST", "/v1/batches", createBody(file.ID, "24h"), "Idempotency-Key", "first")
			before := f.snapshot()
			faulty, kinds := rnd.Float64(), 1+rnd.IntN(int(faultAppliedLate))
			var mu sync.Mutex
			f.setFault(func(string, string) fault {
				mu.Lock()
				defer mu.Unlock()
				if rnd.Float64() > faulty {
					return faultNone
				}
				return fault(1 + rnd.IntN(kinds))
			})
			contentType, body := form(purposeBatch, inputLines(2))
			path := "/v1/files"
			switch rnd.IntN(3) {
			case 0:
				path, contentType, body = "/v1/batches", "", createBody(file.ID, "24h")
			case 1:
				path, contentType, body = "/v1/batches/"+job.ID+"/cancel", "", ""
			}
			promised := true
			for range 1 + rnd.IntN(2) {
				w := a.send("org", "POST", path, contentType, body, "Idempotency-Key", "second")
				promised = promised && effect.Promises(w.Code)
			}
			time.Sleep(time.Minute) // late writes
			changed := !maps.Equal(before, f.snapshot())
			if promised {
				promises++
			}
			if changed {
				effects++
			}
			if ok = !promised || !changed; !ok {
				t.Logf("seed %d: %s was promised not to run and took effect", seed, path)
			}
		})
		return ok
	}, gen.UInt64()))
	properties.TestingRun(t)
	if promises == 0 || effects == 0 {
		t.Errorf("%d promises and %d effects: the faults do not test both", promises, effects)
	}
	t.Logf("%d promises, %d effects", promises, effects)
}

// snapshot returns the versions of the rows of files and jobs.
func (f *fakePlatform) snapshot() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := make(map[string]uint64)
	for key, row := range f.rows {
		if strings.HasPrefix(key, jobPrefix) || strings.HasPrefix(key, filePrefix) {
			versions[key] = row.Version
		}
	}
	return versions
}
