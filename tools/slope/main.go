// Slope reads the output of go test -bench on standard input. For each
// benchmark and unit it fits a least-squares line over the sizes in the
// benchmark names and prints intercept, slope and r squared. The size is the
// last name=number element of a benchmark name, as in BenchmarkX/callers=100-2.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// minSizes is the number of distinct sizes below which no line is fitted.
const minSizes = 4

var benchmarkPattern = regexp.MustCompile(`^Benchmark(\S*?)([\w-]+)=(\d+)(?:-\d+)?$`)

// series holds the sizes (x) and measured values (y) of one benchmark and unit.
type series struct{ x, y []float64 }

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "slope:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	seriesByName := make(map[string]*series)
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		parseLine(scanner.Text(), seriesByName)
	}
	names := make([]string, 0, len(seriesByName))
	for name, s := range seriesByName {
		if s.distinctSizes() >= minSizes {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		intercept, slope, r2 := seriesByName[name].fit()
		if _, err := fmt.Fprintf(out, "%-60s %12.5g + %12.5g per unit  r2 %.4f\n", name, intercept, slope, r2); err != nil {
			return err
		}
	}
	return scanner.Err()
}

// parseLine adds the values of a benchmark result line and ignores all other lines.
func parseLine(line string, seriesByName map[string]*series) {
	fields := strings.Fields(line)
	if len(fields) < 4 {
		return
	}
	match := benchmarkPattern.FindStringSubmatch(fields[0])
	if match == nil {
		return
	}
	size, err := strconv.ParseFloat(match[3], 64)
	if err != nil {
		return
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return
		}
		name := match[1] + match[2] + " " + fields[i+1]
		if seriesByName[name] == nil {
			seriesByName[name] = new(series)
		}
		seriesByName[name].x = append(seriesByName[name].x, size)
		seriesByName[name].y = append(seriesByName[name].y, value)
	}
}

func (s *series) distinctSizes() int {
	distinct := make(map[float64]bool)
	for _, x := range s.x {
		distinct[x] = true
	}
	return len(distinct)
}

// fit returns the least-squares line and its coefficient of determination.
func (s *series) fit() (intercept, slope, r2 float64) {
	n := float64(len(s.x))
	var meanX, meanY float64
	for i := range s.x {
		meanX += s.x[i] / n
		meanY += s.y[i] / n
	}
	var xx, xy, yy float64
	for i := range s.x {
		dx, dy := s.x[i]-meanX, s.y[i]-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	slope = xy / xx
	if yy == 0 {
		return meanY, 0, 1
	}
	return meanY - slope*meanX, slope, xy * xy / (xx * yy)
}
