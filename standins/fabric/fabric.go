// Package fabric is a test double of the network fabric: it sprays callers'
// packets over the entry instances and forwards return packets to the callers.
package fabric

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"burdockrelay.example/burdockrelay/standins/process"
	"burdockrelay.example/burdockrelay/standins/tunnel"
	"gopkg.in/tomb.v2"
)

// maxCallers is the maximum number of caller addresses for which the fabric
// keeps a return route.
const maxCallers = 65536

// Settings of a fabric.
type Settings struct {
	// Ingress is the UDP address to which callers send packets.
	Ingress netip.AddrPort
	// Return is the UDP address to which endpoints and entry instances send
	// packets for callers.
	Return netip.AddrPort
	// Control is the TCP address of the control interface.
	Control string
	// Entries are the tunnel addresses of the entry instances.
	Entries []netip.AddrPort
	// Seed determines the selection of entry instances and the impairments.
	Seed uint64
}

// Counters of the whole fabric.
type Counters struct {
	FromCallers uint64 `json:"from_callers"`
	ToCallers   uint64 `json:"to_callers"`
	// Malformed counts datagrams that are not Geneve with an inner IPv4 packet.
	Malformed uint64 `json:"malformed"`
	// NoEntry counts packets from callers dropped because there was no entry
	// instance.
	NoEntry uint64 `json:"no_entry"`
	// UnknownCaller counts packets dropped because there is no return route to
	// their destination, which has not sent any packet.
	UnknownCaller uint64 `json:"unknown_caller"`
	// WithOptions counts packets to callers that carry Geneve options, which are
	// allowed between entry instances only.
	WithOptions uint64 `json:"with_options"`
}

// Fabric selects an entry instance for each packet independently, like a fabric
// without flow affinity.
type Fabric struct {
	ingressSocket *net.UDPConn
	returnSocket  *net.UDPConn
	toEntries     *link
	toCallers     *link

	// ControlAddress is the bound address of the control interface.
	ControlAddress net.Addr

	mutex   sync.Mutex
	random  *rand.Rand
	entries []netip.AddrPort
	// perEntry counts the packets sent to each entry instance, removed ones
	// included.
	perEntry map[netip.AddrPort]uint64
	// callers holds the return routes: the tunnel address by inner address.
	callers  map[netip.Addr]netip.AddrPort
	counters Counters
}

// Start opens the sockets and starts a fabric that runs until the tomb is dying.
// It fails if an address cannot be bound.
func Start(t *tomb.Tomb, settings Settings) (*Fabric, error) {
	f := &Fabric{
		random:   newRandom(settings.Seed, 0),
		perEntry: make(map[netip.AddrPort]uint64),
		callers:  make(map[netip.Addr]netip.AddrPort),
	}
	for _, entry := range settings.Entries {
		f.addEntry(entry)
	}
	if err := f.openSockets(t, settings); err != nil {
		return nil, err
	}
	t.Go(func() error { return tunnel.Receive(f.ingressSocket, f.ingressHandler()) })
	t.Go(func() error { return tunnel.Receive(f.returnSocket, f.returnHandler()) })
	return f, nil
}

func (f *Fabric) openSockets(t *tomb.Tomb, settings Settings) error {
	var err, errReturn, errControl error
	f.ingressSocket, err = tunnel.Listen(t, settings.Ingress)
	f.returnSocket, errReturn = tunnel.Listen(t, settings.Return)
	if err := errors.Join(err, errReturn); err != nil {
		return err
	}
	// Each direction has its own random number stream, so that packets in one
	// direction do not affect the impairments in the other.
	f.toEntries = newLink(t, f.ingressSocket, newRandom(settings.Seed, 1))
	f.toCallers = newLink(t, f.ingressSocket, newRandom(settings.Seed, 2))
	f.ControlAddress, errControl = process.Listen(t, settings.Control, f.controlHandler())
	return errControl
}

func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// IngressAddress returns the bound address for packets from callers.
func (f *Fabric) IngressAddress() netip.AddrPort {
	return tunnel.LocalAddress(f.ingressSocket)
}

// ReturnAddress returns the bound address for packets to callers.
func (f *Fabric) ReturnAddress() netip.AddrPort {
	return tunnel.LocalAddress(f.returnSocket)
}

// ingressHandler returns a function that forwards a datagram from a caller to an
// entry instance.
func (f *Fabric) ingressHandler() func([]byte, netip.AddrPort) {
	decoder := new(tunnel.Decoder)
	encoder := tunnel.NewEncoder()
	return func(datagram []byte, from netip.AddrPort) {
		inner, err := decoder.Decode(datagram)
		entry, ok := f.selectEntry(inner, from, err)
		if !ok {
			return
		}
		out, err := encoder.Encode(inner.Packet)
		if err == nil {
			f.toEntries.send(out, entry)
		}
	}
}

