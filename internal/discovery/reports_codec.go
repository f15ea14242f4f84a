package discovery

import (
	"math"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/internal/decision/silence"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// maxReportBytes is the maximum size of a report, which fits one packet on every path.
const maxReportBytes = 1200

// encodeReport encodes a report on the first endpoints, as many as fit into a datagram, and
// returns their number.
func encodeReport(reporter string, endpoints []silence.EndpointID) (datagram []byte, encoded int, err error) {
	message := &syncpb.SilenceReport{Reporter: reporter}
	for i := range endpoints {
		message.Endpoints = append(message.Endpoints, silentToWire(&endpoints[i]))
		if proto.Size(message) <= maxReportBytes {
			continue
		}
		message.Endpoints = message.Endpoints[:i]
		break
	}
	datagram, err = proto.Marshal(message)
	return datagram, len(message.Endpoints), err
}

// decodeReport decodes a report. The error has code PeerBadDatagram.
func decodeReport(datagram []byte) (reporter string, endpoints map[silence.EndpointID]bool, err error) {
	if len(datagram) > maxReportBytes {
		return "", nil, resultcode.Errorf(resultcode.PeerBadDatagram, "report of more than %d bytes", maxReportBytes)
	}
	var message syncpb.SilenceReport
	if err := proto.Unmarshal(datagram, &message); err != nil {
		return "", nil, resultcode.Errorf(resultcode.PeerBadDatagram, "decode report of a peer: %w", err)
	}
	if message.Reporter == "" || len(message.Endpoints) == 0 {
		return "", nil, resultcode.Errorf(resultcode.PeerBadDatagram, "report without a reporter or endpoints")
	}
	endpoints = make(map[silence.EndpointID]bool, len(message.Endpoints))
	for _, wire := range message.Endpoints {
		if wire.Name == "" || wire.Port == 0 || wire.Port > math.MaxUint16 || wire.Born > math.MaxInt64 {
			return "", nil, resultcode.Errorf(resultcode.PeerBadDatagram, "report on an invalid endpoint %q", wire.Name)
		}
		endpoints[silentFromWire(wire)] = true
	}
	return message.Reporter, endpoints, nil
}

func silentToWire(id *silence.EndpointID) *syncpb.SilentEndpoint {
	return &syncpb.SilentEndpoint{
		Name: id.Name, Born: uint64(id.StartedAt), Address: addressToWire(id.Address.Addr()), Port: uint32(id.Address.Port()),
	}
}

func silentFromWire(wire *syncpb.SilentEndpoint) silence.EndpointID {
	return silence.EndpointID{
		Name: wire.Name, StartedAt: int64(wire.Born), Address: netip.AddrPortFrom(addressFromWire(wire.Address), uint16(wire.Port)),
	}
}
