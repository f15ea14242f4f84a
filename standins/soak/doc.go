// Package soak runs burdock-relayd processes on loopback, injects faults into their
// environment in an order determined by a seed, and checks the delivery guarantees as
// seen by callers and endpoints.
package soak
