package tunnel

import (
	"context"
	"net"
	"net/netip"

	"golang.zx2c4.com/wireguard/tun"
	"golang.zx2c4.com/wireguard/tun/netstack"
)

// MTU is the maximum size of inner packets in bytes: 1,500 minus the outer IPv4,
// UDP and Geneve headers and the 16 bytes of a relay option.
const MTU = 1448

// Stack is a user-space TCP/IP stack. Deliver and ForwardOutbound serve as its
// link layer. A stack cannot be closed: closing the netstack device while a packet
// is being sent panics.
type Stack struct {
	device  tun.Device
	network *netstack.Net
}

// NewStack returns a stack with the given local addresses.
func NewStack(addresses ...netip.Addr) (*Stack, error) {
	device, network, err := netstack.CreateNetTUN(addresses, nil, MTU)
	if err != nil {
		return nil, err
	}
	return &Stack{device: device, network: network}, nil
}

// Deliver passes a received packet to the stack, which copies it.
func (s *Stack) Deliver(packet []byte) error {
	_, err := s.device.Write([][]byte{packet}, 0)
	return err
}

// ForwardOutbound calls send for each packet that the stack sends. The packet is
// valid only during the call. ForwardOutbound returns only if the device fails.
func (s *Stack) ForwardOutbound(send func(packet []byte)) error {
	buffer := make([]byte, MaxDatagramBytes)
	sizes := make([]int, 1)
	for {
		_, err := s.device.Read([][]byte{buffer}, sizes, 0)
		if err != nil {
			return err
		}
		send(buffer[:sizes[0]])
	}
}

// Dial opens a TCP connection from the first address of the stack.
func (s *Stack) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return s.network.DialContextTCPAddrPort(ctx, address)
}

// Listen listens for TCP connections on an address of the stack.
func (s *Stack) Listen(address netip.AddrPort) (net.Listener, error) {
	return s.network.ListenTCPAddrPort(address)
}
