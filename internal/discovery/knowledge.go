// Package discovery keeps an instance's knowledge of the configuration and the
// endpoints fresh, from the object store and from peers, and gives the packet
// path an immutable view of it.
package discovery

import (
	"sync"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/directory"
)

const (
	// flowLife is how long an endpoint that is no longer listed is remembered for
	// the flows that name it.
	flowLife = 60 * time.Second
)

// Knowledge holds what the instance knows. Its methods are safe for concurrent
// use.
type Knowledge struct {
	dataCentre string
	clock      func() time.Duration

	mu      sync.Mutex
	catalog *directory.Catalog
	pools   map[string]*selection.Pool

	current     atomic.Pointer[steering.View]
	confirmedAt atomic.Int64
}

// NewKnowledge returns the empty knowledge of an instance in a data centre. clock
// returns the time since a fixed moment and goes on while the machine is
// suspended.
func NewKnowledge(dataCentre string, clock func() time.Duration) *Knowledge {
	k := &Knowledge{
		dataCentre: dataCentre,
		clock:      clock,
		catalog:    directory.NewCatalog(),
		pools:      make(map[string]*selection.Pool),
	}
	k.current.Store(steering.NewView(nil, nil, k.pool))
	return k
}

// Now returns the time of the knowledge.
func (k *Knowledge) Now() time.Duration { return k.clock() }

// Current returns the view for packets and how old it is.
func (k *Knowledge) Current() (*steering.View, steering.Freshness) {
	view := k.current.Load()
	age := k.clock() - time.Duration(k.confirmedAt.Load())
	return view, steering.Freshness{Known: view.Version() != 0, Age: age, Complete: view.Version() != 0 && age < time.Second}
}

// pool returns the pool of a service. The caller holds mu or is the only user.
func (k *Knowledge) pool(service string) *selection.Pool {
	p := k.pools[service]
	if p == nil {
		p = selection.NewPool(service, k.dataCentre)
		k.pools[service] = p
	}
	return p
}

// Offer takes a configuration and a full list of endpoints read at a revision.
// They were current at the time confirmedAt or later.
func (k *Knowledge) Offer(configuration *directory.Configuration, endpoints []directory.Endpoint, at uint64, confirmedAt time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	changed := k.catalog.OfferConfiguration(configuration)
	changed = k.catalog.OfferEndpoints(endpoints, at, now) || changed
	if k.catalog.Forget(flowLife, now) > 0 {
		changed = true
	}
	if changed {
		k.publish(now)
	}
	k.confirmedAt.Store(max(k.confirmedAt.Load(), int64(confirmedAt)))
	return changed
}

// publish builds the view from the catalog.
func (k *Knowledge) publish(now time.Duration) {
	known := k.catalog.Known()
	byService := make(map[string][]directory.Endpoint)
	for _, e := range known {
		if !e.Missing {
			byService[e.Endpoint.Service] = append(byService[e.Endpoint.Service], e.Endpoint)
		}
	}
	for service := range k.pools {
		if _, listed := byService[service]; !listed {
			byService[service] = nil
		}
	}
	var labelled []steering.Labelled
	for service, endpoints := range byService {
		for i, m := range k.pool(service).Update(endpoints, now) {
			labelled = append(labelled, steering.Labelled{
				Member: m,
				Holder: label.Holder{Number: endpoints[i].Number, Live: true, Born: endpoints[i].Born},
			})
		}
	}
	k.current.Store(steering.NewView(k.catalog.Configuration(), labelled, k.pool))
}
