package link

import (
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	"github.com/klauspost/compress/zstd"

	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// maxConfigBytes bounds a decoded body; the target size needs about 1.5 MB.
const maxConfigBytes = 64 << 20

// encodeDocument gives the uncompressed form of a configuration. Equal
// documents give equal bytes, which deltas rely on.
func encodeDocument(doc *contract.Document) ([]byte, error) {
	return json.Marshal(doc)
}

// decodeDocument reads what encodeDocument wrote.
func decodeDocument(data []byte) (*contract.Document, error) {
	doc := new(contract.Document)
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// encodeBody compresses data. With a base it writes a delta: the base is the
// zstd dictionary and its version the dictionary id.
func encodeBody(data, base []byte, baseVersion uint64) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(uint32(baseVersion), base), zstd.WithWindowSize(windowFor(len(base)+len(data))))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(data, nil), nil
}

// windowFor returns a window that reaches from the end of the data to the
// start of its dictionary.
func windowFor(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < maxConfigBytes {
		window *= 2
	}
	return window
}

// decodeBody decompresses a body; base may be nil when the body is no delta.
func decodeBody(body, base []byte, baseVersion uint64) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxConfigBytes),
	}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(uint32(baseVersion), base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(body, nil)
}

// bodies encodes a process's configuration for its peers. It keeps the last
// few versions, so that a peer one change behind gets a delta of some hundred
// bytes instead of the whole body: 1,500 whole bodies a day to 96 links would
// exceed the limit on control traffic.
type bodies struct {
	holder     *contract.Holder
	remembered atomic.Uint64 // newest version in history

	mu      sync.Mutex
	history []encoded // ascending versions, the newest last
}

// historySize is the number of versions kept as bases of deltas.
const historySize = 4

// encoded is one version with the forms that were sent of it.
type encoded struct {
	version uint64
	data    []byte
	full    []byte
	deltas  map[uint64][]byte // by base version
}

// remember keeps the version in force as a base of later deltas. The streams
// call it before every message; it costs one comparison when nothing changed.
func (b *bodies) remember() error {
	if b.remembered.Load() == b.holder.Version() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, err := b.current()
	return err
}

// current returns the newest version, encoding it on first use.
func (b *bodies) current() (*encoded, error) {
	index := b.holder.Current()
	if index == nil {
		return nil, nil
	}
	doc := index.Document
	if n := len(b.history); n > 0 && b.history[n-1].version >= doc.Version {
		return &b.history[n-1], nil
	}
	data, err := encodeDocument(doc)
	if err != nil {
		return nil, err
	}
	for i := range b.history {
		b.history[i].full = nil
		b.history[i].deltas = nil
	}
	b.history = append(b.history, encoded{
		version: doc.Version,
		data:    data,
		deltas:  make(map[uint64][]byte),
	})
	if len(b.history) > historySize {
		b.history = append([]encoded(nil), b.history[1:]...)
	}
	b.remembered.Store(doc.Version)
	return &b.history[len(b.history)-1], nil
}

// forPeer returns the body for a peer at peerVersion, or nil when the peer is
// not behind. whole excludes deltas, for peers that could not apply one.
func (b *bodies) forPeer(peerVersion uint64, whole bool) (*rpc.ConfigBody, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest, err := b.current()
	if err != nil || newest == nil || newest.version <= peerVersion {
		return nil, err
	}
	base := b.data(peerVersion)
	if base == nil || whole {
		if newest.full == nil {
			newest.full, err = encodeBody(newest.data, nil, 0)
		}
		return &rpc.ConfigBody{Version: newest.version, Body: newest.full}, err
	}
	if newest.deltas[peerVersion] == nil {
		newest.deltas[peerVersion], err = encodeBody(newest.data, base, peerVersion)
	}
	return &rpc.ConfigBody{Version: newest.version, Body: newest.deltas[peerVersion]}, err
}

// data returns the uncompressed form of a kept version, or nil. Versions that
// do not fit a dictionary id are never bases.
func (b *bodies) data(version uint64) []byte {
	if version == 0 || version > math.MaxUint32 {
		return nil
	}
	for i := range b.history {
		if b.history[i].version == version {
			return b.history[i].data
		}
	}
	return nil
}

// take decodes a body and offers it to the holder, unless the version in force
// is as high. One change arrives over many links at once and is decoded once.
func (b *bodies) take(body *rpc.ConfigBody) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.GetVersion() <= b.holder.Version() {
		return nil
	}
	doc, err := b.decode(body)
	if err != nil {
		return err
	}
	b.holder.Offer(doc)
	return nil
}

// decode reads a body; a delta needs its base among the kept versions.
func (b *bodies) decode(body *rpc.ConfigBody) (*contract.Document, error) {
	if _, err := b.current(); err != nil {
		return nil, err
	}
	var header zstd.Header
	if err := header.Decode(body.GetBody()); err != nil {
		return nil, err
	}
	baseVersion := uint64(header.DictionaryID)
	data, err := decodeBody(body.GetBody(), b.data(baseVersion), baseVersion)
	if err != nil {
		return nil, err
	}
	doc, err := decodeDocument(data)
	if err != nil {
		return nil, err
	}
	if doc.Version != body.GetVersion() {
		return nil, fmt.Errorf("configuration body has version %d, announced as %d", doc.Version, body.GetVersion())
	}
	return doc, nil
}
