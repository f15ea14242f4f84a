package soak

import (
	"syscall"
	"time"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

// injectFault starts one random fault or planned change. Faults may overlap.
func (r *run) injectFault() {
	r.faults++
	length := time.Duration(300+r.random.Intn(5000)) * time.Millisecond
	kinds := []func(time.Duration){
		r.kill, r.stop, r.pause, r.reloadSettings,
		r.faultStorePath, r.faultStoreServer, r.failStore, r.faultPeerPath, r.impairPackets,
		r.stallEndpoint, r.crashEndpoint, r.replaceEndpoint, r.changeConfiguration, r.blockWatches, r.expireRecords, r.restoreStore,
		r.evacuate,
	}
	kinds[r.random.Intn(len(kinds))](length)
}

func (r *run) randomInstance() *instance { return r.instances[r.random.Intn(len(r.instances))] }

// suspendDeadlines exempts an instance from the deadlines for changes for a duration. With
// restarted, it has also lost its state.
func (r *run) suspendDeadlines(i *instance, length time.Duration, restarted bool) {
	r.checker.SuspendDeadlines(i.name, time.Now().Add(length), restarted)
}

// kill restarts a random instance with SIGKILL.
func (r *run) kill(time.Duration) {
	i := r.randomInstance()
	r.logEvent("kill %s", i.name)
	r.restart(i, syscall.SIGKILL)
}

// stop restarts a random instance with SIGTERM, the signal with which the platform stops
// instances.
func (r *run) stop(time.Duration) {
	i := r.randomInstance()
	r.logEvent("stop %s", i.name)
	r.restart(i, syscall.SIGTERM)
}

// restart terminates an instance and starts it again in the background. It does
// nothing if the instance is already being stopped.
func (r *run) restart(i *instance, s syscall.Signal) {
	i.mu.Lock()
	alreadyStopping := i.stopRequested
	i.stopRequested = true
	i.mu.Unlock()
	if alreadyStopping {
		return
	}
	downtime := time.Duration(r.random.Intn(1500)) * time.Millisecond
	r.suspendDeadlines(i, stopTimeout+downtime, true)
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		i.terminate(s)
		time.Sleep(downtime)
		if err := i.start(); err != nil {
			r.checker.RecordError("cannot restart %s: %v", i.name, err)
		}
		r.checker.SuspendDeadlines(i.name, time.Now(), true)
	}()
	r.scheduleEnd(0, func() {
		// At the end of the run, wait for the restart to finish.
		if time.Since(r.startedAt) >= r.settings.Length {
			<-restarted
		}
	})
}

// pause suspends the process of a random instance for a duration.
func (r *run) pause(length time.Duration) {
	i := r.randomInstance()
	r.logEvent("pause %s for %v", i.name, length)
	r.suspendDeadlines(i, length, false)
	i.pause()
	r.scheduleEnd(length, i.resume)
}

// reloadSettings changes the log level in the settings file of a random instance and
// sends SIGHUP to its process.
func (r *run) reloadSettings(time.Duration) {
	i := r.randomInstance()
	r.logEvent("reload settings of %s", i.name)
	levels := []string{"info", "warn", "debug"}
	if err := i.writeSettings(levels[r.random.Intn(len(levels))]); err != nil {
		r.checker.RecordError("cannot write settings of %s: %v", i.name, err)
	}
	i.signal(syscall.SIGHUP)
}

// faultStorePath injects a network fault between one instance and the store.
func (r *run) faultStorePath(length time.Duration) {
	i := r.randomInstance()
	fault := pathFault(1 + r.random.Intn(int(pathFaultCount)-1))
	r.logEvent("path from %s to the store: fault %d for %v", i.name, fault, length)
	r.suspendDeadlines(i, length, false)
	i.storeProxy.setFault(fault)
	r.scheduleEnd(length, func() { i.storeProxy.setFault(pathHealthy) })
}

// faultStoreServer makes the store reject, ignore or delay the calls of one instance,
// or apply its writes without a response.
func (r *run) faultStoreServer(length time.Duration) {
	i := r.randomInstance()
	faults := []testbed.Faults{
		{Mode: testbed.Unavailable},
		{Mode: testbed.TooManyRequests},
		{Mode: testbed.ConnectionReset},
		{Mode: testbed.NoResponse, Forever: true},
		{Delay: 250 * time.Millisecond},
		{LoseWrites: true, LateBy: time.Second},
	}
	fault := faults[r.random.Intn(len(faults))]
	r.logEvent("store server of %s: faults %+v for %v", i.name, fault, length)
	r.suspendDeadlines(i, length, false)
	i.storeServer.SetFaults(fault)
	r.scheduleEnd(length, func() { i.storeServer.SetFaults(testbed.Faults{}) })
}

// failStore makes the store unavailable to all instances.
func (r *run) failStore(length time.Duration) {
	mode := []testbed.Mode{testbed.Unavailable, testbed.ConnectionReset, testbed.NoResponse}[r.random.Intn(3)]
	r.logEvent("store unavailable to all (%s) for %v", mode, length)
	for _, i := range r.instances {
		r.suspendDeadlines(i, length, false)
		i.storeServer.SetFaults(testbed.Faults{Mode: mode})
		r.scheduleEnd(length, func() { i.storeServer.SetFaults(testbed.Faults{}) })
	}
}

