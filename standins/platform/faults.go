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

// Faults are changed through the control interface.
type Faults struct {
	// Outage is none, unavailable, drop or hang. Watches end when it begins.
	Outage string `json:"outage"`
	// DelayMS is added to each call.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the number of successful changes whose response is still
	// to be lost: the change takes effect and the connection is closed.
	LoseResponses int `json:"lose_answers"`
	// InstanceLagMS is the time after which the instance list shows a change.
	InstanceLagMS int `json:"instance_lag_ms"`
	// FreezeWatches holds back all events; the connections stay open.
	FreezeWatches bool `json:"freeze_watches"`
}

func (f *Faults) check() error {
	switch f.Outage {
	case outageNone, outageUnavailable, outageDrop, outageHang:
	default:
		return errors.New("outage is none of none, unavailable, drop and hang")
	}
	if f.DelayMS < 0 || f.LoseResponses < 0 || f.InstanceLagMS < 0 {
		return errors.New("delay_ms, lose_answers or instance_lag_ms is negative")
	}
	return nil
}

type faults struct {
	mutex  sync.Mutex
	values Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

func newFaults() *faults {
	return &faults{values: Faults{Outage: outageNone}, changed: make(chan struct{})}
}

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

// takeLostResponse reports whether the response of this change is to be lost.
func (f *faults) takeLostResponse() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.values.LoseResponses == 0 {
		return false
	}
	f.values.LoseResponses--
	return true
}

// admit delays a call and applies an outage. It returns false when the call is
// over.
func (f *faults) admit(w http.ResponseWriter, r *http.Request) bool {
	values, _ := f.get()
	if !sleep(r.Context(), time.Duration(values.DelayMS)*time.Millisecond) {
		return false
	}
	// An outage that began during the delay counts.
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
		writeError(w, newStatusError(http.StatusServiceUnavailable, "ServiceUnavailable", "the platform has an outage"))
		return false
	case outageDrop:
		dropConnection()
		return false
	default:
		return true
	}
}

// dropConnection closes the connection of the request without a response.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

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
