package batch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/event"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/storage"
)

func parseEvent(t *testing.T, text string) *event.Event {
	t.Helper()
	e, err := event.NewReader(strings.NewReader(text)).Next()
	if err != nil {
		t.Fatal(err)
	}
	return &e
}

// noData stands for an event without a data line.
const noData = "-"

// eventText returns an event as an engine writes it.
func eventText(id int, piece string) string {
	text := fmt.Sprintf("id: %d\n", id)
	if piece != noData {
		text += "data: " + strings.ReplaceAll(piece, "\n", "\ndata: ") + "\n"
	}
	return text + "\n"
}

// transfer passes the progress of an item on to another gateway.
func transfer(t *testing.T, from *itemProgress, by string) *itemProgress {
	t.Helper()
	p, _ := from.snapshot()
	to := &itemProgress{}
	switch by {
	case "checkpoint":
		if p.Events == 0 {
			return to // not saved
		}
		_, restored, err := decodeProgress("j", storage.Row{Key: progressKey("j", 0), Value: encodeProgress(&p)})
		if err != nil {
			t.Fatal(err)
		}
		to.advance(restored, restored.Events)
	case "handover":
		data, err := encodeUnescaped(keptItem{Progress: p, Output: p.Output})
		if err != nil {
			t.Fatal(err)
		}
		var kept keptItem
		if err := json.Unmarshal(data, &kept); err != nil {
			t.Fatal(err)
		}
		r := &runningJob{items: make([]runningItem, 1)}
		r.restoreItems([]keptItem{kept})
		p, _ := r.items[0].snapshot()
		to.advance(p, 0)
	default:
		return from
	}
	return to
}

// Guards against line feeds, or whole events, that are lost from the output of an item: at
// the beginning or the end of an event, and wherever the item is saved, handed over and
// resumed.
func TestOutputKeepsEveryEvent(t *testing.T) {
	u := &fleet.Upstream{ID: "e", SoftwareVersion: "v1"}
	properties := gopter.NewProperties(nil)
	properties.Property("the output is the data of all events, joined by line feeds", prop.ForAll(func(pieces, ways []string) bool {
		item := &itemProgress{}
		for i := 0; ; i++ {
			if i < len(ways) {
				item = transfer(t, item, ways[i])
			}
			last, _ := strconv.Atoi(item.lastID()) // 0 before the first event
			if last == len(pieces) {
				break
			}
			if err := item.addEvent(parseEvent(t, eventText(last+1, pieces[last])), u); err != nil {
				t.Fatal(err)
			}
		}
		var data []string
		for _, piece := range pieces {
			if piece != noData {
				data = append(data, piece)
			}
		}
		p, _ := item.snapshot()
		var output string
		for i, row := range resultRows(Result{Item: "i", Output: string(p.Output)}) {
			part, more, err := parseResultRow(row)
			if err != nil || more != (i == 0 && len(p.Output) > maxPartBytes) {
				t.Fatal(more, err)
			}
			output += part.Output
		}
		return output == strings.Join(data, "\n")
	}, gen.SliceOf(gen.OneConstOf("", "\n", "\n\n", "a", "\na", "a\n", " a\n\n b:", noData)),
		gen.SliceOf(gen.OneConstOf("", "checkpoint", "handover"))))
	properties.TestingRun(t)
}

// Guards against an event without data whose ID does not count: the item would be
// resumed before it, or go on at another software version.
func TestEventWithoutDataCounts(t *testing.T) {
	item := &itemProgress{}
	v1, v2 := &fleet.Upstream{ID: "a", SoftwareVersion: "v1"}, &fleet.Upstream{ID: "b", SoftwareVersion: "v2"}
	if err := item.addEvent(parseEvent(t, eventText(1, noData)), v1); err != nil {
		t.Fatal(err)
	}
	if item.lastID() != "1" || item.events() != 0 {
		t.Errorf("last id %q, %d events with data", item.lastID(), item.events())
	}
	if allowed := item.resumableAt(); allowed == nil || allowed(v2) || !allowed(v1) {
		t.Error("the item may go on at another software version")
	}
	if err := item.addEvent(parseEvent(t, eventText(2, "a")), v2); err == nil {
		t.Error("an event of another software version was accepted")
	}
}