// faultPeerPath injects a network fault between the other instances and one instance.
// The paths to the store stay healthy.
func (r *run) faultPeerPath(length time.Duration) {
	i := r.randomInstance()
	fault := pathFault(1 + r.random.Intn(int(pathFaultCount)-1))
	r.logEvent("path to %s from its peers: fault %d for %v", i.name, fault, length)
	i.peerProxy.setFault(fault)
	r.scheduleEnd(length, func() { i.peerProxy.setFault(pathHealthy) })
}

// impairPackets drops and delays packets of callers.
func (r *run) impairPackets(length time.Duration) {
	loss, delay := r.random.Intn(5), time.Duration(r.random.Intn(20))*time.Millisecond
	r.logEvent("packets: %d%% dropped, delay %v, for %v", loss, delay, length)
	r.router.Impair(loss, delay)
	r.scheduleEnd(length, func() { r.router.Impair(0, 0) })
}

// randomEndpoint returns an endpoint of the service "desk" and its index, or nil if
// the service has fewer than three endpoints. It never returns the last two of the
// list, so that the service stays available.
func (r *run) randomEndpoint() (index int, e *testbed.Endpoint) {
	list := r.endpoints["desk"]
	if len(list) < 3 {
		return 0, nil
	}
	index = r.random.Intn(len(list) - 2)
	return index, list[index]
}

// stallEndpoint makes an endpoint unresponsive for a duration.
func (r *run) stallEndpoint(length time.Duration) {
	_, e := r.randomEndpoint()
	if e == nil {
		return
	}
	r.logEvent("endpoint %s unresponsive for %v", e.Name(), length)
	e.SetUnresponsive(true)
	r.scheduleEnd(length, func() { e.SetUnresponsive(false) })
}

// crashEndpoint stops an endpoint at once. Its record expires after length, when a new
// endpoint starts.
func (r *run) crashEndpoint(length time.Duration) {
	index, e := r.randomEndpoint()
	if e == nil {
		return
	}
	r.logEvent("endpoint %s crashes", e.Name())
	r.stopEndpoint(e)
	r.endpoints["desk"] = append(r.endpoints["desk"][:index], r.endpoints["desk"][index+1:]...)
	r.scheduleEnd(length, func() {
		r.store.Remove("servers", e.Name())
		if err := r.addEndpoint("desk"); err != nil {
			r.checker.RecordError("cannot start endpoint: %v", err)
		}
	})
}

// replaceEndpoint starts an endpoint and drains another one, which stops after
// drainTime.
func (r *run) replaceEndpoint(time.Duration) {
	index, e := r.randomEndpoint()
	if e == nil {
		return
	}
	if err := r.addEndpoint("desk"); err != nil {
		r.checker.RecordError("cannot start endpoint: %v", err)
		return
	}
	r.logEvent("endpoint %s is draining", e.Name())
	r.endpoints["desk"] = append(r.endpoints["desk"][:index], r.endpoints["desk"][index+1:]...)
	e.Drain()
	r.checker.EndpointDraining(e.Name())
	r.scheduleEnd(drainTime, func() {
		r.stopEndpoint(e)
		r.store.Remove("servers", e.Name())
	})
}

// drainTime is the time that an endpoint keeps serving after its drain began. It is
// longer than callers keep a flow open.
const drainTime = 12 * time.Second

// changeConfiguration adds or removes the optional destination, or publishes the
// destinations unchanged.
func (r *run) changeConfiguration(time.Duration) {
	if r.random.Intn(3) > 0 {
		r.configurationNumber++
	}
	r.logEvent("configuration %d", r.configurationNumber)
	r.publish()
}

// dataCentres are the data centres of the endpoints.
var dataCentres = []string{"fukuoka", "oita"}

// evacuate closes a random data centre, for longer than the evacuation may take to be in
// force.
func (r *run) evacuate(length time.Duration) {
	dataCentre := dataCentres[r.random.Intn(len(dataCentres))]
	if r.operator.Evacuated(dataCentre) {
		return
	}
	length += 2 * applyDeadline
	r.logEvent("evacuation of %s for %v", dataCentre, length)
	r.operator.Evacuate(dataCentre)
	r.scheduleEnd(length, func() { r.operator.EndEvacuation(dataCentre) })
}

// blockWatches withholds changes from watches for a duration, then drops the history.
func (r *run) blockWatches(length time.Duration) {
	r.logEvent("watches blocked for %v", length)
	r.store.BlockWatches(true)
	r.scheduleEnd(length, func() {
		r.store.DropHistory()
		r.store.BlockWatches(false)
	})
}

// expireRecords makes the store unavailable to all instances and lets the records of
// the endpoints of the service "desk" expire during the outage. The endpoints register
// again one second after the store has recovered.
func (r *run) expireRecords(length time.Duration) {
	length = max(length, 2500*time.Millisecond)
	r.failStore(length)
	list := append([]*testbed.Endpoint{}, r.endpoints["desk"]...)
	r.logEvent("%d endpoint records expire during the outage", len(list))
	r.scheduleEnd(length, func() {
		for _, e := range list {
			r.store.Remove("servers", e.Name())
		}
	})
	r.scheduleEnd(length+time.Second, func() {
		for _, e := range list {
			e.Register()
		}
	})
}
