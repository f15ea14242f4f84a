package peer

import (
	"net/netip"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/proto/entrypb"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

// EncodeMembership converts a membership message to a datagram.
func EncodeMembership(m *membership.Message) *peerpb.Datagram {
	d := &peerpb.Datagram{
		Sender:      uint32(m.From),
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		Piggyback:   &peerpb.Piggyback{},
	}
	switch m.Kind {
	case membership.Ping:
		d.Kind = &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Target: uint32(m.Subject)}}
	case membership.PingRequest:
		d.Kind = &peerpb.Datagram_PingRequest{PingRequest: &peerpb.PingRequest{Target: uint32(m.Subject)}}
	default:
		d.Kind = &peerpb.Datagram_Ack{Ack: &peerpb.Ack{Sequence: m.AckSequence, Subject: uint32(m.Subject)}}
	}
	for i := range m.Updates {
		d.Piggyback.Members = append(d.Piggyback.Members, encodeUpdate(&m.Updates[i]))
	}
	return d
}

func encodeUpdate(u *membership.Update) *peerpb.MemberUpdate {
	return &peerpb.MemberUpdate{
		Instance:     uint32(u.ID),
		Incarnation:  u.Incarnation,
		State:        entrypb.MemberState(u.State),
		Name:         u.Name,
		EntryAddress: encodeAddress(u.Entry),
		PeerAddress:  encodeAddress(u.Peer),
	}
}

func encodeAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

// DecodeMembership converts a datagram to a membership message. It returns false for
// a datagram of another kind, and omits invalid updates.
func DecodeMembership(d *peerpb.Datagram) (membership.Message, bool) {
	m := membership.Message{
		From:        common.InstanceID(d.Sender),
		Incarnation: d.Incarnation,
		Sequence:    d.Sequence,
	}
	switch kind := d.Kind.(type) {
	case *peerpb.Datagram_Ping:
		m.Kind = membership.Ping
		m.Subject = common.InstanceID(kind.Ping.GetTarget())
	case *peerpb.Datagram_PingRequest:
		m.Kind = membership.PingRequest
		m.Subject = common.InstanceID(kind.PingRequest.GetTarget())
	case *peerpb.Datagram_Ack:
		m.Kind = membership.Ack
		m.AckSequence = kind.Ack.GetSequence()
		m.Subject = common.InstanceID(kind.Ack.GetSubject())
	default:
		return m, false
	}
	for _, update := range d.GetPiggyback().GetMembers() {
		if decoded, ok := decodeUpdate(update); ok {
			m.Updates = append(m.Updates, decoded)
		}
	}
	return m, true
}

// decodeUpdate converts an update, and returns false for one that must not enter the
// view: without an ID, with an ID that does not match its name, or with an unknown
// state. An update without a name has no addresses.
func decodeUpdate(u *peerpb.MemberUpdate) (membership.Update, bool) {
	update := membership.Update{
		ID:          common.InstanceID(u.GetInstance()),
		Incarnation: u.GetIncarnation(),
		State:       common.MemberState(u.GetState()),
		Name:        u.GetName(),
	}
	nameMatches := update.Name == "" || update.ID == common.InstanceIDOf(update.Name)
	if update.ID == 0 || !nameMatches || u.GetState() > entrypb.MemberState_MEMBER_STATE_DEAD {
		return update, false
	}
	update.Entry = packetAddress(u.GetEntryAddress())
	update.Peer = packetAddress(u.GetPeerAddress())
	return update, true
}

// packetAddress returns an address to which packets can be sent, the zero value if the text is
// no such address.
func packetAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.Addr().IsUnspecified() || address.Port() == 0 {
		return netip.AddrPort{}
	}
	return address
}