// selectEntry records the return route to the caller and selects an entry
// instance at random. It returns false if the packet must be dropped.
func (f *Fabric) selectEntry(inner tunnel.Inner, from netip.AddrPort, decodeErr error) (netip.AddrPort, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counters.FromCallers++
	if decodeErr != nil {
		f.counters.Malformed++
		return netip.AddrPort{}, false
	}
	if _, known := f.callers[inner.Source]; known || len(f.callers) < maxCallers {
		f.callers[inner.Source] = from
	}
	if len(f.entries) == 0 {
		f.counters.NoEntry++
		return netip.AddrPort{}, false
	}
	entry := f.entries[f.random.IntN(len(f.entries))]
	f.perEntry[entry]++
	return entry, true
}

// returnHandler returns a function that forwards a datagram to the caller to
// which its inner packet is addressed.
func (f *Fabric) returnHandler() func([]byte, netip.AddrPort) {
	decoder := new(tunnel.Decoder)
	encoder := tunnel.NewEncoder()
	return func(datagram []byte, _ netip.AddrPort) {
		inner, err := decoder.Decode(datagram)
		caller, ok := f.findCaller(inner, err)
		if !ok {
			return
		}
		out, err := encoder.Encode(inner.Packet)
		if err == nil {
			f.toCallers.send(out, caller)
		}
	}
}

// findCaller returns the return route of a packet, or false if the packet must
// be dropped.
func (f *Fabric) findCaller(inner tunnel.Inner, decodeErr error) (netip.AddrPort, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counters.ToCallers++
	if decodeErr != nil {
		f.counters.Malformed++
		return netip.AddrPort{}, false
	}
	if inner.Options > 0 {
		f.counters.WithOptions++
	}
	caller, ok := f.callers[inner.Destination]
	if !ok {
		f.counters.UnknownCaller++
	}
	return caller, ok
}

func (f *Fabric) addEntry(entry netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !slices.Contains(f.entries, entry) {
		f.entries = append(f.entries, entry)
	}
}

// removeEntry returns false if the entry instance is not in use.
func (f *Fabric) removeEntry(entry netip.AddrPort) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	index := slices.Index(f.entries, entry)
	if index < 0 {
		return false
	}
	f.entries = slices.Delete(f.entries, index, index+1)
	return true
}

type entryView struct {
	Address string `json:"address"`
	// Live is false for a removed entry instance.
	Live    bool   `json:"live"`
	Packets uint64 `json:"packets"`
}

type impairmentsView struct {
	ToEntries Impairments `json:"to_entries"`
	ToCallers Impairments `json:"to_callers"`
}

type countersView struct {
	Counters
	ToEntriesLink LinkCounters `json:"to_entries_link"`
	ToCallersLink LinkCounters `json:"to_callers_link"`
}

func (f *Fabric) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/entries", f.listEntries)
	mux.HandleFunc("PUT /control/entries/{address}", f.putEntry)
	mux.HandleFunc("DELETE /control/entries/{address}", f.deleteEntry)
	mux.HandleFunc("GET /control/impairments", f.getImpairments)
	mux.HandleFunc("PATCH /control/impairments", f.patchImpairments)
	mux.HandleFunc("GET /control/counters", f.getCounters)
	return mux
}

func (f *Fabric) listEntries(w http.ResponseWriter, _ *http.Request) {
	f.mutex.Lock()
	views := make([]entryView, 0, len(f.perEntry))
	for _, entry := range f.entries {
		views = append(views, entryView{entry.String(), true, f.perEntry[entry]})
	}
	for entry, packets := range f.perEntry {
		if !slices.Contains(f.entries, entry) {
			views = append(views, entryView{entry.String(), false, packets})
		}
	}
	f.mutex.Unlock()
	process.WriteJSON(w, http.StatusOK, views)
}

func (f *Fabric) putEntry(w http.ResponseWriter, r *http.Request) {
	entry, err := netip.ParseAddrPort(r.PathValue("address"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.addEntry(entry)
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fabric) deleteEntry(w http.ResponseWriter, r *http.Request) {
	entry, err := netip.ParseAddrPort(r.PathValue("address"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !f.removeEntry(entry) {
		http.Error(w, "entry instance not found", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fabric) impairments() impairmentsView {
	toEntries, _ := f.toEntries.snapshot()
	toCallers, _ := f.toCallers.snapshot()
	return impairmentsView{toEntries, toCallers}
}

func (f *Fabric) getImpairments(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, f.impairments())
}

func (f *Fabric) patchImpairments(w http.ResponseWriter, r *http.Request) {
	view := f.impairments()
	if !process.ReadJSON(w, r, &view) {
		return
	}
	if err := errors.Join(view.ToEntries.check(), view.ToCallers.check()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.toEntries.setImpairments(view.ToEntries)
	f.toCallers.setImpairments(view.ToCallers)
	process.WriteJSON(w, http.StatusOK, view)
}

func (f *Fabric) getCounters(w http.ResponseWriter, _ *http.Request) {
	f.mutex.Lock()
	view := countersView{Counters: f.counters}
	f.mutex.Unlock()
	_, view.ToEntriesLink = f.toEntries.snapshot()
	_, view.ToCallersLink = f.toCallers.snapshot()
	process.WriteJSON(w, http.StatusOK, view)
}
