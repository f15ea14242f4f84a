package fabric

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/standins/tunnel"
	"gopkg.in/tomb.v2"
)

const readTimeout = 2 * time.Second

// testFabric is a running fabric with entry and caller sockets.
type testFabric struct {
	*testing.T
	fabric  *Fabric
	caller  *net.UDPConn
	entries []*net.UDPConn
}

// startFabric starts a fabric that stops when the test ends.
func startFabric(t *testing.T, entries int, seed uint64) *testFabric {
	t.Helper()
	running := new(tomb.Tomb)
	f := &testFabric{T: t, caller: listenUDP(t)}
	settings := Settings{
		Ingress: netip.MustParseAddrPort("127.0.0.1:0"),
		Return:  netip.MustParseAddrPort("127.0.0.1:0"),
		Control: "127.0.0.1:0",
		Seed:    seed,
	}
	for range entries {
		entry := listenUDP(t)
		f.entries = append(f.entries, entry)
		settings.Entries = append(settings.Entries, tunnel.LocalAddress(entry))
	}
	result := make(chan error, 1)
	running.Go(func() error {
		var err error
		f.fabric, err = Start(running, settings)
		result <- err
		return nil
	})
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		running.Kill(nil)
		if err := running.Wait(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	opened, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() })
	return opened
}

var (
	callerAddress  = netip.MustParseAddr("10.200.0.1")
	serviceAddress = netip.MustParseAddr("10.90.0.1")
)

// packet returns an IPv4 packet whose payload is the number.
func packet(source, destination netip.Addr, number uint32) []byte {
	data := make([]byte, 24)
	data[0] = 0x45
	copy(data[12:], source.AsSlice())
	copy(data[16:], destination.AsSlice())
	binary.BigEndian.PutUint32(data[20:], number)
	return data
}

func (f *testFabric) send(from *net.UDPConn, to netip.AddrPort, inner []byte) {
	f.Helper()
	datagram, err := tunnel.NewEncoder().Encode(inner)
	if err != nil {
		f.Fatal(err)
	}
	if _, err := from.WriteToUDPAddrPort(datagram, to); err != nil {
		f.Fatal(err)
	}
}

// receive returns the number in the next packet, or false on a timeout.
func (f *testFabric) receive(at *net.UDPConn, timeout time.Duration) (uint32, bool) {
	f.Helper()
	if err := at.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		f.Fatal(err)
	}
	buffer := make([]byte, tunnel.MaxDatagramBytes)
	n, _, err := at.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return 0, false
	}
	inner, err := new(tunnel.Decoder).Decode(buffer[:n])
	if err != nil {
		f.Fatal(err)
	}
	return binary.BigEndian.Uint32(inner.Packet[20:]), true
}

