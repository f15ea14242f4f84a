// Package standins holds small test doubles of the outside systems: fabric,
// platform, backend servers and callers. They are used by tests and the demo
// only.
package standins
