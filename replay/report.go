package replay

import (
	"bytes"
	"fmt"
	"html"
	"math"
	"strings"
)

// Dimensions of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 180
	plotMargin = 50
)

// series is one line of a plot.
type series struct {
	name, colour string
	values       []float64 // by second
}

// HTML returns a self-contained page with the result and plots over time.
func (o *Outcome) HTML() []byte {
	var b bytes.Buffer
	title := fmt.Sprintf("Replay of %s, policy %s, seed %d", o.Fleet, o.Result.Policy, o.Seed)
	fmt.Fprintf(&b, "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>%s</title>", html.EscapeString(title))
	b.WriteString("<style>body{font:14px sans-serif;margin:2em}svg{display:block;margin:1em 0}pre{white-space:pre-wrap}</style></head><body>\n")
	fmt.Fprintf(&b, "<h1>%s</h1>\n<pre>%s</pre>\n", html.EscapeString(title), html.EscapeString(string(o.Result.JSON())))
	o.plot(&b, "Time to first token, 95th percentile of each second (ms)", o.series("ms", "#1f77b4", func(p Point) float64 { return p.FirstToken }))
	o.plot(&b, "Time between tokens, 95th percentile of each second (ms)", o.series("ms", "#d62728", func(p Point) float64 { return p.TokenInterval }))
	o.plot(&b, "Batch items committed per second", o.series("items/s", "#2ca02c", func(p Point) float64 { return float64(p.Completed) }))
	o.plot(&b, "Batch sequences cancelled for online work per second", o.series("sequences/s", "#9467bd", func(p Point) float64 { return float64(p.Preempted) }))
	if len(o.Faults) > 0 {
		b.WriteString("<h2>Faults</h2>\n<ul>\n")
		for _, m := range o.Faults {
			fmt.Fprintf(&b, "<li>%.3f s: %s</li>\n", m.Second, html.EscapeString(m.Text))
		}
		b.WriteString("</ul>\n")
	}
	b.WriteString("</body></html>\n")
	return b.Bytes()
}

func (o *Outcome) series(name, colour string, value func(Point) float64) series {
	s := series{name: name, colour: colour}
	for _, p := range o.Points {
		s.values = append(s.values, value(p))
	}
	return s
}

// plot draws a series over time. Grey vertical lines mark the faults.
func (o *Outcome) plot(b *bytes.Buffer, title string, s series) {
	top := 1.0
	for _, v := range s.values {
		top = math.Max(top, v)
	}
	seconds := float64(max(len(s.values)-1, 1))
	x := func(second float64) float64 { return plotMargin + second/seconds*plotWidth }
	y := func(v float64) float64 { return plotHeight - v/top*plotHeight + 5 }
	fmt.Fprintf(b, "<h2>%s</h2>\n<svg width=\"%d\" height=\"%d\" role=\"img\">\n",
		html.EscapeString(title), plotWidth+2*plotMargin, plotHeight+25)
	for _, m := range o.Faults {
		fmt.Fprintf(b, "<line x1=\"%.1f\" y1=\"5\" x2=\"%.1f\" y2=\"%d\" stroke=\"#bbb\"><title>%s</title></line>\n",
			x(m.Second), x(m.Second), plotHeight+5, html.EscapeString(m.Text))
	}
	var points strings.Builder
	for i, v := range s.values {
		fmt.Fprintf(&points, "%.1f,%.1f ", x(float64(i)), y(v))
	}
	fmt.Fprintf(b, "<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>\n", s.colour, strings.TrimSpace(points.String()))
	fmt.Fprintf(b, "<text x=\"0\" y=\"15\">%.4g</text><text x=\"0\" y=\"%d\">0</text>\n", top, plotHeight+5)
	fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\">0 s</text><text x=\"%d\" y=\"%d\">%.0f s</text>\n</svg>\n",
		plotMargin, plotHeight+20, plotWidth, plotHeight+20, seconds)
}
