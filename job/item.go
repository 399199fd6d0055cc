package job

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// item is one line of a chunk in the memory of its holder.
type item struct {
	line
	index      int
	repeatable bool
	output     uint32 // bound or estimate of output tokens
	running    bool
	done       bool

	attempts int // that counted
	crashes  int // of upstreams while the item was in progress
	intended bool
	// Output of earlier attempts, to resume after.
	text   []byte
	tokens int

	failed bool   // result is an error line
	result []byte // set when done
}

func (it *item) finish(line []byte, failed bool) {
	it.result = line
	it.failed = failed
	it.done = true
	it.text = nil
	it.Body = nil
}

// bytes is the memory that counts against the runner's bound.
func (it *item) bytes() int64 {
	return int64(len(it.Body) + len(it.text) + len(it.result) + itemOverhead)
}

// itemOverhead is the size of an item without its body and result.
const itemOverhead = 300

// itemState is one line of a partial object.
type itemState struct {
	Index    int    `json:"index"`
	Attempts int    `json:"attempts,omitempty"`
	Crashes  int    `json:"crashes,omitempty"`
	Text     string `json:"text,omitempty"`
	Tokens   int    `json:"tokens,omitempty"`
	Result   string `json:"result,omitempty"`
	Failed   bool   `json:"failed,omitempty"`
}

// encodePartial keeps what the holder knows of items that were started.
func encodePartial(items []*item) []byte {
	var buf bytes.Buffer
	for _, it := range items {
		if it.attempts == 0 && it.crashes == 0 && it.tokens == 0 && !it.done {
			continue
		}
		buf.Write(mustJSON(itemState{
			Index: it.index, Attempts: it.attempts, Crashes: it.crashes,
			Text: string(it.text), Tokens: it.tokens, Result: string(it.result), Failed: it.failed,
		}))
		buf.WriteByte('\n')
	}
	return buf.Bytes()
}

// loadPartial restores the states that an earlier holder returned.
func (s *Store) loadPartial(ctx context.Context, key string, items []*item) error {
	body, err := retry(ctx, func() (io.ReadCloser, error) { return s.objects.Get(ctx, key) })
	if err != nil {
		return trace.Wrap(err)
	}
	defer body.Close()
	decoder := json.NewDecoder(bufio.NewReader(body))
	for {
		var st itemState
		if err := decoder.Decode(&st); err == io.EOF {
			return nil
		} else if err != nil {
			return trace.Wrap(err)
		}
		if st.Index < 0 || st.Index >= len(items) {
			return trace.BadParameter("item %d of %s is outside the chunk", st.Index, key)
		}
		it := items[st.Index]
		it.attempts = st.Attempts
		it.crashes = st.Crashes
		it.text = []byte(st.Text)
		it.tokens = st.Tokens
		if st.Result != "" {
			it.finish([]byte(st.Result), st.Failed)
		}
	}
}
