// Package soak runs burdock-relayd as real processes on loopback, injects faults from
// outside them in an order that follows from a seed, and checks while it runs what
// callers and endpoints see.
package soak
