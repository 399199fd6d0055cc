package contract

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// maxDocumentBytes bounds a decoded document, so that a damaged or hostile
// body can't exhaust an instance's memory. The target of 3,800 organisations
// needs a few MB.
const maxDocumentBytes = 64 << 20

// encoderWindow bounds the encoder's memory.
const encoderWindow = 1 << 20

// Encode gives the form in which documents are stored and sent: JSON,
// compressed with zstd.
func Encode(doc *Document) ([]byte, error) {
	plain, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	// A coder per call costs little at 1,500 changes per day and keeps no memory between them.
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

// Decode reads the form that Encode gives.
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
