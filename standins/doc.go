// Package standins holds small test doubles of the outside systems: fabric,
// platform, backend servers and callers. They serve tests and the demo only.
package standins
