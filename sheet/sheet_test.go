package sheet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/finding"
)

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Guards against examples that fail to parse or do not describe the intended
// fleets, and against demo keys that match no caller.
func TestExamples(t *testing.T) {
	cases := []struct {
		file          string
		dataCentres   []string
		upstreams     map[string]int // by service
		nonRepeatable [3]string      // service, method and path of the non-repeatable call
	}{
		{
			"ferreira.csv", []string{"mvd-a", "mvd-b", "mvd-c"},
			map[string]int{"workshop-assistant": 12, "order-portal": 3}, [3]string{"order-portal", "POST", "/invoices"},
		},
		{
			"donautal.csv", []string{"linz", "wels", "enns"},
			map[string]int{"ripening-assistant": 20, "room-status": 3}, [3]string{"room-status", "POST", "/doses"},
		},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			doc, err := Parse(c.file, bytes.NewReader(readExample(t, c.file)))
			if err != nil {
				t.Fatal(err)
			}
			upstreams, dataCentres := map[string]int{}, map[string]bool{}
			for _, g := range doc.Groups {
				upstreams[g.Service] += g.Count
				dataCentres[g.DataCentre] = true
			}
			if !reflect.DeepEqual(upstreams, c.upstreams) || len(dataCentres) != len(c.dataCentres) {
				t.Errorf("upstreams %v in %v, want %v in %v", upstreams, dataCentres, c.upstreams, c.dataCentres)
			}
			index := contract.NewIndex(doc)
			if index.Service(c.nonRepeatable[0]).Repeatable(c.nonRepeatable[1], c.nonRepeatable[2]) {
				t.Errorf("%v is repeatable", c.nonRepeatable)
			}
			operators, allowed := 0, map[contract.Class]bool{}
			for _, caller := range doc.Callers {
				if index.CallerByKey("demo-"+caller.ID) == nil {
					t.Errorf("caller %s is not found by its demo key", caller.ID)
				}
				for _, class := range caller.Classes {
					allowed[class] = true
				}
				if caller.Operator {
					operators++
				}
			}
			if operators != 1 || len(allowed) != 2 {
				t.Errorf("%d operators and classes %v, want 1 operator and both classes", operators, allowed)
			}
		})
	}
}

// Guards against formats that change the document when it is written and parsed.
func TestWriteThenParse(t *testing.T) {
	formats := []Format{{}, {Semicolon: true}, {ByteOrderMark: true}, {Semicolon: true, ByteOrderMark: true}}
	for _, file := range []string{"ferreira.csv", "donautal.csv"} {
		doc, err := Parse(file, bytes.NewReader(readExample(t, file)))
		if err != nil {
			t.Fatal(err)
		}
		doc.Callers[0].RatePerSecond = 0.125
		for _, format := range formats {
			var out bytes.Buffer
			if err := Write(&out, doc, format); err != nil {
				t.Fatal(err)
			}
			if comma := strings.Contains(out.String(), ";0,125;"); comma != format.Semicolon {
				t.Errorf("%s as %+v: decimal comma %v", file, format, comma)
			}
			got, err := Parse(file, &out)
			if err != nil || !reflect.DeepEqual(got, doc) {
				t.Errorf("%s as %+v: %+v, %v", file, format, got, err)
			}
		}
	}
}

const (
	header   = "kind,date,revision,name,type,model,service,method,path,data_centre,count,organisation,key_sha256,rate_per_second,burst,classes,operator\n"
	meta     = "meta,2026-11-30,1\n"
	portal   = "service,,,portal,plain\n"
	operator = "caller,,,boss,,,,,,,,o,0000000000000000000000000000000000000000000000000000000000000000,,,,yes\n"
	valid    = header + meta + portal + operator
)

