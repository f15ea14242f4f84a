package soak

import (
	"syscall"
	"time"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

// disturb begins one fault or change. Several overlap.
func (r *run) injectFault() {
	r.faults++
	length := time.Duration(300+r.random.Intn(5000)) * time.Millisecond
	kinds := []func(time.Duration){
		r.kill, r.stop, r.pause, r.reloadSettings,
		r.faultStorePath, r.faultStoreServer, r.stopStore, r.faultPeerPath, r.impairPackets,
		r.suspendEndpoint, r.crashEndpoint, r.replaceEndpoint, r.changeConfiguration, r.blockWatches, r.expireRecords,
	}
	kinds[r.random.Intn(len(kinds))](length)
}

func (r *run) randomInstance() *instance { return r.instances[r.random.Intn(len(r.instances))] }

// trouble notes that an instance is not held to the bounds for a time.
func (r *run) suspendBounds(i *instance, length time.Duration, restarted bool) {
	r.checker.SuspendBounds(i.name, time.Now().Add(length), restarted)
}

// kill kills a process and starts it again.
func (r *run) kill(time.Duration) {
	i := r.randomInstance()
	r.logEvent("kill %s", i.name)
	r.restart(i, syscall.SIGKILL)
}

// stop stops a process as the platform does, and starts it again.
func (r *run) stop(time.Duration) {
	i := r.randomInstance()
	r.logEvent("stop %s", i.name)
	r.restart(i, syscall.SIGTERM)
}

// restart ends a process beside the run and starts it again.
func (r *run) restart(i *instance, s syscall.Signal) {
	i.mu.Lock()
	alreadyStopping := i.stopRequested
	i.stopRequested = true
	i.mu.Unlock()
	if alreadyStopping {
		return
	}
	downtime := time.Duration(r.random.Intn(1500)) * time.Millisecond
	r.suspendBounds(i, stopTimeout+downtime, true)
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		i.terminate(s)
		time.Sleep(downtime)
		if err := i.start(); err != nil {
			r.checker.RecordError("%s does not start: %v", i.name, err)
		}
		r.checker.SuspendBounds(i.name, time.Now(), true)
	}()
	r.scheduleEnd(0, func() {
		// The end of the run waits for the restart.
		if time.Since(r.startedAt) >= r.settings.Length {
			<-restarted
		}
	})
}

// pause stops a process for a time.
func (r *run) pause(length time.Duration) {
	i := r.randomInstance()
	r.logEvent("pause %s for %v", i.name, length)
	r.suspendBounds(i, length, false)
	i.pause()
	r.scheduleEnd(length, i.resume)
}

// hangUp tells a process that its settings file may have changed.
func (r *run) reloadSettings(time.Duration) {
	i := r.randomInstance()
	r.logEvent("signal %s", i.name)
	levels := []string{"info", "warn", "debug"}
	if err := i.writeSettings(levels[r.random.Intn(len(levels))]); err != nil {
		r.checker.RecordError("settings of %s: %v", i.name, err)
	}
	i.signal(syscall.SIGHUP)
}

// storePath harms the path of one instance to the store.
func (r *run) faultStorePath(length time.Duration) {
	i := r.randomInstance()
	fault := pathFault(1 + r.random.Intn(int(pathFaultCount)-1))
	r.logEvent("path of %s to the store: fault %d for %v", i.name, fault, length)
	r.suspendBounds(i, length, false)
	i.store.set(fault)
	r.scheduleEnd(length, func() { i.store.set(pathHealthy) })
}

// storeDoor makes the store turn one instance away, lose its writes or answer slowly.
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
	r.logEvent("store for %s: %+v for %v", i.name, fault, length)
	r.suspendBounds(i, length, false)
	i.storeServer.SetFaults(fault)
	r.scheduleEnd(length, func() { i.storeServer.SetFaults(testbed.Faults{}) })
}

// storeAway makes the store answer nobody.
func (r *run) stopStore(length time.Duration) {
	mode := []testbed.Mode{testbed.Unavailable, testbed.ConnectionReset, testbed.NoResponse}[r.random.Intn(3)]
	r.logEvent("store away (%s) for %v", mode, length)
	for _, i := range r.instances {
		r.suspendBounds(i, length, false)
		i.storeServer.SetFaults(testbed.Faults{Mode: mode})
		r.scheduleEnd(length, func() { i.storeServer.SetFaults(testbed.Faults{}) })
	}
}

