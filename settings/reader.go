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

// keyRef identifies a key of an INI file by its section and name.
type keyRef struct{ section, key string }

// reader reads typed values from one INI file and collects findings. Every key
// that is read counts as known; finish reports all others.
type reader struct {
	file        string
	ini         *ini.File
	lineNumbers map[keyRef]int // line numbers of keys, and of section headers under an empty key
	knownKeys   map[keyRef]bool
	findings    finding.List
}

func newReader(file string, data []byte) *reader {
	r := &reader{file: file, lineNumbers: make(map[keyRef]int), knownKeys: make(map[keyRef]bool)}
	r.indexLines(string(data))
	iniFile, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true}, data)
	if err != nil {
		r.findings.Add(finding.Finding{File: file, Reason: err.Error()})
		iniFile = ini.Empty()
	}
	r.ini = iniFile
	return r
}

// indexLines records the line numbers of sections and keys, which the INI library
// does not provide. Lines that it can't parse and duplicate keys become findings.
func (r *reader) indexLines(text string) {
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		lineNumber := i + 1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.Contains(line, "]"):
			section = strings.TrimSpace(line[1:strings.Index(line, "]")])
			r.lineNumbers[keyRef{section, ""}] = lineNumber
		case strings.ContainsAny(line, "=:"):
			r.indexKey(section, strings.TrimSpace(line[:strings.IndexAny(line, "=:")]), lineNumber)
		default:
			r.findings.Add(finding.Finding{File: r.file, Section: section, Line: lineNumber, Value: line,
				Reason: "neither a section, a key with a value, nor a comment"})
		}
	}
}

func (r *reader) indexKey(section, key string, lineNumber int) {
	p := keyRef{section, key}
	if firstLine, duplicate := r.lineNumbers[p]; duplicate {
		r.findings.Add(finding.Finding{File: r.file, Section: section, Key: key, Line: lineNumber,
			Reason: fmt.Sprintf("stands in line %d already", firstLine)})
		return
	}
	r.lineNumbers[p] = lineNumber
}

func (r *reader) addFinding(p keyRef, value, reason string) {
	line := r.lineNumbers[p]
	if line == 0 {
		line = r.lineNumbers[keyRef{p.section, ""}]
	}
	r.findings.Add(finding.Finding{File: r.file, Section: p.section, Key: p.key, Line: line, Value: value, Reason: reason})
}

// value returns the value of a key and whether the key is set.
func (r *reader) value(section, key string) (string, bool) {
	r.knownKeys[keyRef{section, key}] = true
	s, err := r.ini.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return s.Key(key).String(), true
}

// text returns a string value; a required one must not be missing or empty.
func (r *reader) text(section, key, defaultValue string, required bool) string {
	v, ok := r.value(section, key)
	if required && v == "" {
		r.addFinding(keyRef{section, key}, "", "is required")
	}
	if !ok {
		return defaultValue
	}
	return v
}

// choice returns a value that must be one of the allowed ones. It is required if
// there is no default value.
func (r *reader) choice(section, key, defaultValue string, allowed ...string) string {
	v := r.text(section, key, defaultValue, defaultValue == "")
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	if v != "" {
		r.addFinding(keyRef{section, key}, v, "must be one of "+strings.Join(allowed, ", "))
	}
	return defaultValue
}

// address returns an IP address with a port. Host names are rejected, because the
// processes must not depend on a name service.
func (r *reader) address(section, key string, required bool) string {
	v := r.text(section, key, "", required)
	if v == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addFinding(keyRef{section, key}, v, "must be an IP address with a port")
	}
	return v
}

// addresses parses a comma-separated list of IP addresses with ports and returns its
// valid elements. It adds a finding for each invalid one.
func (r *reader) addresses(section, key string) []string {
	v, _ := r.value(section, key)
	var out []string
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(part); err != nil {
			r.addFinding(keyRef{section, key}, part, "must be an IP address with a port")
			continue
		}
		out = append(out, part)
	}
	return out
}

// duration returns a duration from low to high.
func (r *reader) duration(section, key string, defaultValue, low, high time.Duration) time.Duration {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	switch {
	case err != nil:
		r.addFinding(keyRef{section, key}, v, "must be a duration such as 250ms or 30s")
	case d < low || d > high:
		r.addFinding(keyRef{section, key}, v, fmt.Sprintf("must be between %s and %s", low, high))
	default:
		return d
	}
	return defaultValue
}

// integer returns a whole number from low to high.
func (r *reader) integer(section, key string, defaultValue, low, high int) int {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	switch {
	case err != nil:
		r.addFinding(keyRef{section, key}, v, "must be a whole number")
	case n < low || n > high:
		r.addFinding(keyRef{section, key}, v, fmt.Sprintf("must be between %d and %d", low, high))
	default:
		return n
	}
	return defaultValue
}

// finish adds findings for unknown keys, also those of unknown sections, and
// returns all findings as an error.
func (r *reader) finish() error {
	for _, s := range r.ini.Sections() {
		for _, k := range s.Keys() {
			section := s.Name()
			if section == ini.DefaultSection {
				section = ""
			}
			p := keyRef{section, k.Name()}
			if !r.knownKeys[p] {
				r.addFinding(p, "", "unknown key")
			}
		}
	}
	return r.findings.Err()
}
