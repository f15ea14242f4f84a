package discovery

import "burdockrelay.example/burdockrelay/internal/decision/selection"

// SetPlace sets the place of this instance in the common order of endpoints for long flows.
// others holds the names of the other instances.
func (c *Cache) SetPlace(others []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.place = selection.Place(c.self, others)
	for _, p := range c.pools {
		p.SetPlace(c.place)
	}
}
