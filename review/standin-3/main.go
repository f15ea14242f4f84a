// Command review3 plays a small deployment around real burdock-relayd processes and checks
// one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"
)

// world is a deployment on loopback addresses.
type world struct {
	store   *store
	daemons []*daemon
	router  *router
	rec     *record
	ports   ports
	trouble bool
}

var cases = map[string]func(*world) error{}

// settingsOf holds what the template adds to the settings on the site of each case.
var settingsOf = map[string]string{}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/burdock-relayd", "the program of the deploy file")
	file := flag.String("record", "record.txt", "the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	code, err := run(*name, play, *program, *file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(name string, play func(*world) error, program, file string) (int, error) {
	rec, err := newRecord(file)
	if err != nil {
		return 2, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(folder)
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("trouble: %t", w.trouble)
	defer func() {
		for _, d := range w.daemons {
			d.kill()
		}
	}()
	if w.store, err = startStore("127.0.90.1"); err != nil {
		return 2, err
	}
	if err := w.choosePorts(); err != nil {
		return 2, err
	}
	var seeds []string
	for i := range 2 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", machineIP(i), w.ports.control))
	}
	for i := range 2 {
		d := newDaemon(fmt.Sprintf("frontend-a-%d", i+1), "a", machineIP(i), w.store.address(), w.ports, seeds, settingsOf[name], program, folder, rec)
		w.daemons = append(w.daemons, d)
	}
	err = play(w)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(folder))
	}
	if err != nil {
		rec.add("the case could not run: %v", err)
		return 2, err
	}
	return rec.close(), nil
}

func machineIP(i int) string { return fmt.Sprintf("127.0.91.%d", i+1) }

// choosePorts finds ports that are free on the addresses of all machines.
func (w *world) choosePorts() error {
	for base := 18100; base < 30000; base += 50 {
		if free(base) {
			w.ports = ports{packets: base, ready: base + 1, control: base + 2, internal: base + 3}
			return nil
		}
	}
	return errors.New("no free ports")
}

func free(base int) bool {
	for i := range 2 {
		for port := base; port < base+4; port++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", machineIP(i), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	socket, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.92.1:%d", base))
	if err != nil {
		return false
	}
	return socket.Close() == nil
}

// start starts the daemons and waits until they are in rotation.
func (w *world) start() error {
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	w.router = startRouter(w.daemons)
	for range 100 {
		if w.router.inRotation() == len(w.daemons) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the daemons are not ready within 10 s")
}

func (w *world) host(n int) (*host, error) {
	return startHost(netip.MustParseAddr(fmt.Sprintf("127.0.92.%d", n)), uint16(w.ports.packets), w.router, w.rec)
}

// endpoint starts an endpoint of a service.
func (w *world) endpoint(n int, service string, cold time.Duration) (*endpoint, error) {
	return w.startEndpoint(n, service, cold, nil)
}

// endpointCutOff starts an endpoint that doesn't reach the store.
func (w *world) endpointCutOff(n int, service string) (*endpoint, error) {
	return w.startEndpoint(n, service, 0, func(e *endpoint) { e.cutOff = true })
}

func (w *world) startEndpoint(n int, service string, cold time.Duration, start func(*endpoint)) (*endpoint, error) {
	address := netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("127.0.93.%d", n)), uint16(w.ports.packets)+10)
	name := fmt.Sprintf("srv-7e%02d4c1a9b%02d", n, n)
	return startEndpoint(name, service, "a", address, uint16(w.ports.packets), cold, w.store, w.rec, start)
}