// Guards against findings that name the wrong cell, are reported twice or hide
// other findings. Lines are counted from 1.
func TestFindings(t *testing.T) {
	cases := []struct {
		name, content string
		want          []string // line, column and value
	}{
		{"valid", valid, nil},
		{"valid with CRLF and blank rows", strings.ReplaceAll(valid+",,,\n\n", "\n", "\r\n"), nil},
		{"non-repeatable routes before their service", header + "non_repeatable,,,,,,portal,POST,/x\n" + meta + portal + operator, nil},
		{"padding cells", strings.ReplaceAll(valid, "\n", ",,\n"), nil},
		{"empty", " \n", []string{`0 "" ""`}},
		{"UTF-16", "\xff\xfek\x00", []string{`1 "" ""`}},
		{"no kind column", "name,count\nx,1\n", []string{`1 "kind" ""`}},
		{"broken quote in the first line", "\"ki\"nd,name\nservice,a\n", []string{`1 "" ""`}},
		{"unknown column", "extra," + header + "," + strings.Join(strings.SplitAfter(meta+portal+strings.TrimSuffix(operator, "\n"), "\n"), ","),
			[]string{`1 "" "extra"`}},
		{"column twice", strings.Replace(header, "\n", ",name\n", 1) + meta + portal + operator, []string{`1 "name" "name"`}},
		{"unknown kind", valid + "gruop,,,x\n", []string{`5 "kind" "gruop"`}},
		{"no meta row", header + portal + operator, []string{`0 "kind" ""`}},
		{"two meta rows", valid + meta, []string{`5 "kind" "meta"`}},
		{"no operator", header + meta + portal, []string{`0 "" ""`}},
		{"local date", strings.Replace(valid, "2026-11-30", "30.11.2026", 1), []string{`2 "date" "30.11.2026"`}},
		{"revision missing", strings.Replace(valid, "30,1\n", "30\n", 1), []string{`2 "revision" ""`}},
		{"cell that the row kind does not use", strings.Replace(valid, "meta,2026-11-30,1\n", "meta,2026-11-30,1,x\n", 1), []string{`2 "name" "x"`}},
		{"cell without a column", strings.Replace(valid, ",yes\n", ",yes,y\n", 1), []string{`4 "" "y"`}},
		{"not UTF-8", valid + "service,,,caf\xe9,plain\n", []string{`5 "name" "caf?"`}},
		{"broken quote", valid + "service,,,a\"b,plain\nservice,,,x y,plain\n", []string{`5 "" ""`, `6 "name" "x y"`}},
		{"number as text", valid + "group,,,g,,,portal,,,linz,three\n", []string{`5 "count" "three"`}},
		{"number too large", valid + "group,,,g,,,portal,,,linz,99999999999999999999\n", []string{`5 "count" "99999999999999999999"`}},
		{"rate not finite", strings.Replace(valid, ",,,,yes", ",NaN,1,,yes", 1), []string{`4 "rate_per_second" "NaN"`}},
		{"rate with exponent", strings.Replace(valid, ",,,,yes", ",1e3,1,,yes", 1), []string{`4 "rate_per_second" "1e3"`}},
		{"rate with comma in a comma file", strings.Replace(valid, ",,,,yes", `,"2,5",1,,yes`, 1), []string{`4 "rate_per_second" "2,5"`}},
		{"invalid boolean", strings.Replace(valid, ",yes", ",maybe", 1), []string{`0 "" ""`, `4 "operator" "maybe"`, `4 "classes" ""`}},
		{"non-repeatable route of an unknown service", valid + "non_repeatable,,,,,,x,POST,/x\n", []string{`5 "service" "x"`}},
		{"method of a non-repeatable route", valid + "non_repeatable,,,,,,portal,POST,/y\nnon_repeatable,,,,,,portal,post,/x\n", []string{`6 "method" "post"`}},
		{"service twice", valid + portal, []string{`5 "name" "portal"`}},
		{"many", header + "meta,x,y\nservice,,,A,other\ngroup,,,g,,,z,,,linz,-1\n" + operator,
			[]string{`2 "revision" "y"`, `2 "date" "x"`, `3 "name" "A"`, `3 "type" "other"`, `4 "service" "z"`, `4 "count" "-1"`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("s.csv", strings.NewReader(c.content))
			var findings finding.List
			if err != nil && !errors.As(err, &findings) {
				t.Fatal(err)
			}
			var got []string
			for _, f := range findings {
				got = append(got, fmt.Sprintf("%d %q %q", f.Line, f.Column, f.Value))
				if f.File != "s.csv" || f.Reason == "" {
					t.Errorf("finding without file or reason: %+v", f)
				}
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Fatalf("got %s\nwant %s\n%v", got, c.want, err)
			}
		})
	}
}

// Guards against a finding for a duplicate name that omits the line of the first use.
func TestDuplicateNamesTheFirstLine(t *testing.T) {
	_, err := Parse("s.csv", strings.NewReader(valid+portal))
	if want := `s.csv:5: name: "portal": already used in line 3`; err == nil || err.Error() != want {
		t.Fatalf("got %v, want %s", err, want)
	}
}

// Guards against rejecting or misreading the localised boolean values and numbers
// that planners' spreadsheets write.
func TestLocalisedCells(t *testing.T) {
	content := strings.ReplaceAll(valid, ",", ";")
	content = strings.Replace(content, ";;;;yes", ";2,5;1;;WAHR", 1)
	doc, err := Parse("s.csv", strings.NewReader(byteOrderMark+content))
	if err != nil {
		t.Fatal(err)
	}
	if c := doc.Callers[0]; !c.Operator || c.RatePerSecond != 2.5 {
		t.Fatalf("caller %+v, want an operator with rate 2.5", c)
	}
}

// Guards against input that causes a panic, errors without findings, and accepted
// sheets that change when they are written and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "ferreira.csv"))
	f.Add(readExample(f, "donautal.csv"))
	f.Add([]byte(valid))
	f.Add([]byte(strings.ReplaceAll(valid, ",", ";")))
	f.Add([]byte("kind;name\n\"x\"y;\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		doc, err := Parse("s.csv", bytes.NewReader(content))
		if err != nil {
			var findings finding.List
			if !errors.As(err, &findings) || len(findings) == 0 {
				t.Fatalf("error without findings: %v", err)
			}
			return
		}
		for _, format := range []Format{{}, {Semicolon: true, ByteOrderMark: true}} {
			var out bytes.Buffer
			if err := Write(&out, doc, format); err != nil {
				t.Fatal(err)
			}
			again, err := Parse("s.csv", &out)
			if err != nil || !reflect.DeepEqual(again, doc) {
				t.Fatalf("written and read again: %+v, %v; want %+v", again, err, doc)
			}
		}
	})
}
