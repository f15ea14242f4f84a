// Package testbed stands in for the users' platform: its store, its routers, its
// endpoints and their callers, as the platform describes them. Every part runs on
// loopback addresses and can be made to misbehave.
package testbed
