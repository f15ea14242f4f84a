package entry

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBufferBytes holds bursts while a worker is descheduled: about 10 ms at
// 200,000 packets a second of 1,500 bytes. The kernel may grant less.
const socketBufferBytes = 4 << 20

// reusePort lets several sockets receive on one address. The kernel spreads
// packets over them by outer source address and port, which keeps a flow in
// one worker when the sender derives its source port from the flow (RFC 8926,
// section 3.3).
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

// listenAll opens count sockets on one address. With port 0 the first socket
// chooses the port.
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

// openSenders opens one socket for each worker, each with a port of its own, so
// that a peer's kernel spreads relayed packets over its workers.
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

// closeAll closes sockets that are no longer used; an error on closing a UDP
// socket loses nothing.
func closeAll(sockets []net.PacketConn) {
	for _, socket := range sockets {
		_ = socket.Close()
	}
}

// receiveConn is a UDP socket whose batches come without the senders'
// addresses. The packet path does not use them, and x/net allocates two objects
// for each one. x/net leaves addresses out for connections with SetLinger, which
// it takes for stream sockets; receiving is otherwise the same. Should that
// change, TestReceiveDoesNotAllocate fails and packets still arrive.
type receiveConn struct {
	net.PacketConn
}

// SyscallConn gives x/net access to the socket.
func (c receiveConn) SyscallConn() (syscall.RawConn, error) {
	return c.PacketConn.(*net.UDPConn).SyscallConn()
}

// SetLinger is never called: it marks the connection for x/net.
func (receiveConn) SetLinger(int) error {
	return nil
}

// Read and Write complete net.Conn, which x/net asks for. Batches do not use
// them.
func (c receiveConn) Read(b []byte) (int, error) {
	return c.PacketConn.(*net.UDPConn).Read(b)
}

// Write is like Read.
func (c receiveConn) Write(b []byte) (int, error) {
	return c.PacketConn.(*net.UDPConn).Write(b)
}

// RemoteAddr returns nil: the socket is not connected.
func (receiveConn) RemoteAddr() net.Addr {
	return nil
}
