package platform

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// Kinds of outage.
const (
	outageNone        = "none"
	outageUnavailable = "unavailable" // each call gets 503
	outageDrop        = "drop"        // each connection is closed without a response
	outageHang        = "hang"        // no call gets a response
)

// Faults are injected into API calls. They are set through the control
// interface.
type Faults struct {
	// Outage is none, unavailable, drop or hang. The start of unavailable or
	// drop closes open watches; during hang they send nothing.
	Outage string `json:"outage"`
	// DelayMS is added to the latency of each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the number of further successful changes whose response
	// is lost: the change takes effect, then the connection is closed.
	LoseResponses int `json:"lose_answers"`
	// InstanceLagMS is the delay, in milliseconds, before a change appears in
	// the instance list.
	InstanceLagMS int `json:"instance_lag_ms"`
	// FreezeWatches withholds all events; the connections stay open.
	FreezeWatches bool `json:"freeze_watches"`
}

func (f *Faults) check() error {
	switch f.Outage {
	case outageNone, outageUnavailable, outageDrop, outageHang:
	default:
		return errors.New("outage must be one of none, unavailable, drop and hang")
	}
	if f.DelayMS < 0 || f.LoseResponses < 0 || f.InstanceLagMS < 0 {
		return errors.New("delay_ms, lose_answers and instance_lag_ms must not be negative")
	}
	return nil
}

// faults is safe for concurrent use.
type faults struct {
	mutex  sync.Mutex
	values Faults
	// changed is closed and replaced whenever values is set.
	changed chan struct{}
}

func newFaults() *faults {
	return &faults{values: Faults{Outage: outageNone}, changed: make(chan struct{})}
}

// get returns the faults and a channel that is closed at the next change.
func (f *faults) get() (Faults, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.values, f.changed
}

func (f *faults) set(values Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.values = values
	close(f.changed)
	f.changed = make(chan struct{})
}

// takeLostResponse reports whether the response to the current change must be
// dropped, and decrements the number of responses to lose if so.
func (f *faults) takeLostResponse() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.values.LoseResponses == 0 {
		return false
	}
	f.values.LoseResponses--
	return true
}

// admit applies the delay and the outage to a call. It returns false when the
// call must not be processed further.
func (f *faults) admit(w http.ResponseWriter, r *http.Request) bool {
	values, _ := f.get()
	if !sleep(r.Context(), time.Duration(values.DelayMS)*time.Millisecond) {
		return false
	}
	// Read the faults again: an outage may have begun during the delay.
	values, changed := f.get()
	for values.Outage == outageHang {
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
		values, changed = f.get()
	}
	switch values.Outage {
	case outageUnavailable:
		writeError(w, newStatusError(http.StatusServiceUnavailable, "ServiceUnavailable", "injected outage of the platform"))
		return false
	case outageDrop:
		dropConnection()
		return false
	default:
		return true
	}
}

// dropConnection panics, so that net/http closes the connection of the request
// without a response.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

// sleep waits for the duration and returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
