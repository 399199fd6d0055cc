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
	// barEvery and lineEvery bound how often a terminal and a log get progress.
	barEvery  = 100 * time.Millisecond
	lineEvery = 5 * time.Second
)

// progress shows how much of a command's work is done: a bar on a terminal,
// else a line now and then.
type progress struct {
	out      io.Writer
	terminal bool
	last     time.Time
	shown    bool
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

// show reports the state if the last report is old enough. A total of 0 means
// that it is not known.
func (p *progress) show(done, total int64, unit string) {
	every := lineEvery
	if p.terminal {
		every = barEvery
	}
	now := time.Now()
	if p.shown && now.Sub(p.last) < every {
		return
	}
	p.print(done, total, unit)
	p.last, p.shown = now, true
}

// finish reports the final state.
func (p *progress) finish(done, total int64, unit string) {
	p.print(done, total, unit)
	p.end()
}

// end leaves the bar's line, so that other output starts on a new one.
func (p *progress) end() {
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
		fmt.Fprintf(p.out, "\r%s %3d%%  %d of %d %s", bar(done, total), percent(done, total), done, total, unit)
	default:
		fmt.Fprintf(p.out, "%d of %d %s (%d%%)\n", done, total, unit, percent(done, total))
	}
}

func percent(done, total int64) int64 { return 100 * min(max(done, 0), total) / total }

func bar(done, total int64) string {
	full := int(barWidth * min(max(done, 0), total) / total)
	return "[" + strings.Repeat("#", full) + strings.Repeat(".", barWidth-full) + "]"
}
