package cli

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func startServer(t *testing.T, h http.HandlerFunc) (address string) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

const goodSheet = `kind,date,revision,name,organisation,key_sha256,operator
meta,2026-03-02,1,,,,
caller,,,operator,o,` + "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a" + `,yes
`

// Guards against a command that fails when the first entry is unavailable, or that
// sends a change to the next entry with another change id or without its body.
func TestApplyTriesEntriesInTurn(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sheet.csv")
	writeFile(t, file, goodSheet)
	var mu sync.Mutex
	var ids []string
	checkRequest := func(r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		if string(body) != goodSheet || r.Header.Get("Authorization") != "Bearer k" || r.URL.RawQuery != "base=6" {
			t.Errorf("request %s %q", r.URL, body)
		}
		ids = append(ids, r.Header.Get("Idempotency-Key"))
	}
	failing := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		checkRequest(r)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	working := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		checkRequest(r)
		_, _ = io.WriteString(w, `{"version":7,"base":6}`)
	})
	code, out, errOut := runCommand(t, "sheet", "apply", file, "--base", "6", "--key", "k",
		"--entry", closedAddress(t), "--entry", failing, "--entry", working)
	if code != ExitOK || !strings.Contains(out, "version 7 accepted") {
		t.Fatalf("exit %d: %s%s", code, out, errOut)
	}
	if len(ids) != 2 || ids[0] == "" || ids[0] != ids[1] {
		t.Errorf("change ids %q", ids)
	}
}

// Guards against exit codes that scripts cannot tell apart and against findings
// without row and column.
func TestSheetExitCodes(t *testing.T) {
	directory := t.TempDir()
	good, bad := filepath.Join(directory, "good.csv"), filepath.Join(directory, "bad.csv")
	writeFile(t, good, goodSheet)
	writeFile(t, bad, strings.NewReplacer(",o,", ",O!,", "2026-03-02", "today").Replace(goodSheet))
	code, _, errOut := runCommand(t, "sheet", "check", bad)
	want := []string{bad + ":2: date: \"today\": ", bad + ":3: organisation: \"O!\": "}
	if code != ExitInvalidInput || !strings.Contains(errOut, want[0]) || !strings.Contains(errOut, want[1]) {
		t.Errorf("check: exit %d: %s", code, errOut)
	}
	serveError := func(status int, body string) string {
		return startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
	}
	conflict := serveError(http.StatusConflict, `{"error":{"code":"version_conflict","message":"m","details":{"difference":[{"section":"callers","name":"anna","field":"burst","old":"1","new":"2"}]}}}`)
	invalid := serveError(http.StatusUnprocessableEntity, `{"error":{"code":"invalid_configuration","findings":[{"file":"sheet","line":3,"column":"name","reason":"r"}]}}`)
	cases := []struct {
		args []string
		code int
		text string
	}{
		{[]string{"sheet", "check", good}, ExitOK, ""},
		{[]string{"sheet", "apply", good, "--entry", conflict}, ExitFailure, `callers anna burst: "1" -> "2"`},
		{[]string{"sheet", "apply", good, "--entry", invalid}, ExitInvalidInput, good + ":3: name: r"},
		{[]string{"sheet", "apply", good}, ExitInvalidInput, "entry"},
		{[]string{"sheet", "status", "--entry", "no/address"}, ExitInvalidInput, "--entry"},
	}
	for _, c := range cases {
		code, _, errOut := runCommand(t, c.args...)
		if code != c.code || !strings.Contains(errOut, c.text) {
			t.Errorf("%q: exit %d: %s", c.args, code, errOut)
		}
	}
}

// Guards against an interrupted download that leaves a file that looks complete.
func TestBrokenDownloadLeavesNoFile(t *testing.T) {
	broken := true
	entry := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/batches/"):
			_, _ = io.WriteString(w, `{"id":"b","status":"completed","output_file_id":"f"}`)
		case !strings.HasSuffix(r.URL.Path, "/content"):
			_, _ = io.WriteString(w, `{"id":"f","bytes":4}`)
		case broken:
			w.Header().Set("Content-Length", "4")
			_, _ = io.WriteString(w, "on")
		default:
			_, _ = io.WriteString(w, "one\n")
		}
	})
	directory := t.TempDir()
	output := filepath.Join(directory, "out.jsonl")
	args := []string{"jobs", "download", "b", "--output", output, "--entry", entry}
	if code, _, _ := runCommand(t, args...); code != ExitFailure {
		t.Errorf("interrupted download: exit %d", code)
	}
	if leftover, _ := os.ReadDir(directory); len(leftover) != 0 {
		t.Errorf("interrupted download: left %v", leftover)
	}
	broken = false
	if code, _, errOut := runCommand(t, args...); code != ExitOK {
		t.Errorf("exit %d: %s", code, errOut)
	}
	if content, _ := os.ReadFile(output); string(content) != "one\n" {
		t.Errorf("content %q", content)
	}
}

// Guards against control characters in logs and against a bar that exceeds its
// width.
func TestProgress(t *testing.T) {
	var out bytes.Buffer
	p := newProgress(&out)
	p.update(1, 4, "items")
	p.update(2, 4, "items") // too soon for another line
	p.finish(4, 4, "items")
	if out.String() != "1 of 4 items (25%)\n4 of 4 items (100%)\n" {
		t.Errorf("lines %q", out.String())
	}
	for _, done := range []int64{-1, 0, 2, 4, 9} {
		if b := renderBar(done, 4); len(b) != barWidth+2 || percent(done, 4) < 0 || percent(done, 4) > 100 {
			t.Errorf("done %d: %s %d", done, b, percent(done, 4))
		}
	}
}
