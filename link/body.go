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

// maxConfigBytes limits the size of a decoded body. At the target size a
// configuration needs about 1.5 MB.
const maxConfigBytes = 64 << 20

// encodeDocument returns the uncompressed encoding of a configuration. Equal
// documents have equal encodings, which deltas rely on.
func encodeDocument(doc *contract.Document) ([]byte, error) {
	return json.Marshal(doc)
}

// decodeDocument decodes the output of encodeDocument.
func decodeDocument(data []byte) (*contract.Document, error) {
	doc := new(contract.Document)
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// encodeBody compresses data. With a base it produces a delta, which uses the
// base as the zstd dictionary and its version as the dictionary id.
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

// windowFor returns a window size that reaches from the end of the data to the
// start of its dictionary.
func windowFor(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < maxConfigBytes {
		window *= 2
	}
	return window
}

// decodeBody decompresses a body; base may be nil if the body is not a delta.
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

// configCodec encodes the process's configuration for its peers and decodes
// theirs. It keeps the last few versions, so that a peer one change behind
// receives a delta of a few hundred bytes instead of the full body: 1,500 full
// bodies a day to 96 links would exceed the limit on control traffic.
type configCodec struct {
	holder          *contract.Holder
	recordedVersion atomic.Uint64 // newest version in history

	mu      sync.Mutex
	history []encodedConfig // ascending versions, the newest last
}

// historySize is the number of versions kept as delta bases.
const historySize = 4

// encodedConfig is one version with its cached encodings.
type encodedConfig struct {
	version uint64
	data    []byte
	full    []byte
	deltas  map[uint64][]byte // by base version
}

// recordCurrent adds the current version to the history, as a base of later
// deltas. It is called before every message and costs one comparison if
// nothing changed.
func (c *configCodec) recordCurrent() error {
	if c.recordedVersion.Load() == c.holder.Version() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.current()
	return err
}

// current returns the newest version, or nil if the holder has no configuration.
// On first use it encodes the version and clears the cached bodies of older ones.
// The caller must hold the lock.
func (c *configCodec) current() (*encodedConfig, error) {
	index := c.holder.Current()
	if index == nil {
		return nil, nil
	}
	doc := index.Document
	if n := len(c.history); n > 0 && c.history[n-1].version >= doc.Version {
		return &c.history[n-1], nil
	}
	data, err := encodeDocument(doc)
	if err != nil {
		return nil, err
	}
	for i := range c.history {
		c.history[i].full = nil
		c.history[i].deltas = nil
	}
	c.history = append(c.history, encodedConfig{
		version: doc.Version,
		data:    data,
		deltas:  make(map[uint64][]byte),
	})
	if len(c.history) > historySize {
		c.history = append([]encodedConfig(nil), c.history[1:]...)
	}
	c.recordedVersion.Store(doc.Version)
	return &c.history[len(c.history)-1], nil
}

// bodyFor returns the body for a peer at peerVersion, or nil if the peer is
// not behind. full excludes deltas, for peers that could not apply one.
func (c *configCodec) bodyFor(peerVersion uint64, full bool) (*rpc.ConfigBody, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest, err := c.current()
	if err != nil || newest == nil || newest.version <= peerVersion {
		return nil, err
	}
	base := c.baseData(peerVersion)
	if base == nil || full {
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

// baseData returns the uncompressed encoding of a version in the history, or
// nil. Versions that do not fit a 32-bit dictionary id are never bases.
func (c *configCodec) baseData(version uint64) []byte {
	if version == 0 || version > math.MaxUint32 {
		return nil
	}
	for i := range c.history {
		if c.history[i].version == version {
			return c.history[i].data
		}
	}
	return nil
}

// apply decodes a body and offers it to the holder, unless the current version
// is at least as high. A change arrives over many links at once and is decoded
// only once.
func (c *configCodec) apply(body *rpc.ConfigBody) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if body.GetVersion() <= c.holder.Version() {
		return nil
	}
	doc, err := c.decode(body)
	if err != nil {
		return err
	}
	c.holder.SetIfNewer(doc)
	return nil
}

// decode decodes a body; the base of a delta must be in the history.
func (c *configCodec) decode(body *rpc.ConfigBody) (*contract.Document, error) {
	if _, err := c.current(); err != nil {
		return nil, err
	}
	var header zstd.Header
	if err := header.Decode(body.GetBody()); err != nil {
		return nil, err
	}
	baseVersion := uint64(header.DictionaryID)
	data, err := decodeBody(body.GetBody(), c.baseData(baseVersion), baseVersion)
	if err != nil {
		return nil, err
	}
	doc, err := decodeDocument(data)
	if err != nil {
		return nil, err
	}
	if doc.Version != body.GetVersion() {
		return nil, fmt.Errorf("configuration body has version %d but was announced as %d", doc.Version, body.GetVersion())
	}
	return doc, nil
}
