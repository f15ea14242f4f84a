package content

import (
	"bytes"
	"io"
	"testing"
)

// TestReader guards against bytes that are the same for two requests, which
// would hide crossed downloads, or that differ between two readers.
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
		t.Error("the same request gives different bytes")
	}
	if bytes.Equal(first[:16], read("b", 1000)[:16]) || bytes.Equal(first[:16], read("a", 1001)[:16]) {
		t.Error("different requests begin with the same bytes")
	}
	// A reader must not depend on how much is read at once.
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
		t.Error("small reads give different bytes")
	}
}
