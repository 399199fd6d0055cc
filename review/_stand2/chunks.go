package main

import (
	"io"
	"net/http/httputil"
	"strings"
)

// newChunkReader decodes a body that was sent in chunks.
func newChunkReader(s string) io.Reader { return httputil.NewChunkedReader(strings.NewReader(s)) }
