package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Limit is the allowed range of a number of the result. A nil bound is not checked.
type Limit struct {
	Min *float64 `json:"min,omitempty"`
	Max *float64 `json:"max,omitempty"`
}

// Check is a limit on the number with the given name, such as ttft_ms.p95.
type Check struct {
	Name string
	Limit
}

// ParseChecks parses a JSON object that maps names of numbers to limits. The error
// is a finding.List.
func ParseChecks(file string, content []byte) ([]Check, error) {
	var list finding.List
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(content, &raw); err != nil {
		list.Add(finding.Finding{File: file, Reason: "not a JSON object: " + err.Error()})
		return nil, list
	}
	known := numericFields(&Result{})
	var checks []Check
	for name, value := range raw {
		c := Check{Name: name}
		decoder := json.NewDecoder(bytes.NewReader(value))
		decoder.DisallowUnknownFields()
		_, ok := known[name]
		switch err := decoder.Decode(&c.Limit); {
		case !ok:
			list.Add(finding.Finding{File: file, Key: name, Reason: "the result has no such number"})
		case err != nil:
			list.Add(finding.Finding{File: file, Key: name, Value: string(value), Reason: "not an object with min or max: " + err.Error()})
		case c.Min == nil && c.Max == nil:
			list.Add(finding.Finding{File: file, Key: name, Value: string(value), Reason: "neither min nor max is given"})
		}
		checks = append(checks, c)
	}
	slices.SortFunc(list, func(a, b finding.Finding) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
	slices.SortFunc(checks, func(a, b Check) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return checks, list.Err()
}

// Evaluate sets OutcomesMet and returns a line for each limit that is not met.
func (r *Result) Evaluate(checks []Check) (missed []string) {
	values := numericFields(r)
	for _, c := range checks {
		v := values[c.Name]
		if c.Min != nil && v < *c.Min {
			missed = append(missed, fmt.Sprintf("%s is %s, below %s", c.Name, formatNumber(v), formatNumber(*c.Min)))
		}
		if c.Max != nil && v > *c.Max {
			missed = append(missed, fmt.Sprintf("%s is %s, above %s", c.Name, formatNumber(v), formatNumber(*c.Max)))
		}
	}
	r.OutcomesMet = len(missed) == 0
	return missed
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// numericFields returns the numbers of a result by their JSON names. The names of
// nested numbers are joined with a dot.
func numericFields(r *Result) map[string]float64 {
	var fields map[string]any
	if err := json.Unmarshal(r.JSON(), &fields); err != nil {
		panic(err) // impossible: JSON returns a valid object
	}
	out := make(map[string]float64)
	for name, v := range fields {
		switch v := v.(type) {
		case float64:
			out[name] = v
		case map[string]any:
			for part, n := range v {
				out[name+"."+part] = n.(float64)
			}
		}
	}
	return out
}
