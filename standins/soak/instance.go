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

// instance is one burdock-relayd process with its paths.
type instance struct {
	name    string
	ip      string
	program string
	folder  string
	port    uint16
	door    *testbed.StoreServer
	store   *proxy
	peers   *proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	paused  bool
	// expected is set while the process is being ended from outside.
	expected bool
	starts   int
}

// writeSettings writes the settings file.
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
stop_deadline: 4s
memory_mb: 200
`, i.name, level, i.ip, i.port, i.ip, i.port+1, i.ip, i.port+2, i.peers.address(), i.store.address(), bound, bound)
	return os.WriteFile(i.settings(), []byte(text), 0o600)
}

func (i *instance) settings() string { return filepath.Join(i.folder, i.name+".yaml") }

// start starts the process.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(i.program, "-settings", i.settings())
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.process, i.ended, i.expected, i.paused = process, ended, false, false
	i.starts++
	i.mu.Unlock()
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
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

// end ends the process and waits until it is gone.
func (i *instance) end(s syscall.Signal) {
	i.mu.Lock()
	ended, paused := i.ended, i.paused
	i.expected = true
	i.mu.Unlock()
	i.signal(s)
	if paused {
		i.signal(syscall.SIGCONT)
	}
	select {
	case <-ended:
	case <-time.After(stopLimit):
		i.signal(syscall.SIGKILL)
		<-ended
	}
}

// pause stops the process until resume.
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

// endedByItself reports whether the process ended without being told to.
func (i *instance) endedByItself() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.ended:
		return !i.expected
	default:
		return false
	}
}

// close ends the process and the paths.
func (i *instance) close() {
	i.mu.Lock()
	started := i.process != nil
	i.mu.Unlock()
	if started {
		i.end(syscall.SIGKILL)
	}
	i.store.close()
	i.peers.close()
	_ = i.door.Close()
}
