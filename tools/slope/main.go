// Slope reads the output of go test -bench on standard input and prints, for
// each benchmark and unit, the least-squares line over the sizes in the
// benchmark's name: intercept, slope and r squared. A size is the last
// name=number of a name, as in BenchmarkX/callers=100-2.
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

// leastSizes is the number of different sizes that a line is fitted to.
const leastSizes = 4

var sized = regexp.MustCompile(`^Benchmark(\S*?)([\w-]+)=(\d+)(?:-\d+)?$`)

// series is one unit of one benchmark over the sizes.
type series struct{ x, y []float64 }

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "slope:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	all := make(map[string]*series)
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		read(scanner.Text(), all)
	}
	names := make([]string, 0, len(all))
	for name, s := range all {
		if s.sizes() >= leastSizes {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		intercept, slope, r2 := all[name].fit()
		if _, err := fmt.Fprintf(out, "%-60s %12.5g + %12.5g per unit  r2 %.4f\n", name, intercept, slope, r2); err != nil {
			return err
		}
	}
	return scanner.Err()
}

// read adds the figures of one line; other lines add nothing.
func read(line string, all map[string]*series) {
	fields := strings.Fields(line)
	if len(fields) < 4 {
		return
	}
	match := sized.FindStringSubmatch(fields[0])
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
		if all[name] == nil {
			all[name] = new(series)
		}
		all[name].x = append(all[name].x, size)
		all[name].y = append(all[name].y, value)
	}
}

func (s *series) sizes() int {
	different := make(map[float64]bool)
	for _, x := range s.x {
		different[x] = true
	}
	return len(different)
}

// fit returns the least-squares line and the share of the variance it explains.
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
