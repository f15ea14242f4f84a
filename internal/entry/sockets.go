package entry

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBufferBytes is the requested size of the socket buffers. It holds about
// 10 ms of packets of 1,500 bytes at 200,000 per second, for bursts while a
// worker is not scheduled. The kernel may grant less.
const socketBufferBytes = 4 << 20

// reusePort sets SO_REUSEPORT, which lets several sockets receive on one address.
// The kernel distributes packets over them by outer source address and port. A
// flow stays on one worker if the sender derives the source port from the flow
// (RFC 8926, section 3.3).
func reusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// listenAll opens count UDP sockets on one address. With port 0, all use the free
// port that the first one gets.
func listenAll(address netip.AddrPort, count int) ([]net.PacketConn, error) {
	config := net.ListenConfig{Control: reusePort}
	var sockets []net.PacketConn
	for range count {
		socket, err := listen(&config, address)
		if err != nil {
			closeAll(sockets)
			return nil, err
		}
		sockets = append(sockets, socket)
		address = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	return sockets, nil
}

// openSenders opens count UDP sockets to send from. Each has its own port, so
// that the kernel of a peer distributes relayed packets over its workers.
func openSenders(address netip.Addr, count int) ([]net.PacketConn, error) {
	var sockets []net.PacketConn
	for range count {
		socket, err := listen(&net.ListenConfig{}, netip.AddrPortFrom(address, 0))
		if err != nil {
			closeAll(sockets)
			return nil, err
		}
		sockets = append(sockets, socket)
	}
	return sockets, nil
}

func listen(config *net.ListenConfig, address netip.AddrPort) (net.PacketConn, error) {
	socket, err := config.ListenPacket(context.Background(), "udp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("open UDP socket on %s: %w", address, err)
	}
	udp := socket.(*net.UDPConn)
	if err := udp.SetReadBuffer(socketBufferBytes); err != nil {
		closeAll([]net.PacketConn{socket})
		return nil, fmt.Errorf("set receive buffer: %w", err)
	}
	if err := udp.SetWriteBuffer(socketBufferBytes); err != nil {
		closeAll([]net.PacketConn{socket})
		return nil, fmt.Errorf("set send buffer: %w", err)
	}
	return socket, nil
}

// closeAll closes UDP sockets. Errors are ignored, because closing a UDP socket
// cannot lose data.
func closeAll(sockets []net.PacketConn) {
	for _, socket := range sockets {
		_ = socket.Close()
	}
}

// receiveConn is a UDP socket for batch reads without source addresses. The
// packet path does not use them, and x/net allocates two objects for each. x/net
// treats a connection with a SetLinger method as a stream socket and omits the
// addresses; receiving is otherwise the same. If x/net changes this,
// TestReceiveDoesNotAllocate fails, but packets still arrive.
type receiveConn struct {
	net.PacketConn
}

// SyscallConn returns the raw connection that x/net reads from.
func (c receiveConn) SyscallConn() (syscall.RawConn, error) {
	return c.PacketConn.(*net.UDPConn).SyscallConn()
}

// SetLinger is never called. Its presence makes x/net omit source addresses.
func (receiveConn) SetLinger(int) error {
	return nil
}

// Read implements net.Conn, which x/net requires. Batch reads do not use it.
func (c receiveConn) Read(b []byte) (int, error) {
	return c.PacketConn.(*net.UDPConn).Read(b)
}

// Write implements net.Conn, which x/net requires. Batch reads do not use it.
func (c receiveConn) Write(b []byte) (int, error) {
	return c.PacketConn.(*net.UDPConn).Write(b)
}

// RemoteAddr returns nil, because the socket is not connected.
func (receiveConn) RemoteAddr() net.Addr {
	return nil
}
