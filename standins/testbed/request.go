package testbed

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// request is one request on a flow.
type request struct {
	id   uint64
	kind Kind
	// size is the size of the response body in bytes.
	size uint32
	// serviceTime is the time that the endpoint takes for the request.
	serviceTime time.Duration
}

// Kind is the kind of a request. A Report must not run more than once.
type Kind byte

// Kinds of requests.
const (
	Idempotent Kind = iota
	Report
	Download
)

// Status codes of a response.
const (
	statusDone byte = 1
	statusShed byte = 2 // refused, not run
)

// Sizes in bytes.
const (
	requestSize        = 8 + 1 + 4 + 4
	responseHeaderSize = 8 + 1 + 4
)

func (r *request) encode() []byte {
	data := make([]byte, requestSize)
	binary.BigEndian.PutUint64(data, r.id)
	data[8] = byte(r.kind)
	binary.BigEndian.PutUint32(data[9:], r.size)
	binary.BigEndian.PutUint32(data[13:], uint32(r.serviceTime/time.Microsecond))
	return data
}

// parseRequest parses the request at the start of data if it is complete, and returns
// the remaining bytes.
func parseRequest(data []byte) (r request, rest []byte, complete bool) {
	if len(data) < requestSize {
		return r, data, false
	}
	r = request{
		id: binary.BigEndian.Uint64(data), kind: Kind(data[8]), size: binary.BigEndian.Uint32(data[9:]),
		serviceTime: time.Duration(binary.BigEndian.Uint32(data[13:])) * time.Microsecond,
	}
	return r, data[requestSize:], true
}

// encodeResponse returns the response to a request: its ID, a status and, with
// statusDone, a body derived from the ID.
func encodeResponse(r *request, status byte) []byte {
	size := r.size
	if status != statusDone {
		size = 0
	}
	data := make([]byte, responseHeaderSize, responseHeaderSize+size)
	binary.BigEndian.PutUint64(data, r.id)
	data[8] = status
	binary.BigEndian.PutUint32(data[9:], size)
	return append(data, responseBody(r.id, size)...)
}

// responseBody returns the response body for a request ID, with a size in bytes.
func responseBody(id uint64, size uint32) []byte {
	data := make([]byte, size)
	h := fnv.New64a()
	var seed [16]byte
	binary.BigEndian.PutUint64(seed[:], id)
	for offset := 0; offset < len(data); offset += 8 {
		binary.BigEndian.PutUint64(seed[8:], uint64(offset))
		h.Reset()
		_, _ = h.Write(seed[:])
		var block [8]byte
		binary.BigEndian.PutUint64(block[:], h.Sum64())
		copy(data[offset:], block[:])
	}
	return data
}
