package contract

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
)

// testDocument returns a valid document.
func testDocument() *Document {
	return &Document{
		SheetDate: "2026-03-02",
		Revision:  1,
		Services: []Service{
			{Name: "assistant", Kind: KindEngine, Model: "model-a", MaxInProgress: 10, DeadlineMS: 1000},
			{Name: "portal", Kind: KindPlain, NonRepeatable: []Route{{Method: "POST", Path: "/invoices"}}},
		},
		Groups: []UpstreamGroup{{Name: "assistant-a", Service: "assistant", DataCentre: "mvd-a", Role: "serve", Count: 4}},
		Callers: []Caller{
			{ID: "shop", Organisation: "ferreira", KeySHA256: HashKey("shop"), RatePerSecond: 5, Burst: 10, Classes: []Class{ClassOnline}},
			{ID: "operator", Organisation: "ferreira", KeySHA256: HashKey("operator"), Operator: true},
		},
	}
}

// Guards against an invalid document that passes validation, and against
// findings with a wrong location.
func TestValidate(t *testing.T) {
	cases := []struct {
		name string
		edit func(*Document)
		key  string // key of the only finding; empty for none
	}{
		{"valid", func(*Document) {}, ""},
		{"date", func(d *Document) { d.SheetDate = "2026-02-30" }, "sheet_date"},
		{"date without zeros", func(d *Document) { d.SheetDate = "2026-3-2" }, "sheet_date"},
		{"revision", func(d *Document) { d.Revision = -1 }, "revision"},
		{"service name", func(d *Document) { d.Services[1].Name = "Portal" }, "services[1].name"},
		{"service twice", func(d *Document) { d.Services[1].Name = "assistant" }, "services[1].name"},
		{"kind", func(d *Document) { d.Services[1].Kind = "other" }, "services[1].kind"},
		{"engine without model", func(d *Document) { d.Services[0].Model = "" }, "services[0].model"},
		{"model with a space", func(d *Document) { d.Services[0].Model = "model a" }, "services[0].model"},
		{"model long", func(d *Document) { d.Services[0].Model = strings.Repeat("m", 201) }, "services[0].model"},
		{"plain with model", func(d *Document) { d.Services[1].Model = "m" }, "services[1].model"},
		{"model is a service's name", func(d *Document) { d.Services[0].Model = "portal" }, "services[0].model"},
		{"deadline", func(d *Document) { d.Services[0].DeadlineMS = 3_600_001 }, "services[0].deadline_ms"},
		{"in progress", func(d *Document) { d.Services[0].MaxInProgress = -1 }, "services[0].max_in_progress"},
		{"engine call not repeatable", func(d *Document) { d.Services[0].NonRepeatable = d.Services[1].NonRepeatable }, "services[0].non_repeatable[0].path"},
		{"method", func(d *Document) { d.Services[1].NonRepeatable[0].Method = "post" }, "services[1].non_repeatable[0].method"},
		{"relative path", func(d *Document) { d.Services[1].NonRepeatable[0].Path = "invoices" }, "services[1].non_repeatable[0].path"},
		{"path with query", func(d *Document) { d.Services[1].NonRepeatable[0].Path = "/invoices?x" }, "services[1].non_repeatable[0].path"},
		{"path not clean", func(d *Document) { d.Services[1].NonRepeatable[0].Path = "/a/../invoices" }, "services[1].non_repeatable[0].path"},
		{"path with a slash at its end", func(d *Document) { d.Services[1].NonRepeatable[0].Path = "/invoices/" }, "services[1].non_repeatable[0].path"},
		{"all paths", func(d *Document) { d.Services[1].NonRepeatable[0].Path = "/" }, ""},
		{"route twice", func(d *Document) {
			r := d.Services[1].NonRepeatable[0]
			d.Services[1].NonRepeatable = []Route{r, r}
		}, "services[1].non_repeatable[1].path"},
		{"group of no service", func(d *Document) { d.Groups[0].Service = "x" }, "groups[0].service"},
		{"group twice", func(d *Document) { d.Groups = append(d.Groups, d.Groups[0]) }, "groups[1].name"},
		{"group without data centre", func(d *Document) { d.Groups[0].DataCentre = "" }, "groups[0].data_centre"},
		{"count", func(d *Document) { d.Groups[0].Count = -1 }, "groups[0].count"},
		{"key", func(d *Document) { d.Callers[0].KeySHA256 = "secret" }, "callers[0].key_sha256"},
		{"key twice", func(d *Document) { d.Callers[1].KeySHA256 = d.Callers[0].KeySHA256 }, "callers[1].key_sha256"},
		{"caller twice", func(d *Document) { d.Callers[1].ID = "shop" }, "callers[1].id"},
		{"rate is no number", func(d *Document) { d.Callers[0].RatePerSecond = math.NaN() }, "callers[0].rate_per_second"},
		{"rate without burst", func(d *Document) { d.Callers[0].Burst = 0 }, "callers[0].burst"},
		{"no class", func(d *Document) { d.Callers[0].Classes = nil }, "callers[0].classes"},
		{"class", func(d *Document) { d.Callers[0].Classes = []Class{"urgent"} }, "callers[0].classes"},
		{"class twice", func(d *Document) { d.Callers[0].Classes = []Class{ClassBatch, ClassBatch} }, "callers[0].classes"},
		{"no operator", func(d *Document) { d.Callers = d.Callers[:1] }, "callers"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc := testDocument()
			c.edit(doc)
			findings := Validate(doc)
			want := 1
			if c.key == "" {
				want = 0
			}
			if len(findings) != want || (want == 1 && findings[0].Key != c.key) {
				t.Fatalf("findings:\n%v\nwant %d at %q", findings, want, c.key)
			}
		})
	}
}

