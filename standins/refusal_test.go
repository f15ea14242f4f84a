package standins_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/standins/caller"
	"burdockrelay.example/burdockrelay/standins/tunnel"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// resetFor returns the reset that refuses a SYN, see docs/design.md section
// 3.3: sequence number 0, acknowledging the SYN.
func resetFor(syn []byte) ([]byte, error) {
	packet := gopacket.NewPacket(syn, layers.LayerTypeIPv4, gopacket.Default)
	ip, _ := packet.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	tcp, _ := packet.Layer(layers.LayerTypeTCP).(*layers.TCP)
	if ip == nil || tcp == nil || !tcp.SYN || tcp.ACK {
		return nil, fmt.Errorf("not a SYN: %v", packet)
	}
	replyIP := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: ip.DstIP, DstIP: ip.SrcIP}
	refusal := &layers.TCP{SrcPort: tcp.DstPort, DstPort: tcp.SrcPort, Ack: tcp.Seq + 1, ACK: true, RST: true}
	if err := refusal.SetNetworkLayerForChecksum(replyIP); err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, replyIP, refusal)
	return buffer.Bytes(), err
}

// resetAll responds to each packet with a reset sent through the fabric, until
// the socket is closed. It returns the last error.
func (n *testNetwork) resetAll(entry *net.UDPConn) error {
	decoder, encoder := new(tunnel.Decoder), tunnel.NewEncoder()
	var lastErr error
	err := tunnel.Receive(entry, func(datagram []byte, _ netip.AddrPort) {
		inner, err := decoder.Decode(datagram)
		if err != nil {
			lastErr = err
			return
		}
		refusal, err := resetFor(inner.Packet)
		if err != nil {
			lastErr = err
			return
		}
		out, err := encoder.Encode(refusal)
		if err != nil {
			lastErr = err
			return
		}
		if _, err := entry.WriteToUDPAddrPort(out, n.fabric.ReturnAddress()); err != nil {
			lastErr = err
		}
	})
	if err != nil {
		return err
	}
	return lastErr
}

// TestCallerCountsRefusals guards against refused flows counted as broken and
// refused reports counted as unknown.
func TestCallerCountsRefusals(t *testing.T) {
	n := startNetwork(t, 7)
	entry, err := tunnel.Listen(n.tomb, netip.MustParseAddrPort(loopbackAnyPort))
	if err != nil {
		t.Fatal(err)
	}
	n.tomb.Go(func() error { return n.resetAll(entry) })
	base := fmt.Sprintf("http://%s/control/entries/", n.fabric.ControlAddress)
	if err := control(http.MethodDelete, base+n.endpoint.TunnelAddress().String(), "", nil); err != nil {
		t.Fatal(err)
	}
	if err := control(http.MethodPut, base+tunnel.LocalAddress(entry).String(), "", nil); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	summary := n.run(t, func(s *caller.Settings) { s.Duration = 500 * time.Millisecond })
	if elapsed := time.Since(begin); elapsed > 2*time.Second {
		t.Errorf("the run took %v, so the callers did not stop at the resets", elapsed)
	}
	if summary.FlowsOpened != 0 || summary.BrokenFlows != 0 || summary.ReportsUnknown != 0 {
		t.Errorf("%d flows opened, %d flows broken, %d reports with unknown outcome, want none", summary.FlowsOpened, summary.BrokenFlows, summary.ReportsUnknown)
	}
	if summary.ReportsRefused == 0 || summary.FlowsNotOpened["refused"] < summary.ReportsRefused {
		t.Errorf("%d reports refused, flows not opened by reason %v, want a refused flow for each report", summary.ReportsRefused, summary.FlowsNotOpened)
	}
	if summary.Verified.RefusedButRun != 0 {
		t.Errorf("refused reports were run: %+v", summary.Verified)
	}
}
