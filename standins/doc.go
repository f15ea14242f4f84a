// Package standins holds small test doubles of the systems around the load
// balancer: fabric, platform, backend servers and callers. They are used by tests
// and the demo only.
//
// Packages fabric, platform, endpoint and caller simulate an environment with
// Geneve tunnels and a Kubernetes-style object API. Package testbed simulates the
// users' platform, with its own packet format and object store.
package standins
