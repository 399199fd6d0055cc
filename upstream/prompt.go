package upstream

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the limit of output tokens if a request sets none.
const DefaultMaxTokens = 16

// prefixWords is the length, in words, of the cacheable prefix of a prompt without
// a system message.
const prefixWords = 128

// maxParts limits the parts of a prompt.
const maxParts = 64

// ErrBadBody means that the body is not a valid completion request.
var ErrBadBody = errors.New("body is not a completion request")

// Prompt holds the parts of a completion request that routing and the stand-in
// engine need. Token counts are estimated as word counts.
type Prompt struct {
	Model        string
	Text         string // messages joined as "role: content" lines, or the prompt itself
	Tokens       int
	MaxTokens    int    // upper bound of the output
	Prefix       uint64 // hash of the cacheable prefix; 0 for none
	PrefixTokens int
	// Parts are hashes of the parts that other prompts may share, in order: the messages
	// but the last, or without messages the cacheable prefix.
	Parts        []uint64
	Stream       bool
	IncludeUsage bool // stream_options.include_usage
	Resume       Resume
}

// Resume is the output of earlier attempts, after which generation resumes.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type requestBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	PromptCacheKey      string          `json:"prompt_cache_key"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Resume              *Resume         `json:"resume"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// ParsePrompt parses the body of a request to /v1/completions or
// /v1/chat/completions. The cacheable prefix is, in order of preference, the one
// identified by prompt_cache_key, the leading system messages, or the first 128
// words.
func ParsePrompt(body []byte) (Prompt, error) {
	var in requestBody
	if err := json.Unmarshal(body, &in); err != nil {
		return Prompt{}, errors.Join(ErrBadBody, err)
	}
	p := Prompt{Model: in.Model, Stream: in.Stream, MaxTokens: DefaultMaxTokens}
	if in.StreamOptions != nil {
		p.IncludeUsage = in.StreamOptions.IncludeUsage
	}
	if in.Resume != nil {
		p.Resume = *in.Resume
	}
	for _, limit := range []*int{in.MaxTokens, in.MaxCompletionTokens} {
		if limit != nil {
			p.MaxTokens = *limit
		}
	}
	if p.MaxTokens < 1 || p.Resume.Tokens < 0 {
		return Prompt{}, ErrBadBody
	}
	system, err := p.setText(in)
	if err != nil {
		return Prompt{}, err
	}
	p.Tokens = countWords(p.Text)
	p.setPrefix(in.PromptCacheKey, system)
	if len(in.Messages) == 0 && p.Prefix != 0 && p.PrefixTokens < p.Tokens {
		p.Parts = []uint64{p.Prefix}
	}
	return p, nil
}

// setText sets the text from the joined messages or from the prompt, and returns
// the leading system messages.
func (p *Prompt) setText(in requestBody) (system string, err error) {
	if len(in.Messages) == 0 {
		p.Text, err = decodeText(in.Prompt)
		return "", err
	}
	var joined strings.Builder
	leading := true
	for i, m := range in.Messages {
		text, err := decodeText(m.Content)
		if err != nil {
			return "", err
		}
		joined.WriteString(m.Role + ": " + text + "\n")
		if i < len(in.Messages)-1 && len(p.Parts) < maxParts {
			p.Parts = append(p.Parts, xxhash.Sum64String(m.Role+"\x00"+text))
		}
		leading = leading && m.Role == "system"
		if leading {
			system = joined.String()
		}
	}
	p.Text = joined.String()
	return system, nil
}

func (p *Prompt) setPrefix(cacheKey, system string) {
	prefix := firstNWords(p.Text, prefixWords)
	switch {
	case cacheKey != "" && p.Tokens > 0:
		p.Prefix = xxhash.Sum64String("key\x00" + cacheKey)
		p.PrefixTokens = countWords(prefix)
		if system != "" {
			p.PrefixTokens = countWords(system)
		}
	case system != "":
		p.Prefix = xxhash.Sum64String(system)
		p.PrefixTokens = countWords(system)
	case countWords(prefix) == prefixWords:
		p.Prefix = xxhash.Sum64String(prefix)
		p.PrefixTokens = prefixWords
	}
}

// decodeText decodes a string, a list of strings or a list of content parts.
func decodeText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		return strings.Join(texts, "\n"), nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.Join(ErrBadBody, err)
	}
	for _, part := range parts {
		text += part.Text
	}
	return text, nil
}

func countWords(s string) int {
	n := 0
	for range strings.FieldsSeq(s) {
		n++
	}
	return n
}

// firstNWords returns s up to the end of its nth word, or all of s if it is shorter.
func firstNWords(s string, n int) string {
	end := 0
	rest := s
	for ; n > 0; n-- {
		trimmed := strings.TrimLeft(rest, " \t\r\n")
		word := strings.IndexAny(trimmed, " \t\r\n")
		if word < 0 {
			return s
		}
		end = len(s) - len(trimmed) + word
		rest = trimmed[word:]
	}
	return s[:end]
}
