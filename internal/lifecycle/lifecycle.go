// Package lifecycle starts the goroutines of a component.
package lifecycle

import "gopkg.in/tomb.v2"

// Go runs the jobs in goroutines of t. The first job that returns an error ends t. A tomb
// panics when a goroutine is started after all of its goroutines have ended, so the jobs
// are started from a goroutine of t: a job that ends at once cannot end t before the next
// one is started.
func Go(t *tomb.Tomb, jobs ...func() error) {
	t.Go(func() error {
		for _, job := range jobs {
			t.Go(job)
		}
		return nil
	})
}
