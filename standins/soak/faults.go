package soak

import (
	"syscall"
	"time"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

// disturb begins one fault or change. Several overlap.
func (r *run) disturb() {
	r.faults++
	length := time.Duration(300+r.random.Intn(5000)) * time.Millisecond
	kinds := []func(time.Duration){
		r.kill, r.stop, r.pause, r.hangUp,
		r.storePath, r.storeDoor, r.storeAway, r.peerPath, r.packets,
		r.silence, r.crash, r.replace, r.configure, r.muteWatches, r.lapse,
	}
	kinds[r.random.Intn(len(kinds))](length)
}

func (r *run) anyInstance() *instance { return r.instances[r.random.Intn(len(r.instances))] }

// trouble notes that an instance is not held to the bounds for a time.
func (r *run) trouble(i *instance, length time.Duration, restarted bool) {
	r.ledger.SuspendBounds(i.name, time.Now().Add(length), restarted)
}

// kill kills a process and starts it again.
func (r *run) kill(time.Duration) {
	i := r.anyInstance()
	r.tell("kill %s", i.name)
	r.restart(i, syscall.SIGKILL)
}

// stop stops a process as the platform does, and starts it again.
func (r *run) stop(time.Duration) {
	i := r.anyInstance()
	r.tell("stop %s", i.name)
	r.restart(i, syscall.SIGTERM)
}

// restart ends a process beside the run and starts it again.
func (r *run) restart(i *instance, s syscall.Signal) {
	i.mu.Lock()
	busy := i.expected
	i.expected = true
	i.mu.Unlock()
	if busy {
		return
	}
	pause := time.Duration(r.random.Intn(1500)) * time.Millisecond
	r.trouble(i, stopLimit+pause, true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.end(s)
		time.Sleep(pause)
		if err := i.start(); err != nil {
			r.ledger.RecordError("%s does not start: %v", i.name, err)
		}
		r.ledger.SuspendBounds(i.name, time.Now(), true)
	}()
	r.later(0, func() {
		// The end of the run waits for the restart.
		if time.Since(r.began) >= r.settings.Length {
			<-done
		}
	})
}

// pause stops a process for a time.
func (r *run) pause(length time.Duration) {
	i := r.anyInstance()
	r.tell("pause %s for %v", i.name, length)
	r.trouble(i, length, false)
	i.pause()
	r.later(length, i.resume)
}

// hangUp tells a process that its settings file may have changed.
func (r *run) hangUp(time.Duration) {
	i := r.anyInstance()
	r.tell("signal %s", i.name)
	levels := []string{"info", "warn", "debug"}
	if err := i.writeSettings(levels[r.random.Intn(len(levels))]); err != nil {
		r.ledger.RecordError("settings of %s: %v", i.name, err)
	}
	i.signal(syscall.SIGHUP)
}

// storePath harms the path of one instance to the store.
func (r *run) storePath(length time.Duration) {
	i := r.anyInstance()
	fault := pathFault(1 + r.random.Intn(int(pathFaults)-1))
	r.tell("path of %s to the store: fault %d for %v", i.name, fault, length)
	r.trouble(i, length, false)
	i.store.set(fault)
	r.later(length, func() { i.store.set(pathOpen) })
}

// storeDoor makes the store turn one instance away, lose its writes or answer slowly.
func (r *run) storeDoor(length time.Duration) {
	i := r.anyInstance()
	faults := []testbed.Faults{
		{Mode: testbed.Unavailable},
		{Mode: testbed.TooManyRequests},
		{Mode: testbed.ConnectionReset},
		{Mode: testbed.NoResponse, Forever: true},
		{Delay: 250 * time.Millisecond},
		{LoseWrites: true, LateBy: time.Second},
	}
	fault := faults[r.random.Intn(len(faults))]
	r.tell("store for %s: %+v for %v", i.name, fault, length)
	r.trouble(i, length, false)
	i.door.SetFaults(fault)
	r.later(length, func() { i.door.SetFaults(testbed.Faults{}) })
}

// storeAway makes the store answer nobody.
func (r *run) storeAway(length time.Duration) {
	mode := []testbed.Mode{testbed.Unavailable, testbed.ConnectionReset, testbed.NoResponse}[r.random.Intn(3)]
	r.tell("store away (%s) for %v", mode, length)
	for _, i := range r.instances {
		r.trouble(i, length, false)
		i.door.SetFaults(testbed.Faults{Mode: mode})
		r.later(length, func() { i.door.SetFaults(testbed.Faults{}) })
	}
}

// peerPath harms the path of the others to one instance. All of them still reach the
// store.
func (r *run) peerPath(length time.Duration) {
	i := r.anyInstance()
	fault := pathFault(1 + r.random.Intn(int(pathFaults)-1))
	r.tell("path to %s from its peers: fault %d for %v", i.name, fault, length)
	i.peers.set(fault)
	r.later(length, func() { i.peers.set(pathOpen) })
}

// packets loses and delays packets of callers.
func (r *run) packets(length time.Duration) {
	loss, delay := r.random.Intn(5), time.Duration(r.random.Intn(20))*time.Millisecond
	r.tell("packets: %d%% lost, %v late, for %v", loss, delay, length)
	r.router.Impair(loss, delay)
	r.later(length, func() { r.router.Impair(0, 0) })
}

// anyEndpoint returns an endpoint of the desk that may be harmed: two stay.
func (r *run) anyEndpoint() (index int, e *testbed.Endpoint) {
	list := r.endpoints["desk"]
	if len(list) < 3 {
		return 0, nil
	}
	index = r.random.Intn(len(list) - 2)
	return index, list[index]
}

// silence makes an endpoint neither receive nor send for a time.
func (r *run) silence(length time.Duration) {
	_, e := r.anyEndpoint()
	if e == nil {
		return
	}
	r.tell("endpoint %s silent for %v", e.Name(), length)
	e.SetUnresponsive(true)
	r.later(length, func() { e.SetUnresponsive(false) })
}

// crash ends an endpoint. Its entry expires later, and another one starts.
func (r *run) crash(length time.Duration) {
	index, e := r.anyEndpoint()
	if e == nil {
		return
	}
	r.tell("endpoint %s crashes", e.Name())
	r.ledger.EndpointStopped(e.Name())
	e.Close()
	r.endpoints["desk"] = append(r.endpoints["desk"][:index], r.endpoints["desk"][index+1:]...)
	r.later(length, func() {
		r.store.Remove("servers", e.Name())
		if err := r.addEndpoint("desk"); err != nil {
			r.ledger.RecordError("endpoint: %v", err)
		}
	})
}

// replace starts an endpoint and drains another one, which leaves afterwards.
func (r *run) replace(time.Duration) {
	index, e := r.anyEndpoint()
	if e == nil {
		return
	}
	if err := r.addEndpoint("desk"); err != nil {
		r.ledger.RecordError("endpoint: %v", err)
		return
	}
	r.tell("endpoint %s drains", e.Name())
	r.endpoints["desk"] = append(r.endpoints["desk"][:index], r.endpoints["desk"][index+1:]...)
	e.Drain()
	r.ledger.EndpointDraining(e.Name())
	r.later(drainTime, func() {
		r.ledger.EndpointStopped(e.Name())
		e.Close()
		r.store.Remove("servers", e.Name())
	})
}

// drainTime is how long an endpoint serves after it said that it leaves: longer than
// callers keep a flow.
const drainTime = 12 * time.Second

// configure adds or takes away a destination, or only publishes again.
func (r *run) configure(time.Duration) {
	if r.random.Intn(3) > 0 {
		r.extra++
	}
	r.tell("configuration %d", r.extra)
	r.publish()
}

// muteWatches lets watches hear nothing for a time, and drops the history then.
func (r *run) muteWatches(length time.Duration) {
	r.tell("watches hear nothing for %v", length)
	r.store.BlockWatches(true)
	r.later(length, func() {
		r.store.DropHistory()
		r.store.BlockWatches(false)
	})
}

// lapse takes the store away from all, lets the entries of endpoints expire, and has
// them register again soon after its return.
func (r *run) lapse(length time.Duration) {
	length = max(length, 2500*time.Millisecond)
	r.storeAway(length)
	list := append([]*testbed.Endpoint{}, r.endpoints["desk"]...)
	r.tell("%d entries expire meanwhile", len(list))
	r.later(length, func() {
		for _, e := range list {
			r.store.Remove("servers", e.Name())
		}
	})
	r.later(length+time.Second, func() {
		for _, e := range list {
			e.Register()
		}
	})
}
