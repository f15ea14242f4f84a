package tunnel

import (
	"errors"
	"net"
	"net/netip"

	"gopkg.in/tomb.v2"
)

// socketBufferBytes is the requested size of the kernel's send and receive
// buffers. They must hold the bursts that arrive while the receiver is
// descheduled. The kernel may grant less.
const socketBufferBytes = 4 << 20

// Listen opens a UDP socket for Geneve datagrams. It is closed when the tomb is
// dying.
func Listen(t *tomb.Tomb, address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(socket.SetReadBuffer(socketBufferBytes), socket.SetWriteBuffer(socketBufferBytes)); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	t.Go(func() error {
		<-t.Dying()
		return socket.Close()
	})
	return socket, nil
}

// Receive calls handle for each datagram until the socket is closed, then returns
// nil. Any other error is returned. The datagram is valid only during the call.
func Receive(socket *net.UDPConn, handle func(datagram []byte, from netip.AddrPort)) error {
	buffer := make([]byte, MaxDatagramBytes)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		handle(buffer[:n], from)
	}
}

// LocalAddress returns the bound address of the socket.
func LocalAddress(socket *net.UDPConn) netip.AddrPort {
	address := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
