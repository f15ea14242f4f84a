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

// resetFor returns the answer of docs/design.md section 3.3 to a SYN: sequence
// number 0, acknowledging the SYN.
func resetFor(syn []byte) ([]byte, error) {
	packet := gopacket.NewPacket(syn, layers.LayerTypeIPv4, gopacket.Default)
	ip, _ := packet.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	tcp, _ := packet.Layer(layers.LayerTypeTCP).(*layers.TCP)
	if ip == nil || tcp == nil || !tcp.SYN || tcp.ACK {
		return nil, fmt.Errorf("not a SYN: %v", packet)
	}
	back := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: ip.DstIP, DstIP: ip.SrcIP}
	refusal := &layers.TCP{SrcPort: tcp.DstPort, DstPort: tcp.SrcPort, Ack: tcp.Seq + 1, ACK: true, RST: true}
	if err := refusal.SetNetworkLayerForChecksum(back); err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, back, refusal)
	return buffer.Bytes(), err
}

// resetAll answers each packet with a reset through the fabric.
func (p *testNetwork) resetAll(entry *net.UDPConn) error {
	decoder, encoder := new(tunnel.Decoder), tunnel.NewEncoder()
	var failed error
	err := tunnel.Receive(entry, func(datagram []byte, _ netip.AddrPort) {
		inner, err := decoder.Decode(datagram)
		if err != nil {
			failed = err
			return
		}
		refusal, err := resetFor(inner.Packet)
		if err != nil {
			failed = err
			return
		}
		out, err := encoder.Encode(refusal)
		if err != nil {
			failed = err
			return
		}
		if _, err := entry.WriteToUDPAddrPort(out, p.fabric.ReturnAddress()); err != nil {
			failed = err
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// TestCallerSeesRefusals guards against refused flows that are counted as
// broken, and refused reports that are counted as unknown.
func TestCallerSeesRefusals(t *testing.T) {
	p := startNetwork(t, 7)
	entry, err := tunnel.Listen(p.tomb, netip.MustParseAddrPort(loopbackAnyPort))
	if err != nil {
		t.Fatal(err)
	}
	p.tomb.Go(func() error { return p.resetAll(entry) })
	base := fmt.Sprintf("http://%s/control/entries/", p.fabric.ControlAddress)
	if err := control(http.MethodDelete, base+p.endpoint.TunnelAddress().String(), "", nil); err != nil {
		t.Fatal(err)
	}
	if err := control(http.MethodPut, base+tunnel.LocalAddress(entry).String(), "", nil); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	summary := p.run(t, func(s *caller.Settings) { s.Duration = 500 * time.Millisecond })
	if elapsed := time.Since(begin); elapsed > 2*time.Second {
		t.Errorf("the callers waited %v, as if they ignored the resets", elapsed)
	}
	if summary.FlowsOpened != 0 || summary.BrokenFlows != 0 || summary.ReportsUnknown != 0 {
		t.Errorf("%d flows opened, %d broken, %d reports unknown", summary.FlowsOpened, summary.BrokenFlows, summary.ReportsUnknown)
	}
	if summary.ReportsRefused == 0 || summary.FlowsNotOpened["refused"] < summary.ReportsRefused {
		t.Errorf("%d reports refused, flows not opened %v", summary.ReportsRefused, summary.FlowsNotOpened)
	}
	if summary.Verified.RefusedButRun != 0 {
		t.Errorf("%+v", summary.Verified)
	}
}
