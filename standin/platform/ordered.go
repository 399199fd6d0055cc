package platform

import (
	"slices"
	"sort"
	"strings"
)

// maxBlock is the number of keys in a block at which it is split. It bounds
// the keys that an insertion moves.
const maxBlock = 512

// ordered is a map whose keys are also kept sorted, so that a scan of a few
// rows doesn't visit all of them.
type ordered[V any] struct {
	values map[string]V
	blocks [][]string // sorted keys in consecutive blocks, none empty
}

func newOrdered[V any]() ordered[V] {
	return ordered[V]{values: make(map[string]V)}
}

func (o *ordered[V]) get(key string) (V, bool) {
	value, ok := o.values[key]
	return value, ok
}

func (o *ordered[V]) put(key string, value V) {
	if _, known := o.values[key]; !known {
		o.insertKey(key)
	}
	o.values[key] = value
}

func (o *ordered[V]) insertKey(key string) {
	if len(o.blocks) == 0 {
		o.blocks = [][]string{{key}}
		return
	}
	b := o.block(key)
	at, _ := slices.BinarySearch(o.blocks[b], key)
	o.blocks[b] = slices.Insert(o.blocks[b], at, key)
	if len(o.blocks[b]) < maxBlock {
		return
	}
	upper := slices.Clone(o.blocks[b][maxBlock/2:])
	o.blocks[b] = o.blocks[b][:maxBlock/2]
	o.blocks = slices.Insert(o.blocks, b+1, upper)
}

func (o *ordered[V]) remove(key string) {
	if _, known := o.values[key]; !known {
		return
	}
	delete(o.values, key)
	b := o.block(key)
	at, _ := slices.BinarySearch(o.blocks[b], key)
	o.blocks[b] = slices.Delete(o.blocks[b], at, at+1)
	if len(o.blocks[b]) == 0 {
		o.blocks = slices.Delete(o.blocks, b, b+1)
	}
}

// block returns the index of the block that holds the key or that it belongs
// into; 0 for keys before the first block.
func (o *ordered[V]) block(key string) int {
	after := sort.Search(len(o.blocks), func(i int) bool { return o.blocks[i][0] > key })
	return max(after-1, 0)
}

// scan returns at most limit keys with the prefix that are greater than after.
func (o *ordered[V]) scan(prefix, after string, limit int) []string {
	var found []string
	from := max(prefix, after)
	for b := o.block(from); b < len(o.blocks); b++ {
		at, _ := slices.BinarySearch(o.blocks[b], from)
		for _, key := range o.blocks[b][at:] {
			if len(found) >= limit || !strings.HasPrefix(key, prefix) {
				return found
			}
			if key != after {
				found = append(found, key)
			}
		}
	}
	return found
}
