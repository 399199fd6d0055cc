package contract

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// maxDocumentBytes limits the size of a decoded document, so that a corrupt or
// malicious body can't exhaust an instance's memory. A document with the target
// of 3,800 organisations takes a few MB.
const maxDocumentBytes = 64 << 20

// encoderWindow is the zstd window size in bytes; it limits the encoder's memory.
const encoderWindow = 1 << 20

// Encode returns the document as zstd-compressed JSON, the format in which
// documents are stored and sent.
func Encode(doc *Document) ([]byte, error) {
	plain, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	// An encoder per call is cheap at 1,500 changes per day and retains no memory between calls.
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(encoderWindow),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("create zstd encoder: %w", err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(plain, nil), nil
}

// Decode decodes a document encoded by Encode.
func Decode(body []byte) (*Document, error) {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDocumentBytes))
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder: %w", err)
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	doc := new(Document)
	if err := json.Unmarshal(plain, doc); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return doc, nil
}
