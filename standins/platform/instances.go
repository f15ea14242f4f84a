package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/standins/process"
)

// Instance states in the instance list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Instance is the state of one instance, set through the control interface.
type Instance struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Group      string `json:"group"`
	State      string `json:"state"`
}

func (i *Instance) check() error {
	if _, err := netip.ParseAddr(i.Address); err != nil {
		return err
	}
	if i.State != stateLive && i.State != stateLeaving {
		return errors.New("state must be live or leaving")
	}
	if i.DataCentre == "" || i.Group == "" {
		return errors.New("dataCentre and group must not be empty")
	}
	return nil
}

// object returns the instance as an item of the instance list.
func (i *Instance) object(name string) (Object, error) {
	spec, err := json.Marshal(map[string]string{"address": i.Address, "dataCentre": i.DataCentre, "group": i.Group})
	if err != nil {
		return Object{}, err
	}
	status, err := json.Marshal(map[string]string{"state": i.State})
	if err != nil {
		return Object{}, err
	}
	return Object{
		Kind:       "Instance",
		APIVersion: APIVersion,
		Metadata:   Metadata{Name: name},
		Spec:       spec,
		Status:     status,
	}, nil
}

// instanceQueue applies changes to the instance list in order, each after the
// configured lag.
type instanceQueue struct {
	mutex   sync.Mutex
	pending []pendingChange
}

type pendingChange struct {
	due   time.Time
	apply func()
}

// add schedules a change. Changes are applied in the order of the calls, even
// if the lag is lowered in between.
func (q *instanceQueue) add(lag time.Duration, apply func()) {
	q.mutex.Lock()
	due := time.Now().Add(lag)
	if last := len(q.pending) - 1; last >= 0 && q.pending[last].due.After(due) {
		due = q.pending[last].due
	}
	q.pending = append(q.pending, pendingChange{due, apply})
	q.mutex.Unlock()
	if wait := time.Until(due); wait > 0 {
		time.AfterFunc(wait, q.applyDue)
		return
	}
	q.applyDue()
}

// applyDue applies the changes whose lag has passed.
func (q *instanceQueue) applyDue() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	for len(q.pending) > 0 && !q.pending[0].due.After(now) {
		q.pending[0].apply()
		q.pending = q.pending[1:]
	}
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	instance := Instance{State: stateLive}
	if !process.ReadJSON(w, r, &instance) {
		return
	}
	name := r.PathValue("name")
	object, err := instance.object(name)
	if err := errors.Join(err, instance.check(), checkName(name)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.instances.add(s.instanceLag(), func() { s.store.set(collectionInstances, object, time.Now()) })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	// Removing an instance that is not listed is not an error.
	s.instances.add(s.instanceLag(), func() { _, _ = s.store.remove(collectionInstances, name, "") })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) instanceLag() time.Duration {
	values, _ := s.faults.get()
	return time.Duration(values.InstanceLagMS) * time.Millisecond
}
