package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/finding"
)

const validEntry = `[instance]
id = entry-1
data_centre = mvd-a
listen = 127.0.0.1:8080
[platform]
address = 127.0.0.1:9000
[timeouts]
accept = 300ms
`

func TestParseEntryReadsValuesAndDefaults(t *testing.T) {
	e, err := ParseEntry("entry.ini", []byte(validEntry))
	if err != nil {
		t.Fatal(err)
	}
	if e.Instance.DataCentre != "mvd-a" || e.AcceptTimeout != 300*time.Millisecond || e.MaxBatchBytes != 64<<20 {
		t.Fatalf("unexpected settings: %+v", e)
	}
}

// Guards against an agent that requires a platform address or ignores it.
func TestPlatformOfAgentIsOptional(t *testing.T) {
	const agent = "[instance]\nid=a\ndata_centre=d\nlisten=127.0.0.1:1\n[upstream]\naddress=127.0.0.1:2\nservice=s\n"
	without, err := ParseAgent("agent.ini", []byte(agent))
	if err != nil || without.Platform.Address != "" {
		t.Errorf("got %+v, %v", without, err)
	}
	with, err := ParseAgent("agent.ini", []byte(agent+"[platform]\naddress=127.0.0.1:3\ntimeout=1s\n"))
	if err != nil || with.Platform != (Platform{Address: "127.0.0.1:3", Timeout: time.Second}) {
		t.Errorf("got %+v, %v", with, err)
	}
}

// Guards against reporting only the first problem, or a problem without its line.
func TestAllFindingsAreReportedWithTheirPlace(t *testing.T) {
	file := "[instance]\n" + // 1
		"id = a\n" + // 2
		"listen = localhost:80\n" + // 3
		"listen = 127.0.0.1:80\n" + // 4
		"colour = red\n" + // 5
		"nonsense\n" + // 6
		"[upstream]\n" + // 7
		"address = 127.0.0.1:9\n" + // 8
		"service = s\n" + // 9
		"kind = tram\n" + // 10
		"slots = many\n" + // 11
		"[timeouts]\n" + // 12
		"drain = 2h\n" + // 13
		"[tls]\n" + // 14
		"key = k.pem\n" // 15
	_, err := ParseAgent("agent.ini", []byte(file))
	var list finding.List
	if !errors.As(err, &list) {
		t.Fatalf("got %v, want findings", err)
	}
	want := []string{
		"agent.ini:1: [instance] data_centre: is required",
		"agent.ini:4: [instance] listen: stands in line 3 already",
		"agent.ini:5: [instance] colour: unknown key",
		"agent.ini:6: [instance] \"nonsense\": neither",
		"agent.ini:10: [upstream] kind: \"tram\": must be one of",
		"agent.ini:11: [upstream] slots: \"many\": must be a whole number",
		"agent.ini:13: [timeouts] drain: \"2h\": must be between",
		"agent.ini:14: [tls] certificate: is required",
		"agent.ini:14: [tls] authority: is required",
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("no finding %q in:\n%v", w, err)
		}
	}
	if len(list) != len(want) {
		t.Errorf("%d findings, want %d:\n%v", len(list), len(want), err)
	}
}

// Guards against input that causes a panic.
func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Add([]byte("[\n=\n:\n]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseEntry("fuzz.ini", data)
	})
}
