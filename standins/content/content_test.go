package content

import (
	"bytes"
	"io"
	"testing"
)

// TestReader guards against equal content for different requests, which would hide
// responses that belong to another request, and against content that differs
// between readers for the same request.
func TestReader(t *testing.T) {
	read := func(identifier string, size int64) []byte {
		data, err := io.ReadAll(Reader(identifier, size))
		if err != nil {
			t.Fatal(err)
		}
		if int64(len(data)) != size {
			t.Errorf("%d bytes, want %d", len(data), size)
		}
		return data
	}
	first := read("a", 1000)
	if !bytes.Equal(first, read("a", 1000)) {
		t.Error("two readers for the same request return different bytes")
	}
	if bytes.Equal(first[:16], read("b", 1000)[:16]) || bytes.Equal(first[:16], read("a", 1001)[:16]) {
		t.Error("readers for different requests start with the same bytes")
	}
	// The content must not depend on the size of the reads.
	pieces := Reader("a", 1000)
	var joined []byte
	for len(joined) < 1000 {
		piece := make([]byte, min(7, 1000-len(joined)))
		if _, err := io.ReadFull(pieces, piece); err != nil {
			t.Fatal(err)
		}
		joined = append(joined, piece...)
	}
	if !bytes.Equal(first, joined) {
		t.Error("reads of 7 bytes return different content than one large read")
	}
}
