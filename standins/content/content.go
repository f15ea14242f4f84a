// Package content generates the content of drawings. It is deterministic, so that
// callers can verify every byte of a download without storing a copy.
package content

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
)

// Reader returns a reader of size pseudo-random bytes, seeded with the identifier
// and the size. The content for another request therefore differs from the first
// bytes on.
func Reader(identifier string, size int64) io.Reader {
	hash := fnv.New64a()
	// A hash.Hash never returns an error from Write.
	_, _ = hash.Write([]byte(identifier))
	var seed [32]byte
	for i := range 8 {
		seed[i] = byte(hash.Sum64() >> (8 * i))
		seed[8+i] = byte(uint64(size) >> (8 * i))
	}
	return io.LimitReader(rand.NewChaCha8(seed), size)
}