// control sends a request to the control interface and checks the status.
func (f *testFabric) control(method, path, body string, status int) {
	f.Helper()
	request, err := http.NewRequestWithContext(f.Context(), method, fmt.Sprintf("http://%s%s", f.fabric.ControlAddress, path), strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status {
		f.Fatalf("%s %s: status %d, want %d: %s (%v)", method, path, response.StatusCode, status, data, err)
	}
}

// spray sends packets one at a time and returns the index of the entry instance
// that received each.
func (f *testFabric) spray(count int) []int {
	f.Helper()
	received := make(chan int)
	for index, entry := range f.entries {
		go func() {
			buffer := make([]byte, tunnel.MaxDatagramBytes)
			for {
				if _, _, err := entry.ReadFromUDPAddrPort(buffer); err != nil {
					return
				}
				received <- index
			}
		}()
	}
	var order []int
	for number := range count {
		f.send(f.caller, f.fabric.IngressAddress(), packet(callerAddress, serviceAddress, uint32(number)))
		select {
		case index := <-received:
			order = append(order, index)
		case <-time.After(readTimeout):
			f.Fatalf("packet %d of %d was lost", number, count)
		}
	}
	return order
}

// TestSpray guards against flow affinity, entry instances that get no packets
// and a seed without effect.
func TestSpray(t *testing.T) {
	const packets, entries = 300, 3
	first := startFabric(t, entries, 7).spray(packets)
	counts := make([]int, entries)
	for _, index := range first {
		counts[index]++
	}
	for index, count := range counts {
		// The standard deviation is 8.2 packets.
		if count < packets/entries-40 || count > packets/entries+40 {
			t.Errorf("entry instance %d got %d of %d packets, want an even distribution", index, count, packets)
		}
	}
	if again := startFabric(t, entries, 7).spray(packets); fmt.Sprint(again) != fmt.Sprint(first) {
		t.Error("two runs with the same seed distribute the packets differently")
	}
	if other := startFabric(t, entries, 8).spray(packets); fmt.Sprint(other) == fmt.Sprint(first) {
		t.Error("two seeds give the same distribution of packets")
	}
}

// TestEntriesChange guards against packets sent to a removed entry instance, and
// against no packets sent to one that was added again.
func TestEntriesChange(t *testing.T) {
	f := startFabric(t, 2, 1)
	removed := tunnel.LocalAddress(f.entries[0]).String()
	f.control(http.MethodDelete, "/control/entries/"+removed, "", http.StatusNoContent)
	f.control(http.MethodDelete, "/control/entries/"+removed, "", http.StatusNotFound)
	for number := range 20 {
		f.send(f.caller, f.fabric.IngressAddress(), packet(callerAddress, serviceAddress, uint32(number)))
		if _, ok := f.receive(f.entries[1], readTimeout); !ok {
			t.Fatal("the remaining entry instance did not receive a packet")
		}
	}
	f.control(http.MethodPut, "/control/entries/"+removed, "", http.StatusNoContent)
	for number := range 64 {
		f.send(f.caller, f.fabric.IngressAddress(), packet(callerAddress, serviceAddress, uint32(number)))
	}
	if _, ok := f.receive(f.entries[0], readTimeout); !ok {
		t.Error("the entry instance that was added again receives no packets")
	}
}

// TestReturn guards against response packets delivered to the wrong caller.
func TestReturn(t *testing.T) {
	f := startFabric(t, 1, 1)
	endpoint := listenUDP(t)
	other := listenUDP(t)
	otherAddress := netip.MustParseAddr("10.200.0.2")
	f.send(f.caller, f.fabric.IngressAddress(), packet(callerAddress, serviceAddress, 1))
	f.send(other, f.fabric.IngressAddress(), packet(otherAddress, serviceAddress, 2))
	for range 2 {
		if _, ok := f.receive(f.entries[0], readTimeout); !ok {
			t.Fatal("a packet was lost")
		}
	}
	f.send(endpoint, f.fabric.ReturnAddress(), packet(serviceAddress, otherAddress, 4))
	f.send(endpoint, f.fabric.ReturnAddress(), packet(serviceAddress, callerAddress, 3))
	f.send(endpoint, f.fabric.ReturnAddress(), packet(serviceAddress, netip.MustParseAddr("10.200.0.9"), 5))
	if number, _ := f.receive(f.caller, readTimeout); number != 3 {
		t.Errorf("the caller got packet %d, want 3", number)
	}
	if number, _ := f.receive(other, readTimeout); number != 4 {
		t.Errorf("the other caller got packet %d, want 4", number)
	}
	if number, ok := f.receive(f.caller, 50*time.Millisecond); ok {
		t.Errorf("the caller also got packet %d", number)
	}
}

// TestDelayKeepsOrder guards against a delay that reorders packets; reordering
// is a separate impairment.
func TestDelayKeepsOrder(t *testing.T) {
	f := startFabric(t, 1, 1)
	f.control(http.MethodPatch, "/control/impairments", `{"to_entries": {"delay_ms": 50}}`, http.StatusOK)
	f.control(http.MethodPatch, "/control/impairments", `{"to_entries": {"loss_percent": 101}}`, http.StatusBadRequest)
	begin := time.Now()
	const packets = 100
	for number := range packets {
		f.send(f.caller, f.fabric.IngressAddress(), packet(callerAddress, serviceAddress, uint32(number)))
	}
	for number := range packets {
		got, ok := f.receive(f.entries[0], readTimeout)
		if !ok || got != uint32(number) {
			t.Fatalf("received packet %d (received before the timeout: %v), want %d", got, ok, number)
		}
		if elapsed := time.Since(begin); elapsed < 50*time.Millisecond {
			t.Fatalf("packet %d arrived after %v, before its delay of 50 ms had passed", number, elapsed)
		}
	}
}

// TestDatagramIsCopied guards against a delayed datagram that shares the receive
// buffer and is overwritten by the next datagram.
func TestDatagramIsCopied(t *testing.T) {
	l := &link{wake: make(chan struct{}, 1)}
	datagram := []byte{1, 2, 3}
	l.enqueue(datagram, netip.AddrPort{}, time.Hour)
	datagram[0] = 9

	if !bytes.Equal(l.queue[0].datagram, []byte{1, 2, 3}) {
		t.Errorf("queued datagram % x, want 01 02 03", l.queue[0].datagram)
	}
}
