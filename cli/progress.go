package cli

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

const (
	barWidth = 30
	// barInterval and lineInterval are the minimum intervals between updates on a
	// terminal and in a log.
	barInterval  = 100 * time.Millisecond
	lineInterval = 5 * time.Second
)

// progress reports how much of a command's work is done, as a bar on a terminal
// and as occasional lines elsewhere.
type progress struct {
	out       io.Writer
	terminal  bool
	lastPrint time.Time
	printed   bool
}

func newProgress(out io.Writer) *progress {
	return &progress{out: out, terminal: isTerminal(out)}
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// update prints the state unless the last report is too recent. A total of 0
// means that the total is unknown.
func (p *progress) update(done, total int64, unit string) {
	interval := lineInterval
	if p.terminal {
		interval = barInterval
	}
	now := time.Now()
	if p.printed && now.Sub(p.lastPrint) < interval {
		return
	}
	p.print(done, total, unit)
	p.lastPrint, p.printed = now, true
}

// finish prints the final state.
func (p *progress) finish(done, total int64, unit string) {
	p.print(done, total, unit)
	p.endLine()
}

// endLine ends the bar's line, so that other output starts on a new one.
func (p *progress) endLine() {
	if p.terminal {
		fmt.Fprintln(p.out)
	}
}

func (p *progress) print(done, total int64, unit string) {
	switch {
	case total <= 0 && p.terminal:
		fmt.Fprintf(p.out, "\r%d %s", done, unit)
	case total <= 0:
		fmt.Fprintf(p.out, "%d %s\n", done, unit)
	case p.terminal:
		fmt.Fprintf(p.out, "\r%s %3d%%  %d of %d %s", renderBar(done, total), percent(done, total), done, total, unit)
	default:
		fmt.Fprintf(p.out, "%d of %d %s (%d%%)\n", done, total, unit, percent(done, total))
	}
}

func percent(done, total int64) int64 { return 100 * min(max(done, 0), total) / total }

func renderBar(done, total int64) string {
	filled := int(barWidth * min(max(done, 0), total) / total)
	return "[" + strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled) + "]"
}
