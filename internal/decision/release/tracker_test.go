package release_test

import (
	"testing"

	"burdockrelay.example/burdockrelay/internal/decision/release"
)

// Guards against a release that instances ignore, because a restored platform has lost the
// count of the withdrawn releases before it.
func TestNextAttemptIsNewerThanKnownReleases(t *testing.T) {
	var tracker release.Tracker
	hash := "0123456789abcdef"
	tracker.ObservePointer(release.Ref{Number: 4, Hash: hash})
	tracker.Withdraw(release.Ref{Number: 5, Hash: hash, Attempt: 2})
	next := release.Ref{Number: 5, Hash: hash, Attempt: tracker.NextAttempt(5)}
	if !tracker.ObservePrepared(next) {
		t.Errorf("release with attempt %d was ignored", next.Attempt)
	}
	if again := tracker.NextAttempt(5); again != next.Attempt+1 {
		t.Errorf("next attempt %d after %d was prepared", again, next.Attempt)
	}
	if other := tracker.NextAttempt(6); other != 0 {
		t.Errorf("attempt %d of another number, want 0", other)
	}
}