// Guards against validation that stops at the first problem.
func TestValidateReportsAllFindings(t *testing.T) {
	doc := testDocument()
	doc.SheetDate, doc.Services[0].Name, doc.Groups[0].Count, doc.Callers[0].ID = "", "", -1, ""
	// The empty service name also invalidates the group's service reference.
	if findings := Validate(doc); len(findings) != 5 {
		t.Fatalf("%d findings, want 5:\n%v", len(findings), findings)
	}
}

// Guards against requests for a base model that are routed to a service with an
// adapter.
func TestModelWithoutAdapterIsPreferred(t *testing.T) {
	base := Service{Name: "base", Kind: KindEngine, Model: "m"}
	tuned := Service{Name: "tuned", Kind: KindEngine, Model: "m", Adapter: "a"}
	for _, order := range [][]Service{{base, tuned}, {tuned, base}} {
		doc := testDocument()
		doc.Services, doc.Groups = order, nil
		if findings := Validate(doc); len(findings) != 0 {
			t.Fatal(findings)
		}
		if got := NewIndex(doc).ServiceForModel("m"); got.Name != "base" {
			t.Errorf("model m is served by %s", got.Name)
		}
	}
}

// Guards against differences that are missing, false or in an unstable order.
func TestDiff(t *testing.T) {
	old, changed := testDocument(), testDocument()
	changed.Version, changed.ChangeID = 9, "other"
	changed.Callers[0], changed.Callers[1] = changed.Callers[1], changed.Callers[0]
	if got := Diff(old, changed); len(got) != 0 {
		t.Fatalf("equal documents in another order: %v", got)
	}
	changed.Revision = 2
	changed.Services = changed.Services[:1]
	changed.Groups = append(changed.Groups, UpstreamGroup{Name: "a-first"})
	changed.Groups[0].ChecksFencing = true
	changed.Callers[1].Burst = 20
	changed.Callers[1].Classes = []Class{ClassOnline, ClassBatch}
	want := []string{
		`sheet revision: "1" -> "2"`,
		`services portal: removed`,
		`groups a-first: added`,
		`groups assistant-a checks_fencing: "false" -> "true"`,
		`callers shop burst: "10" -> "20"`,
		`callers shop classes: "online" -> "batch, online"`,
	}
	for range 20 { // map iteration order varies
		var got []string
		for _, change := range Diff(old, changed) {
			got = append(got, change.String())
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
	if got := Diff(nil, old); len(got) != 7 {
		t.Fatalf("first document: %v", got)
	}
}

// Guards against an encoding that loses a field, and against a corrupt or
// oversized body that is decoded without an error.
func TestEncodeDecode(t *testing.T) {
	doc := testDocument()
	doc.Version, doc.ChangeID = 7, "c"
	body, err := Encode(doc)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(body)
	if err != nil || !reflect.DeepEqual(got, doc) {
		t.Fatalf("%+v, %v", got, err)
	}
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer encoder.Close()
	bad := map[string][]byte{
		"truncated": body[:len(body)-3],
		"not zstd":  []byte(`{"version":1}`),
		"not JSON":  encoder.EncodeAll([]byte("{"), nil),
		"oversized": encoder.EncodeAll(make([]byte, maxDocumentBytes+1), nil),
	}
	for name, body := range bad {
		if doc, err := Decode(body); err == nil {
			t.Errorf("%s body: decoded as %+v", name, doc)
		}
	}
}
