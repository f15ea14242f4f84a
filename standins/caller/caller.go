// Package caller is a test double of the callers of the services. It simulates
// many hosts, each with a user-space network stack and unmodified net/http
// clients, and checks every response.
package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/standins/process"
	"burdockrelay.example/burdockrelay/standins/tunnel"
	"gopkg.in/tomb.v2"
)

// Settings of a run.
type Settings struct {
	// Listen is the UDP address shared by all callers, Fabric the ingress
	// address of the fabric.
	Listen netip.AddrPort
	Fabric netip.AddrPort
	// Control is the TCP address of the control interface, which is off if it is
	// empty.
	Control string
	// Prefix contains the callers' inner addresses, which are assigned in order
	// from its second address on.
	Prefix  netip.Prefix
	Callers int
	// Seed determines the sizes and times of requests and is part of their
	// identifiers.
	Seed uint64

	// Drawings, Boards and Reports are the service addresses for the three kinds of
	// requests: downloads of drawings, fetches of the order board and reports, which
	// must not run twice. With a zero address, no requests of that kind are sent.
	Drawings netip.AddrPort
	Boards   netip.AddrPort
	Reports  netip.AddrPort

	// DownloadSize is the mean size of a drawing in bytes, DownloadRate the rate
	// of a download in bytes per second; 0 means no limit.
	DownloadSize int64
	DownloadRate int64
	// RequestsPerFlow is the maximum number of requests on one flow; 0 means no
	// limit. A download always has a flow of its own.
	RequestsPerFlow int
	// Pause is the mean time between the requests of one worker.
	Pause time.Duration
	// Duration is the time during which new requests are sent; GracePeriod is the
	// additional time in which requests in flight may finish.
	Duration    time.Duration
	GracePeriod time.Duration
	// StallTimeout is the time without progress after which a flow counts as
	// broken.
	StallTimeout time.Duration

	// Endpoints are the health addresses of the endpoints whose lists of reports
	// are compared with the callers' outcomes at the end.
	Endpoints []netip.AddrPort
}

func (s *Settings) check() error {
	if s.Callers < 1 || s.Callers > maxCallers {
		return fmt.Errorf("number of callers must be between 1 and %d", maxCallers)
	}
	if !s.Prefix.Addr().Is4() || s.Prefix.Bits() > 32-10 {
		return errors.New("prefix of the callers must be IPv4 and at most 22 bits long")
	}
	if s.Duration <= 0 || s.StallTimeout <= 0 || s.Pause <= 0 || s.DownloadSize <= 0 {
		return errors.New("duration, stall timeout, pause and download size must be positive")
	}
	return nil
}

// maxCallers limits the memory in use: each caller has its own network stack.
const maxCallers = 1000

// Runner runs a set of callers.
type Runner struct {
	settings Settings
	socket   *net.UDPConn
	stacks   map[netip.Addr]*tunnel.Stack
	recorder *recorder
	packets  packetCounters
}

type packetCounters struct {
	received, sent, sendErrors, malformed, unknown atomic.Uint64
}

// New opens the tunnel socket and the control interface, which are closed when the
// tomb is dying, and creates the callers' network stacks. It fails if a setting is
// not valid or an address cannot be bound.
func New(t *tomb.Tomb, settings Settings) (*Runner, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	r := &Runner{settings: settings, recorder: newRecorder(settings.Seed)}
	var err error
	if r.socket, err = tunnel.Listen(t, settings.Listen); err != nil {
		return nil, err
	}
	if err := r.createStacks(); err != nil {
		return nil, err
	}
	t.Go(func() error { return tunnel.Receive(r.socket, r.deliverFunc()) })
	for _, stack := range r.stacks {
		// The goroutine runs until the process ends, see tunnel.Stack.
		go func() { _ = stack.ForwardOutbound(r.sendFunc()) }()
	}
	return r, r.openControl(t)
}

