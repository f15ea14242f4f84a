package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// daemon is one machine with a burdock-relayd process.
type daemon struct {
	name, zone, ip, program, folder, ready string
	packets                                netip.AddrPort
	settings                               string
	process                                *exec.Cmd
	exited                                 chan struct{}
	rec                                    *record

	// misses and inRotation belong to the router.
	misses     int
	inRotation bool
}

// ports of all daemons.
type ports struct{ packets, ready, control, internal int }

func newDaemon(name, zone, ip, storeAddress string, p ports, seeds []string, extra, program, folder string, rec *record) *daemon {
	d := &daemon{
		name: name, zone: zone, ip: ip, program: program, folder: folder, rec: rec,
		ready:   fmt.Sprintf("%s:%d", ip, p.ready),
		packets: netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(p.packets)),
	}
	// The template of the deploy file, filled in for a small deployment.
	text := func(v any) string { s, _ := json.Marshal(v); return string(s) }
	d.settings = fmt.Sprintf(`instance: %s
data_centre: %s
metrics_listen: %s:9464
packet_listen: %s:%d
ready_listen: %s:%d
peer_listen: %s:%d
seeds: %s
store: %s
stop_deadline: 6s
flow_lifetime: 60s
memory_mb: 284
close_silent: true
%s`, text(name), text(zone), ip, ip, p.packets, ip, p.ready, ip, p.internal, text(seeds), storeAddress, extra)
	return d
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	path := filepath.Join(d.folder, d.name+".yaml")
	if err := os.WriteFile(path, []byte(d.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.program)
	command.Env = append(os.Environ(), names.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.process, d.exited = command, make(chan struct{})
	exited := d.exited
	go func() {
		err := command.Wait()
		_ = log.Close()
		d.rec.add("platform: the process of %s has ended (%v)", d.name, err)
		close(exited)
	}()
	d.rec.add("platform: the process of %s is started", d.name)
	return nil
}

func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill()
	<-d.exited
}