// peerPath harms the path of the others to one instance. All of them still reach the
// store.
func (r *run) faultPeerPath(length time.Duration) {
	i := r.randomInstance()
	fault := pathFault(1 + r.random.Intn(int(pathFaultCount)-1))
	r.logEvent("path to %s from its peers: fault %d for %v", i.name, fault, length)
	i.peers.set(fault)
	r.scheduleEnd(length, func() { i.peers.set(pathHealthy) })
}

// packets loses and delays packets of callers.
func (r *run) impairPackets(length time.Duration) {
	loss, delay := r.random.Intn(5), time.Duration(r.random.Intn(20))*time.Millisecond
	r.logEvent("packets: %d%% lost, %v late, for %v", loss, delay, length)
	r.router.Impair(loss, delay)
	r.scheduleEnd(length, func() { r.router.Impair(0, 0) })
}

// anyEndpoint returns an endpoint of the desk that may be harmed: two stay.
func (r *run) randomEndpoint() (index int, e *testbed.Endpoint) {
	list := r.endpoints["desk"]
	if len(list) < 3 {
		return 0, nil
	}
	index = r.random.Intn(len(list) - 2)
	return index, list[index]
}

// silence makes an endpoint neither receive nor send for a time.
func (r *run) suspendEndpoint(length time.Duration) {
	_, e := r.randomEndpoint()
	if e == nil {
		return
	}
	r.logEvent("endpoint %s silent for %v", e.Name(), length)
	e.SetUnresponsive(true)
	r.scheduleEnd(length, func() { e.SetUnresponsive(false) })
}

// crash ends an endpoint. Its entry expires later, and another one starts.
func (r *run) crashEndpoint(length time.Duration) {
	index, e := r.randomEndpoint()
	if e == nil {
		return
	}
	r.logEvent("endpoint %s crashes", e.Name())
	r.checker.EndpointStopped(e.Name())
	e.Close()
	r.endpoints["desk"] = append(r.endpoints["desk"][:index], r.endpoints["desk"][index+1:]...)
	r.scheduleEnd(length, func() {
		r.store.Remove("servers", e.Name())
		if err := r.addEndpoint("desk"); err != nil {
			r.checker.RecordError("endpoint: %v", err)
		}
	})
}

// replace starts an endpoint and drains another one, which leaves afterwards.
func (r *run) replaceEndpoint(time.Duration) {
	index, e := r.randomEndpoint()
	if e == nil {
		return
	}
	if err := r.addEndpoint("desk"); err != nil {
		r.checker.RecordError("endpoint: %v", err)
		return
	}
	r.logEvent("endpoint %s drains", e.Name())
	r.endpoints["desk"] = append(r.endpoints["desk"][:index], r.endpoints["desk"][index+1:]...)
	e.Drain()
	r.checker.EndpointDraining(e.Name())
	r.scheduleEnd(drainTime, func() {
		r.checker.EndpointStopped(e.Name())
		e.Close()
		r.store.Remove("servers", e.Name())
	})
}

// drainTime is how long an endpoint serves after it said that it leaves: longer than
// callers keep a flow.
const drainTime = 12 * time.Second

// configure adds or takes away a destination, or only publishes again.
func (r *run) changeConfiguration(time.Duration) {
	if r.random.Intn(3) > 0 {
		r.configurationNumber++
	}
	r.logEvent("configuration %d", r.configurationNumber)
	r.publish()
}

// muteWatches lets watches hear nothing for a time, and drops the history then.
func (r *run) blockWatches(length time.Duration) {
	r.logEvent("watches hear nothing for %v", length)
	r.store.BlockWatches(true)
	r.scheduleEnd(length, func() {
		r.store.DropHistory()
		r.store.BlockWatches(false)
	})
}

// lapse takes the store away from all, lets the entries of endpoints expire, and has
// them register again soon after its return.
func (r *run) expireRecords(length time.Duration) {
	length = max(length, 2500*time.Millisecond)
	r.stopStore(length)
	list := append([]*testbed.Endpoint{}, r.endpoints["desk"]...)
	r.logEvent("%d entries expire meanwhile", len(list))
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
