package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Limit is what one number of the result must keep. A nil bound is absent.
type Limit struct {
	Min *float64 `json:"min,omitempty"`
	Max *float64 `json:"max,omitempty"`
}

// Check is a limit by the name of a number, such as ttft_ms.p95.
type Check struct {
	Name string
	Limit
}

// ReadOutcomes reads a JSON object from names to limits. The error is
// a finding.List.
func ReadOutcomes(file string, content []byte) ([]Check, error) {
	var list finding.List
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(content, &raw); err != nil {
		list.Add(finding.Finding{File: file, Reason: "not a JSON object: " + err.Error()})
		return nil, list
	}
	known := numbers(&Result{})
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

// Apply sets OutcomesMet and returns a line for each missed limit.
func (r *Result) Apply(checks []Check) (missed []string) {
	have := numbers(r)
	for _, c := range checks {
		v := have[c.Name]
		if c.Min != nil && v < *c.Min {
			missed = append(missed, fmt.Sprintf("%s is %s, below %s", c.Name, number(v), number(*c.Min)))
		}
		if c.Max != nil && v > *c.Max {
			missed = append(missed, fmt.Sprintf("%s is %s, above %s", c.Name, number(v), number(*c.Max)))
		}
	}
	r.OutcomesMet = len(missed) == 0
	return missed
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// numbers gives the numbers of a result by name, nested ones with a dot.
func numbers(r *Result) map[string]float64 {
	var fields map[string]any
	if err := json.Unmarshal(r.JSON(), &fields); err != nil {
		panic(err) // the JSON is our own
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
