package platform

import (
	"slices"
	"sort"
	"strings"
)

// maxBlockKeys is the number of keys at which a block is split. It limits the
// number of keys that an insertion moves.
const maxBlockKeys = 512

// sortedMap is a map that also keeps its keys sorted, so that a range scan does
// not visit all keys.
type sortedMap[V any] struct {
	values map[string]V
	blocks [][]string // consecutive non-empty blocks of sorted keys
}

func newSortedMap[V any]() sortedMap[V] {
	return sortedMap[V]{values: make(map[string]V)}
}

func (o *sortedMap[V]) get(key string) (V, bool) {
	value, ok := o.values[key]
	return value, ok
}

func (o *sortedMap[V]) put(key string, value V) {
	if _, known := o.values[key]; !known {
		o.insertKey(key)
	}
	o.values[key] = value
}

func (o *sortedMap[V]) insertKey(key string) {
	if len(o.blocks) == 0 {
		o.blocks = [][]string{{key}}
		return
	}
	b := o.blockIndex(key)
	at, _ := slices.BinarySearch(o.blocks[b], key)
	o.blocks[b] = slices.Insert(o.blocks[b], at, key)
	if len(o.blocks[b]) < maxBlockKeys {
		return
	}
	upper := slices.Clone(o.blocks[b][maxBlockKeys/2:])
	o.blocks[b] = o.blocks[b][:maxBlockKeys/2]
	o.blocks = slices.Insert(o.blocks, b+1, upper)
}

func (o *sortedMap[V]) remove(key string) {
	if _, known := o.values[key]; !known {
		return
	}
	delete(o.values, key)
	b := o.blockIndex(key)
	at, _ := slices.BinarySearch(o.blocks[b], key)
	o.blocks[b] = slices.Delete(o.blocks[b], at, at+1)
	if len(o.blocks[b]) == 0 {
		o.blocks = slices.Delete(o.blocks, b, b+1)
	}
}

// blockIndex returns the index of the block that contains the key or into which it
// would be inserted; 0 for keys before the first block.
func (o *sortedMap[V]) blockIndex(key string) int {
	after := sort.Search(len(o.blocks), func(i int) bool { return o.blocks[i][0] > key })
	return max(after-1, 0)
}

// scan returns at most limit keys with the prefix that are greater than after, in
// order.
func (o *sortedMap[V]) scan(prefix, after string, limit int) []string {
	var found []string
	from := max(prefix, after)
	for b := o.blockIndex(from); b < len(o.blocks); b++ {
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
