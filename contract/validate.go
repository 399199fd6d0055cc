package contract

import (
	"fmt"
	"math"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits of values in a document.
const (
	SheetDateLayout = "2006-01-02"
	maxInProgress   = 1_000_000
	maxDeadlineMS   = 3_600_000 // 1 h
	maxRate         = 1_000_000 // requests per second
	maxBurst        = 1_000_000
	maxUpstreams    = 100_000 // per group
	maxRevision     = 1_000_000
	maxTextBytes    = 200
	keyHashDigits   = 64 // SHA-256 in hex
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methods        = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

const nameRule = "want 1 to 63 lower-case letters, digits and inner hyphens"

// checker validates one document. It tracks the current location and collects
// the problems.
type checker struct {
	problems []Problem
	section  Section
	index    int
	route    int
}

// Check returns all rule violations in document order.
func Check(doc *Document) []Problem {
	c := &checker{route: NoIndex}
	c.checkSheet(doc)
	c.checkServices(doc.Services)
	c.checkGroups(doc.Groups, doc.Services)
	c.checkCallers(doc.Callers)
	return c.problems
}

func (c *checker) add(field, value, reason string, args ...any) {
	c.addProblem(NoIndex, field, value, fmt.Sprintf(reason, args...))
}

// addProblem adds a problem at the current location. duplicateOf is the earlier
// element that already has the value, or NoIndex.
func (c *checker) addProblem(duplicateOf int, field, value, reason string) {
	c.problems = append(c.problems, Problem{
		Section: c.section, Index: c.index, Route: c.route,
		Field: field, Value: value, Reason: reason, DuplicateOf: duplicateOf,
	})
}

func (c *checker) setPosition(section Section, index int) {
	c.section, c.index, c.route = section, index, NoIndex
}

func (c *checker) checkSheet(doc *Document) {
	c.setPosition(SectionSheet, 0)
	if _, err := time.Parse(SheetDateLayout, doc.SheetDate); err != nil {
		c.add("sheet_date", doc.SheetDate, "want a date as YYYY-MM-DD")
	}
	c.checkInt("revision", doc.Revision, maxRevision)
}

func (c *checker) checkServices(services []Service) {
	names := make(map[string]int)
	for i := range services {
		c.setPosition(SectionServices, i)
		s := &services[i]
		c.checkName("name", s.Name)
		c.checkUnique(names, "name", s.Name, i)
		c.checkKind(s)
		c.checkInt("max_in_progress", s.MaxInProgress, maxInProgress)
		c.checkInt("deadline_ms", s.DeadlineMS, maxDeadlineMS)
		c.checkRoutes(s)
	}
	c.checkModels(services, names)
}

func (c *checker) checkKind(s *Service) {
	switch s.Kind {
	case KindEngine:
		if s.Model == "" {
			c.add("model", "", "an engine service needs a model")
		}
		c.checkText("model", s.Model)
		c.checkText("adapter", s.Adapter)
		c.checkText("model_version", s.ModelVersion)
	case KindPlain:
		c.checkAbsent("model", s.Model)
		c.checkAbsent("adapter", s.Adapter)
		c.checkAbsent("model_version", s.ModelVersion)
	default:
		c.add("kind", string(s.Kind), "want %s or %s", KindEngine, KindPlain)
	}
}

func (c *checker) checkAbsent(field, value string) {
	if value != "" {
		c.add(field, value, "a plain service has none")
	}
}

// checkModels finds model names that are ambiguous in requests because they
// match two services.
func (c *checker) checkModels(services []Service, names map[string]int) {
	type variant struct{ model, adapter string }
	variants := make(map[variant]int)
	for i := range services {
		c.setPosition(SectionServices, i)
		s := &services[i]
		if s.Kind != KindEngine || s.Model == "" {
			continue
		}
		v := variant{s.Model, s.Adapter}
		if first, ok := variants[v]; ok {
			c.addProblem(first, "model", s.Model, "model and adapter are already used")
		} else {
			variants[v] = i
		}
		if other, ok := names[s.Model]; ok && other != i {
			c.add("model", s.Model, "another service has this name, so requests for the model are ambiguous")
		}
	}
}

func (c *checker) checkRoutes(s *Service) {
	seen := make(map[Route]bool)
	for i, r := range s.NonRepeatable {
		c.route = i
		if s.Kind == KindEngine {
			c.add("path", r.Path, "calls of an engine have no effects and are always repeatable")
			continue
		}
		if !slices.Contains(methods, r.Method) {
			c.add("method", r.Method, "want one of %s", strings.Join(methods, ", "))
		}
		c.checkPath(r.Path)
		if seen[r] {
			c.add("path", r.Path, "the service lists this call twice")
		}
		seen[r] = true
	}
	c.route = NoIndex
}

// checkPath requires the normalised form in which request paths are compared. A
// path in any other form would match no request and leave the call repeatable.
func (c *checker) checkPath(p string) {
	switch {
	case !strings.HasPrefix(p, "/"):
		c.add("path", p, "want a path that starts with /")
	case strings.ContainsAny(p, "?#%\\") || strings.ContainsFunc(p, notPrintable):
		c.add("path", p, "want a path without query, fragment, escapes, spaces and control characters")
	case path.Clean(p) != p:
		c.add("path", p, "want a path without empty, . and .. elements and without a slash at its end")
	default:
		c.checkText("path", p)
	}
}

func (c *checker) checkGroups(groups []UpstreamGroup, services []Service) {
	known := make(map[string]bool, len(services))
	for _, s := range services {
		known[s.Name] = true
	}
	names := make(map[string]int)
	for i := range groups {
		c.setPosition(SectionGroups, i)
		g := &groups[i]
		c.checkName("name", g.Name)
		c.checkUnique(names, "name", g.Name, i)
		if !known[g.Service] {
			c.add("service", g.Service, "no such service")
		}
		c.checkName("data_centre", g.DataCentre)
		if g.Role != "" {
			c.checkName("role", g.Role)
		}
		c.checkInt("count", g.Count, maxUpstreams)
	}
}

func (c *checker) checkCallers(callers []Caller) {
	ids, keys := make(map[string]int), make(map[string]int)
	operators := 0
	for i := range callers {
		c.setPosition(SectionCallers, i)
		caller := &callers[i]
		c.checkName("id", caller.ID)
		c.checkUnique(ids, "id", caller.ID, i)
		c.checkName("organisation", caller.Organisation)
		if !keyHashPattern.MatchString(caller.KeySHA256) {
			c.add("key_sha256", caller.KeySHA256, "want %d lower-case hex digits", keyHashDigits)
		} else {
			c.checkUnique(keys, "key_sha256", caller.KeySHA256, i)
		}
		c.checkLimits(caller)
		c.checkClasses(caller)
		if caller.Operator {
			operators++
		}
	}
	if operators == 0 {
		c.setPosition(SectionCallers, 0)
		c.add("", "", "no caller is an operator, so nobody could change the configuration afterwards")
	}
}

func (c *checker) checkLimits(caller *Caller) {
	rate := caller.RatePerSecond
	if math.IsNaN(rate) || rate < 0 || rate > maxRate {
		c.add("rate_per_second", strconv.FormatFloat(rate, 'g', -1, 64), "want 0 to %d", maxRate)
	}
	c.checkInt("burst", caller.Burst, maxBurst)
	if rate > 0 && caller.Burst == 0 {
		c.add("burst", "0", "want at least 1, because a rate with no burst admits nothing")
	}
	c.checkInt("max_in_progress", caller.MaxInProgress, maxInProgress)
}

func (c *checker) checkClasses(caller *Caller) {
	if len(caller.Classes) == 0 && !caller.Operator {
		c.add("classes", "", "a caller that is no operator needs at least one class")
	}
	seen := make(map[Class]bool)
	for _, class := range caller.Classes {
		switch {
		case class != ClassOnline && class != ClassBatch:
			c.add("classes", string(class), "want %s or %s", ClassOnline, ClassBatch)
		case seen[class]:
			c.add("classes", string(class), "listed twice")
		}
		seen[class] = true
	}
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.add(field, value, nameRule)
	}
}

func (c *checker) checkUnique(seen map[string]int, field, value string, index int) {
	if first, ok := seen[value]; ok {
		c.addProblem(first, field, value, "already used")
		return
	}
	seen[value] = index
}

func (c *checker) checkInt(field string, value, limit int) {
	if value < 0 || value > limit {
		c.add(field, strconv.Itoa(value), "want 0 to %d", limit)
	}
}

func (c *checker) checkText(field, value string) {
	switch {
	case len(value) > maxTextBytes:
		c.add(field, value[:maxTextBytes], "longer than %d bytes", maxTextBytes)
	case !utf8.ValidString(value) || strings.ContainsFunc(value, notPrintable):
		c.add(field, value, "want no spaces, control characters or invalid UTF-8")
	}
}

func notPrintable(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
