package platform

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against scans that miss, duplicate or misorder keys. The expected keys
// come from a filter over all keys.
func TestScanMatchesFilter(t *testing.T) {
	key := gen.SliceOfN(3, gen.OneConstOf("a", "b", "/")).Map(func(parts []string) string {
		return strings.TrimRight(strings.Join(parts, ""), "/")
	})
	properties := gopter.NewProperties(nil)
	properties.Property("scan returns the filtered keys in order", prop.ForAll(
		func(put, removed []string, prefix, after string, limit int) bool {
			o := newSortedMap[int]()
			for _, k := range put {
				o.put(k, 0)
			}
			for _, k := range removed {
				o.remove(k)
			}
			want := []string{}
			for _, k := range put {
				if !slices.Contains(removed, k) && strings.HasPrefix(k, prefix) && k > after {
					want = append(want, k)
				}
			}
			slices.Sort(want)
			want = slices.Compact(want)
			want = want[:min(len(want), limit)]
			return reflect.DeepEqual(append([]string{}, o.scan(prefix, after, limit)...), want)
		},
		gen.SliceOf(key), gen.SliceOf(key), gen.OneConstOf("", "a", "a/", "b", "c"), key, gen.IntRange(0, 5),
	))
	properties.TestingRun(t)
}

// Guards against keys that are lost or misplaced when blocks are split and emptied.
func TestManyKeys(t *testing.T) {
	const n = 5000
	o := newSortedMap[int]()
	var want []string
	for i := range n {
		key := fmt.Sprintf("%04d", i*2741%n) // 2741 and n are coprime, so all keys occur
		o.put(key, i)
		want = append(want, key)
	}
	slices.Sort(want)
	if got := o.scan("", "", n); !reflect.DeepEqual(got, want) {
		t.Fatalf("%d keys, want %d in order", len(got), n)
	}
	for _, key := range want[100 : n-100] {
		o.remove(key)
	}
	want = append(want[:100:100], want[n-100:]...)
	if got := o.scan("", "", n); !reflect.DeepEqual(got, want) {
		t.Fatalf("%d keys after removal, want %d in order", len(got), len(want))
	}
}
