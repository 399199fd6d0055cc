package job

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"
)

// item is the in-memory state of one line of a held chunk.
type item struct {
	inputLine
	index        int
	repeatable   bool
	outputTokens uint32 // upper bound or estimate
	running      bool
	delayed      bool // waits after a crash
	done         bool

	attempts int // counted against MaxAttempts
	crashes  int // upstream crashes while the item was in progress
	intended bool
	// Output of earlier attempts, from which the next attempt resumes.
	deliveredText   []byte
	deliveredTokens int

	failed bool   // result is an error line
	result []byte // set when done
}

func (it *item) finish(line []byte, failed bool) {
	it.result = line
	it.failed = failed
	it.done = true
	it.deliveredText = nil
	it.Body = nil
}

// memoryBytes returns the item's share of the runner's memory limit.
func (it *item) memoryBytes() int64 {
	return int64(len(it.Body) + len(it.deliveredText) + len(it.result) + itemOverheadBytes)
}

// itemOverheadBytes is the approximate size of an item without body, text and result.
const itemOverheadBytes = 300

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

// encodePartial encodes the states of all items that have been started.
func encodePartial(items []*item) []byte {
	var buf bytes.Buffer
	for _, it := range items {
		if it.attempts == 0 && it.crashes == 0 && it.deliveredTokens == 0 && !it.done {
			continue
		}
		buf.Write(mustJSON(itemState{
			Index: it.index, Attempts: it.attempts, Crashes: it.crashes,
			Text: string(it.deliveredText), Tokens: it.deliveredTokens, Result: string(it.result), Failed: it.failed,
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
			return trace.BadParameter("item index %d in %s is out of range", st.Index, key)
		}
		it := items[st.Index]
		it.attempts = st.Attempts
		it.crashes = st.Crashes
		it.deliveredText = []byte(st.Text)
		it.deliveredTokens = st.Tokens
		if st.Result != "" {
			it.finish([]byte(st.Result), st.Failed)
		}
	}
}
