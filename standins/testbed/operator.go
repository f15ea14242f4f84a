package testbed

import (
	"encoding/json"
	"fmt"
	"sync"
)

// Operator publishes configurations and evacuations to a store and records them in a
// checker.
type Operator struct {
	store   *Store
	checker *Checker

	mu           sync.Mutex
	version      int
	destinations []Destination
	// content is the last published configuration.
	content json.RawMessage
	// evacuated holds every data centre that was ever evacuated, true while it is closed
	// for new flows.
	evacuated map[string]bool
}

// NewOperator returns an operator that has published nothing.
func NewOperator(store *Store, checker *Checker) *Operator {
	return &Operator{store: store, checker: checker, evacuated: make(map[string]bool)}
}

// Publish publishes a configuration with a set of destinations.
func (o *Operator) Publish(destinations []Destination) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 1 + o.version%3
	var routes, services []map[string]any
	listed := map[string]bool{}
	for i, d := range destinations {
		// An instance may serve a destination before Put returns, so it is allowed first.
		o.checker.allow(d.socketAddr(), d.Service)
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": d.Address.String(), "path_prefix": fmt.Sprintf("/%d/", d.Port),
			"service": d.Service, "timeout_ms": d.Timeout.Milliseconds(), "kind": "idempotent", "priority": 1,
		})
		if !listed[d.Service] {
			listed[d.Service] = true
			services = append(services, map[string]any{"name": d.Service, "health_path": "/health", "max_conns": 2000})
		}
	}
	content, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes, "services": services, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	o.content = content
	o.store.Put("config", "main", content)
	for _, previous := range o.destinations {
		if !contains(destinations, previous) {
			o.checker.withdraw(previous.socketAddr())
		}
	}
	o.destinations = destinations
}

// Republish writes the last published configuration and the evacuations again, if the store
// has lost them.
func (o *Operator) Republish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Put("config", "main", o.content)
	o.rewriteEvacuations()
}

func contains(destinations []Destination, d Destination) bool {
	for _, other := range destinations {
		if other.socketAddr() == d.socketAddr() {
			return true
		}
	}
	return false
}
