package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed relayd.yaml
var settingsText string

var settingsTemplate = template.Must(template.New("relayd.yaml").Parse(settingsText))

// daemon is one process of the system.
type daemon struct {
	rec            *recorder
	name, zone     string
	ip             netip.Addr
	packets, ready netip.AddrPort
	program        string
	settings       string
	log            string
	// output is where the process writes its log, a file if nil.
	output *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// ports are the port numbers of a day, the same on all machines.
type ports struct{ packets, ready, peers, metrics uint16 }

func newDaemon(rec *recorder, folder, program, name, zone string, ip netip.Addr, p ports, seeds, store string) (*daemon, error) {
	d := &daemon{
		rec: rec, name: name, zone: zone, ip: ip, program: program,
		packets: netip.AddrPortFrom(ip, p.packets), ready: netip.AddrPortFrom(ip, p.ready),
		settings: filepath.Join(folder, name+".yaml"), log: filepath.Join(folder, name+".log"),
	}
	var text bytes.Buffer
	err := settingsTemplate.Execute(&text, map[string]any{
		"Name": name, "Zone": zone, "IP": ip, "Metrics": p.metrics, "Packets": p.packets, "Ready": p.ready, "Peers": p.peers,
		"Seeds": seeds, "Store": store,
	})
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.settings, text.Bytes(), 0o644)
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(d.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire["settings"] + "=" + d.settings}
	output := d.output
	if output == nil {
		file, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		output = file
	}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	ended := make(chan struct{})
	d.process, d.ended = cmd, ended
	d.rec.logf("%s: started as process %d", d.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		d.rec.logf("%s: process %d has ended: %v", d.name, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		d.rec.logf("%s: signal %v", d.name, s)
		_ = d.process.Process.Signal(s)
	}
}

// over reports whether the process has ended.
func (d *daemon) over() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// term stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
func (d *daemon) term(grace time.Duration) {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(grace):
		d.signal(syscall.SIGKILL)
		<-d.ended
	}
}

func (d *daemon) kill() {
	if d.process == nil || d.over() {
		return
	}
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.ended
}
