package discovery

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// publish builds the view from the catalog, applies the evacuations to the pools and
// returns what has changed. The caller holds mu.
func (c *Cache) publish(now time.Duration) Changes {
	// The evacuations come first, so that a pool created below has them from the start.
	evacuations := c.applyEvacuations()
	listed := make(map[string][]directory.Endpoint, len(c.pools))
	for service := range c.pools {
		listed[service] = nil
	}
	var missing []*directory.EndpointRecord
	all := c.catalog.Records()
	for _, record := range all {
		if c.state(record, now) == Gone {
			missing = append(missing, record)
			continue
		}
		listed[record.Endpoint.Service] = append(listed[record.Endpoint.Service], record.Endpoint)
	}
	labelled := make([]steering.LabelledMember, 0, len(all))
	for service, endpoints := range listed {
		for i, m := range c.pool(service).Update(endpoints, now) {
			labelled = append(labelled, withLabel(m, &endpoints[i], true))
		}
	}
	unlisted := make(map[string]*selection.Member, len(missing))
	for _, record := range missing {
		endpoint := &record.Endpoint
		m := c.unlistedMember(endpoint)
		unlisted[endpoint.Name] = m
		labelled = append(labelled, withLabel(m, endpoint, false))
	}
	c.unlisted = unlisted
	if configuration := c.catalog.Configuration(); configuration != c.limitedBy {
		c.updateWarmUpLimits()
	}
	hadConfiguration := c.HasConfiguration()
	c.currentView.Store(steering.NewView(c.catalog.Configuration(), labelled, c.pool, c.currentView.Load()))
	if !hadConfiguration && c.HasConfiguration() {
		close(c.ready)
	}
	endpoints := c.stateChanges(all, func(record *directory.EndpointRecord) EndpointState { return c.state(record, now) })
	return Changes{Endpoints: endpoints, Evacuations: evacuations}
}

// unlistedMember returns the member of an endpoint that is no longer listed.
func (c *Cache) unlistedMember(endpoint *directory.Endpoint) *selection.Member {
	if m := c.unlisted[endpoint.Name]; m != nil && m.Matches(endpoint) {
		return m
	}
	return c.pool(endpoint.Service).Unlisted(endpoint)
}

func withLabel(m *selection.Member, endpoint *directory.Endpoint, live bool) steering.LabelledMember {
	return steering.LabelledMember{
		Member: m,
		Holder: label.Holder{ID: endpoint.ID, Live: live, StartedAt: endpoint.StartedAt},
	}
}
