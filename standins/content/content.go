// Package content produces the deterministic bytes of drawings, so that a
// caller can compare a whole download without a copy of it.
package content

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
)

// Reader returns size bytes that depend on the identifier and the size, so a
// response that belongs to another request differs from the first bytes on.
func Reader(identifier string, size int64) io.Reader {
	hash := fnv.New64a()
	// The write of a hash never fails.
	_, _ = hash.Write([]byte(identifier))
	var seed [32]byte
	for i := range 8 {
		seed[i] = byte(hash.Sum64() >> (8 * i))
		seed[8+i] = byte(uint64(size) >> (8 * i))
	}
	return io.LimitReader(rand.NewChaCha8(seed), size)
}
