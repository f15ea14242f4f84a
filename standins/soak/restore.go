package soak

import (
	"time"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

const (
	// maxBackupAge is the maximum age of the copy to which the store is restored.
	maxBackupAge = 10 * time.Second
	// recordLifetime is how long the store keeps the record of an endpoint without
	// heartbeats.
	recordLifetime = 4 * time.Second
	// maxRewriteDelay is the maximum time after a restore until the operator and the
	// endpoints have written again what it has lost.
	maxRewriteDelay = 1500 * time.Millisecond
)

// backup is a copy of the store and the time at which it was made.
type backup struct {
	at      time.Time
	content *testbed.Copy
}

// makeBackup copies the store and drops copies older than maxBackupAge.
func (r *run) makeBackup() {
	now := time.Now()
	for len(r.backups) > 0 && now.Sub(r.backups[0].at) > maxBackupAge {
		r.backups = r.backups[1:]
	}
	r.backups = append(r.backups, backup{at: now, content: r.store.Copy()})
}

// restoreStore makes the store unavailable to all instances for a time, sometimes hardly
// noticeable, and then restores it to an earlier copy of its content.
func (r *run) restoreStore(length time.Duration) {
	if r.random.Intn(2) == 0 {
		length = time.Duration(r.random.Intn(50)) * time.Millisecond
	}
	chosen := r.backups[r.random.Intn(len(r.backups))]
	rewriteDelay := time.Duration(r.random.Int63n(int64(maxRewriteDelay)))
	r.logEvent("store away for %v, then restored to a copy from %.3f s; written again %v later", length, chosen.at.Sub(r.startedAt).Seconds(), rewriteDelay)
	r.failStore(length)
	for _, i := range r.instances {
		r.suspendDeadlines(i, length+rewriteDelay, false)
	}
	r.scheduleEnd(length, func() { r.store.Restore(chosen.content) })
	r.scheduleEnd(length+rewriteDelay, func() {
		r.operator.Republish()
		for _, e := range r.running {
			e.Register()
		}
	})
	r.scheduleEnd(length+recordLifetime, r.removeExpiredRecords)
}

// removeExpiredRecords removes the records of endpoints that do not run.
func (r *run) removeExpiredRecords() {
	for _, name := range r.store.Names("servers") {
		if r.running[name] == nil {
			r.store.Remove("servers", name)
		}
	}
}