func (r *Runner) openControl(t *tomb.Tomb) error {
	if r.settings.Control == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/summary", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, r.recorder.snapshot())
	})
	_, err := process.Listen(t, r.settings.Control, mux)
	return err
}

func (r *Runner) createStacks() error {
	r.stacks = make(map[netip.Addr]*tunnel.Stack, r.settings.Callers)
	address := r.settings.Prefix.Masked().Addr()
	for range r.settings.Callers {
		address = address.Next()
		stack, err := tunnel.NewStack(address)
		if err != nil {
			return err
		}
		r.stacks[address] = stack
	}
	return nil
}

// deliverFunc returns a function that delivers the packet in a datagram to the
// stack of its inner destination.
func (r *Runner) deliverFunc() func([]byte, netip.AddrPort) {
	decoder := new(tunnel.Decoder)
	return func(datagram []byte, _ netip.AddrPort) {
		r.packets.received.Add(1)
		inner, err := decoder.Decode(datagram)
		if err != nil {
			r.packets.malformed.Add(1)
			return
		}
		stack, ok := r.stacks[inner.Destination]
		if !ok {
			r.packets.unknown.Add(1)
			return
		}
		if err := stack.Deliver(inner.Packet); err != nil {
			r.packets.malformed.Add(1)
		}
	}
}

// sendFunc returns a function that sends a stack's packets to the fabric.
func (r *Runner) sendFunc() func([]byte) {
	encoder := tunnel.NewEncoder()
	return func(packet []byte) {
		datagram, err := encoder.Encode(packet)
		if err == nil {
			_, err = r.socket.WriteToUDPAddrPort(datagram, r.settings.Fabric)
		}
		if err != nil {
			r.packets.sendErrors.Add(1)
			return
		}
		r.packets.sent.Add(1)
	}
}

// Run runs all callers until their requests have finished, at most for the
// duration plus the grace period, and returns the summary. The end of the context
// ends the run early.
func (r *Runner) Run(ctx context.Context) Summary {
	runCtx, cancelRun := context.WithTimeout(ctx, r.settings.Duration+r.settings.GracePeriod)
	defer cancelRun()
	newWorkCtx, cancelNewWork := context.WithTimeout(runCtx, r.settings.Duration)
	defer cancelNewWork()
	var workers sync.WaitGroup
	address := r.settings.Prefix.Masked().Addr()
	for index := range r.settings.Callers {
		address = address.Next()
		r.startWorkers(&workers, newWorkCtx, runCtx, index, r.stacks[address])
	}
	workers.Wait()
	summary := r.recorder.snapshot()
	if len(r.settings.Endpoints) > 0 {
		summary.Verified = r.verify(ctx)
	}
	return summary
}

// startWorkers starts one worker of each kind for a caller.
func (r *Runner) startWorkers(workers *sync.WaitGroup, newWorkCtx, runCtx context.Context, index int, stack *tunnel.Stack) {
	start := func(kind string, address netip.AddrPort, request func(*worker) func(context.Context, string)) {
		if !address.IsValid() {
			return
		}
		w := r.newWorker(kind, index, stack, address)
		workers.Go(func() { w.repeat(newWorkCtx, runCtx, request(w)) })
	}
	start("drawing", r.settings.Drawings, func(w *worker) func(context.Context, string) { return w.download })
	start("board", r.settings.Boards, func(w *worker) func(context.Context, string) { return w.fetchBoard })
	start("report", r.settings.Reports, func(w *worker) func(context.Context, string) { return w.sendReport })
}

func (r *Runner) newWorker(kind string, index int, stack *tunnel.Stack, address netip.AddrPort) *worker {
	name := fmt.Sprintf("%s-s%d-c%d", kind, r.settings.Seed, index)
	// Each worker has its own random number stream.
	stream := uint64(index)<<8 | uint64(kind[0])
	return &worker{
		client:   newClient(stack, r.recorder, address.String(), address, r.settings.StallTimeout),
		settings: &r.settings,
		name:     name,
		random:   rand.New(rand.NewPCG(r.settings.Seed, stream)),
	}
}
