package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

// instance is one burdock-relayd process with its proxies.
type instance struct {
	name    string
	ip      string
	program string
	folder  string
	// port receives packets; the next two are for readiness probes and for peers.
	port        uint16
	storeServer *testbed.StoreServer
	// storeProxy is the proxy to the store, peerProxy the one through which the other
	// instances connect to this one.
	storeProxy *proxy
	peerProxy  *proxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	paused  bool
	// stopRequested is set from a requested stop until the next start.
	stopRequested bool
	starts        int
}

// writeSettings writes the settings file with a log level.
func (i *instance) writeSettings(level string) error {
	text := fmt.Sprintf(`instance: %s
data_centre: fukuoka
log_level: %s
packet_listen: %s:%d
ready_listen: %s:%d
peer_listen: %s:%d
peer_address: %s
store: %s
apply_deadline: %v
drain_apply_deadline: %v
evacuation_deadline: %v
stop_deadline: 4s
memory_mb: 200
`, i.name, level, i.ip, i.port, i.ip, i.port+1, i.ip, i.port+2, i.peerProxy.address(), i.storeProxy.address(), applyDeadline, applyDeadline, applyDeadline)
	return os.WriteFile(i.settingsPath(), []byte(text), 0o600)
}

func (i *instance) settingsPath() string { return filepath.Join(i.folder, i.name+".yaml") }

// start starts the process.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(i.program, "-settings", i.settingsPath())
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.process, i.exited, i.stopRequested, i.paused = process, exited, false, false
	i.starts++
	i.mu.Unlock()
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the instance.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(s)
	}
}

// terminate sends a signal to the process and waits until it has exited. It sends
// SIGKILL after stopTimeout.
func (i *instance) terminate(s syscall.Signal) {
	i.mu.Lock()
	exited, paused := i.exited, i.paused
	i.stopRequested = true
	i.mu.Unlock()
	i.signal(s)
	if paused {
		i.signal(syscall.SIGCONT)
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		i.signal(syscall.SIGKILL)
		<-exited
	}
}

// pause suspends the process until resume.
func (i *instance) pause() {
	i.mu.Lock()
	i.paused = true
	i.mu.Unlock()
	i.signal(syscall.SIGSTOP)
}

func (i *instance) resume() {
	i.signal(syscall.SIGCONT)
	i.mu.Lock()
	i.paused = false
	i.mu.Unlock()
}

// exitedUnexpectedly reports whether the process exited without a requested stop.
func (i *instance) exitedUnexpectedly() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
		return !i.stopRequested
	default:
		return false
	}
}

// close kills the process and closes its proxies and its store server.
func (i *instance) close() {
	i.mu.Lock()
	started := i.process != nil
	i.mu.Unlock()
	if started {
		i.terminate(syscall.SIGKILL)
	}
	i.storeProxy.close()
	i.peerProxy.close()
	_ = i.storeServer.Close()
}
