package main

import (
	"math"
	"strings"
	"testing"
)

// Guards against fitting the wrong column and against swapping slope and intercept.
func TestRun(t *testing.T) {
	input := `goos: linux
BenchmarkA/callers=1-2   10   5 ns/op   100 B/op
BenchmarkA/callers=2-2   10   7 ns/op   100 B/op
BenchmarkA/callers=3-2   10   9 ns/op   100 B/op
BenchmarkA/callers=10-2  10  23 ns/op   100 B/op
BenchmarkB/jobs=1-2      10  23 ns/op
`
	var out strings.Builder
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("want one line for each of the two units of A:\n%s", out.String())
	}
	if got := strings.Join(strings.Fields(lines[1]), " "); got != "A/callers ns/op 3 + 2 per unit r2 1.0000" {
		t.Errorf("got %q", got)
	}
}

// Guards against a high r squared for points without a linear relation.
func TestFit(t *testing.T) {
	s := series{x: []float64{1, 2, 3, 4}, y: []float64{1, -1, -1, 1}}
	intercept, slope, r2 := s.fit()
	if math.Abs(intercept) > 1e-9 || math.Abs(slope) > 1e-9 || r2 > 1e-9 {
		t.Errorf("%g + %g x, r2 %g", intercept, slope, r2)
	}
}
