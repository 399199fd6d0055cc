package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/magnoliausher/magnoliausher/finding"
)

// place is a section and a key of an INI file.
type place struct{ section, key string }

// reader takes typed values out of one INI file and collects findings. Every
// key that is asked for counts as known; finish reports all others.
type reader struct {
	file     string
	ini      *ini.File
	lines    map[place]int // of keys; of section headers under an empty key
	known    map[place]bool
	findings finding.List
}

func newReader(file string, data []byte) *reader {
	r := &reader{file: file, lines: make(map[place]int), known: make(map[place]bool)}
	r.indexLines(string(data))
	parsed, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true}, data)
	if err != nil {
		r.findings.Add(finding.Finding{File: file, Reason: err.Error()})
		parsed = ini.Empty()
	}
	r.ini = parsed
	return r
}

// indexLines records where keys stand, which the INI library does not tell,
// and reports lines of no known form and repeated keys.
func (r *reader) indexLines(text string) {
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		number := i + 1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.Contains(line, "]"):
			section = strings.TrimSpace(line[1:strings.Index(line, "]")])
			r.lines[place{section, ""}] = number
		case strings.ContainsAny(line, "=:"):
			r.indexKey(section, strings.TrimSpace(line[:strings.IndexAny(line, "=:")]), number)
		default:
			r.findings.Add(finding.Finding{File: r.file, Section: section, Line: number, Value: line,
				Reason: "neither a section, a key with a value, nor a comment"})
		}
	}
}

func (r *reader) indexKey(section, key string, number int) {
	p := place{section, key}
	if first, repeated := r.lines[p]; repeated {
		r.findings.Add(finding.Finding{File: r.file, Section: section, Key: key, Line: number,
			Reason: fmt.Sprintf("stands in line %d already", first)})
		return
	}
	r.lines[p] = number
}

func (r *reader) add(p place, value, reason string) {
	line := r.lines[p]
	if line == 0 {
		line = r.lines[place{p.section, ""}]
	}
	r.findings.Add(finding.Finding{File: r.file, Section: p.section, Key: p.key, Line: line, Value: value, Reason: reason})
}

// value returns the text of a key and whether it is set.
func (r *reader) value(section, key string) (string, bool) {
	r.known[place{section, key}] = true
	s, err := r.ini.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return s.Key(key).String(), true
}

// text returns a string; required ones must be set and not be empty.
func (r *reader) text(section, key, fallback string, required bool) string {
	v, ok := r.value(section, key)
	if required && v == "" {
		r.add(place{section, key}, "", "is required")
	}
	if !ok {
		return fallback
	}
	return v
}

// choice returns one of the allowed values.
func (r *reader) choice(section, key, fallback string, allowed ...string) string {
	v := r.text(section, key, fallback, fallback == "")
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	if v != "" {
		r.add(place{section, key}, v, "must be one of "+strings.Join(allowed, ", "))
	}
	return fallback
}

// address returns an IP address with a port. Names are refused, because the
// processes must not depend on a name service.
func (r *reader) address(section, key string, required bool) string {
	v := r.text(section, key, "", required)
	if v == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.add(place{section, key}, v, "must be an IP address with a port")
	}
	return v
}

// addresses returns a comma-separated list of IP addresses with ports.
func (r *reader) addresses(section, key string) []string {
	v, _ := r.value(section, key)
	var out []string
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(part); err != nil {
			r.add(place{section, key}, part, "must be an IP address with a port")
			continue
		}
		out = append(out, part)
	}
	return out
}

// duration returns a time between low and high.
func (r *reader) duration(section, key string, fallback, low, high time.Duration) time.Duration {
	v, ok := r.value(section, key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	switch {
	case err != nil:
		r.add(place{section, key}, v, "must be a duration such as 250ms or 30s")
	case d < low || d > high:
		r.add(place{section, key}, v, fmt.Sprintf("must be between %s and %s", low, high))
	default:
		return d
	}
	return fallback
}

// integer returns a whole number between low and high.
func (r *reader) integer(section, key string, fallback, low, high int) int {
	v, ok := r.value(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	switch {
	case err != nil:
		r.add(place{section, key}, v, "must be a whole number")
	case n < low || n > high:
		r.add(place{section, key}, v, fmt.Sprintf("must be between %d and %d", low, high))
	default:
		return n
	}
	return fallback
}

// finish reports unknown keys and sections and returns all findings as an error.
func (r *reader) finish() error {
	for _, s := range r.ini.Sections() {
		for _, k := range s.Keys() {
			section := s.Name()
			if section == ini.DefaultSection {
				section = ""
			}
			p := place{section, k.Name()}
			if !r.known[p] {
				r.add(p, "", "unknown key")
			}
		}
	}
	return r.findings.Err()
}
