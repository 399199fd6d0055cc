package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against exit code 0 for a missed outcome or invalid input, a last line
// that is not a JSON object, and a report that is not written.
func TestReplayExitCodes(t *testing.T) {
	directory := t.TempDir()
	file := func(name string) string { return filepath.Join(directory, name) }
	code, _, e := runCommand(t, "trace", "generate", "--fleet", "ferreira", "--day", "burst", "--duration", "20s", "--seed", "3", "--output", file("trace"))
	if code != ExitOK {
		t.Fatalf("trace generate: exit %d: %s", code, e)
	}
	writeFile(t, file("met"), `{"batch_lost":{"max":0},"online_ok":{"min":1}}`)
	writeFile(t, file("missed"), `{"online_sent":{"max":1}}`)
	writeFile(t, file("unknown"), `{"no_such_number":{"max":1}}`)
	writeFile(t, file("broken"), "{}\n")
	cases := []struct {
		args []string
		want int
		met  bool
	}{
		{[]string{"--trace", file("trace"), "--outcomes", file("met"), "--report", file("report")}, ExitOK, true},
		{[]string{"--trace", file("trace"), "--outcomes", file("missed"), "--policy", "fifo"}, ExitFailure, false},
		{[]string{"--trace", file("trace"), "--outcomes", file("unknown")}, ExitInvalidInput, false},
		{[]string{"--trace", file("broken")}, ExitInvalidInput, false},
		{[]string{"--trace", file("trace"), "--policy", "none"}, ExitInvalidInput, false},
	}
	for _, c := range cases {
		code, out, e := runCommand(t, append([]string{"replay", "--fleet", "ferreira"}, c.args...)...)
		if code != c.want {
			t.Errorf("%v: exit %d, want %d: %s", c.args, code, c.want, e)
		}
		if c.want == ExitInvalidInput {
			continue
		}
		lines := strings.Split(strings.TrimSpace(out), "\n")
		var result struct {
			OutcomesMet bool `json:"outcomes_met"`
		}
		if err := json.Unmarshal([]byte(lines[len(lines)-1]), &result); err != nil || result.OutcomesMet != c.met {
			t.Errorf("%v: last line %q, error %v", c.args, lines[len(lines)-1], err)
		}
	}
	page, err := os.ReadFile(file("report"))
	if err != nil || strings.Count(string(page), "<polyline") != 4 {
		t.Errorf("report of %d bytes, error %v", len(page), err)
	}
}
