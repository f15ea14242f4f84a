// Package hedge decides when the first packet of a flow is sent to a second endpoint, and
// how often that may happen. It reads no clock.
package hedge

import "time"

const (
	// delayFactor is the hedge delay as a multiple of the mean handshake time. It is half
	// the factor after which an endpoint that has not answered becomes suspect.
	delayFactor = 4
	// MinDelay is longer than the process usually waits for a core, so that an answer that
	// is only read late causes no hedge. maxDelay leaves the second endpoint 50 ms before
	// callers retransmit their first packet.
	MinDelay = 20 * time.Millisecond
	maxDelay = 150 * time.Millisecond
)

// Delay returns how long the first endpoint has to answer before the first packet is sent
// to a second one. meanHandshake is the mean handshake time of the service.
func Delay(meanHandshake time.Duration) time.Duration {
	return min(max(delayFactor*meanHandshake, MinDelay), maxDelay)
}
