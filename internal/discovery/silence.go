package discovery

import "burdockrelay.example/burdockrelay/internal/decision/selection"

// DetectSilence makes the pools detect endpoints that have fallen silent.
func (c *Cache) DetectSilence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silence = selection.NewSilenceDetection()
	for _, p := range c.pools {
		p.SetSilenceDetection(c.silence)
	}
}
