package entry

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/finding"
)

// format is the API format of a generation endpoint.
type format uint8

const (
	chatFormat format = iota
	completionFormat
)

// generation is a parsed request body. Fields that only the engine reads are not
// listed; the engine receives the body unchanged.
type generation struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	BestOf              *int64          `json:"best_of"`
	Echo                bool            `json:"echo"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Logprobs            json.RawMessage `json:"logprobs"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parseGeneration parses a body, or returns an error with all its findings.
func parseGeneration(f format, body []byte) (*generation, *apierror.Error) {
	var g generation
	if err := json.Unmarshal(body, &g); err != nil {
		return nil, decodeError(body, err)
	}
	var findings finding.List
	if g.Model == "" {
		findings.Add(finding.Finding{Key: "model", Reason: "must name a model"})
	}
	if f == chatFormat {
		g.checkMessages(&findings)
	} else {
		g.checkPrompt(&findings)
	}
	g.checkCounts(&findings)
	if len(findings) > 0 {
		err := badRequest(codeInvalidRequest, findings[0].Key, findings[0].Key+" "+findings[0].Reason+".")
		err.Findings = findings
		return nil, err
	}
	if param := g.unsupported(); param != "" {
		return nil, badRequest(codeUnsupportedParameter, param, param+" is not supported: an answer is one choice of plain text.")
	}
	return &g, nil
}

// decodeError locates a syntax error or a value of the wrong type.
func decodeError(body []byte, err error) *apierror.Error {
	place := finding.Finding{Line: 1, Reason: "is not valid JSON"}
	offset := int64(0)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
		place.Key = wrongType.Field
		place.Reason = "must not be a JSON " + wrongType.Value
	}
	before := body[:min(max(offset, 0), int64(len(body)))]
	place.Line += bytes.Count(before, []byte("\n"))
	code := codeMalformedJSON
	if place.Key != "" {
		code = codeInvalidRequest
	}
	out := badRequest(code, place.Key, "The body cannot be read: "+place.String()+".")
	out.Findings = finding.List{place}
	return out
}

func (g *generation) checkMessages(findings *finding.List) {
	if len(g.Messages) == 0 {
		findings.Add(finding.Finding{Key: "messages", Reason: "must have at least one message"})
	}
	for _, m := range g.Messages {
		if m.Role == "" {
			findings.Add(finding.Finding{Key: "messages.role", Reason: "must not be empty"})
			return
		}
	}
}

// checkPrompt accepts one text, alone or in a list, or one list of tokens.
func (g *generation) checkPrompt(findings *finding.List) {
	var text string
	var texts []string
	var tokens []uint32
	switch {
	case isNull(g.Prompt):
	case json.Unmarshal(g.Prompt, &text) == nil:
		return
	case json.Unmarshal(g.Prompt, &texts) == nil && len(texts) == 1:
		return
	case json.Unmarshal(g.Prompt, &tokens) == nil && len(tokens) > 0:
		return
	}
	findings.Add(finding.Finding{Key: "prompt", Reason: "must be one text, or one list of tokens"})
}

func (g *generation) checkCounts(findings *finding.List) {
	counts := []struct {
		key   string
		value *int64
	}{{"max_tokens", g.MaxTokens}, {"max_completion_tokens", g.MaxCompletionTokens}, {"n", g.N}, {"best_of", g.BestOf}}
	for _, c := range counts {
		if c.value != nil && (*c.value < 1 || *c.value > maxCount) {
			findings.Add(finding.Finding{Key: c.key, Reason: "must be a positive number"})
		}
	}
}

// maxCount bounds counts, so that token counts fit the fields of the protocol.
const maxCount = 1 << 30

// unsupported returns the name of the first parameter set that asks for more than one
// choice of plain text, such as tool calls or log probabilities, or "" if there is none.
func (g *generation) unsupported() string {
	switch {
	case g.N != nil && *g.N > 1:
		return "n"
	case g.BestOf != nil && *g.BestOf > 1:
		return "best_of"
	case g.Echo:
		return "echo"
	case isSet(g.Tools):
		return "tools"
	case isSet(g.Functions):
		return "functions"
	case isSet(g.Logprobs):
		return "logprobs"
	}
	return ""
}

// isSet reports whether an optional parameter has an effect.
func isSet(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", "false", "[]":
		return false
	}
	return true
}

func isNull(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

func (g *generation) outputTokens() uint32 {
	switch {
	case g.MaxCompletionTokens != nil:
		return uint32(*g.MaxCompletionTokens)
	case g.MaxTokens != nil:
		return uint32(*g.MaxTokens)
	}
	return 0
}
