// Package testbed simulates the users' platform: its object store, routers, endpoints
// and callers, with the interfaces that the platform documents. Every part runs on
// loopback addresses and supports fault injection.
package testbed
