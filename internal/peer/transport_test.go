package peer

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/proto/entrypb"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

func listen(t *testing.T, group string) *Transport {
	t.Helper()
	transport, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), group, NewMeter(nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

func receive(t *testing.T, transport *Transport) *peerpb.Datagram {
	t.Helper()
	received := make(chan *peerpb.Datagram, 1)
	go func() {
		_, d, _ := transport.Receive()
		received <- d
	}()
	select {
	case d := <-received:
		return d
	case <-time.After(5 * time.Second):
		t.Fatal("nothing received")
		return nil
	}
}

func ping() *peerpb.Datagram {
	return EncodeMembership(&membership.Message{Kind: membership.Ping, From: 1, Incarnation: 2, Sequence: 3, Subject: 4})
}

// Guards against datagrams of another group, and corrupt or too long ones, that reach
// the controllers.
func TestOnlyValidDatagramsOfTheGroupAreReceived(t *testing.T) {
	receiver, otherGroup, sender := listen(t, "fukuoka"), listen(t, "oita"), listen(t, "fukuoka")
	if err := otherGroup.Send(receiver.Address(), ping()); err != nil {
		t.Fatal(err)
	}
	for _, raw := range [][]byte{{0xff, 0xff}, {}, make([]byte, MaxDatagramBytes+1)} {
		if _, err := sender.conn.WriteToUDPAddrPort(raw, receiver.Address()); err != nil {
			t.Fatal(err)
		}
	}
	if err := sender.Send(receiver.Address(), ping()); err != nil {
		t.Fatal(err)
	}
	d := receive(t, receiver)
	message, ok := DecodeMembership(d)
	if !ok || message.From != 1 || message.Subject != 4 || d.GetGroup() != "fukuoka" {
		t.Fatalf("received %v", d)
	}
}

// Guards against sending datagrams that would be fragmented.
func TestTooLongDatagramIsNotSent(t *testing.T) {
	sender := listen(t, "fukuoka")
	d := ping()
	d.Kind = &peerpb.Datagram_Replication{Replication: &peerpb.Replication{
		Batches: []*entrypb.ReplicationBatch{{
			Exceptions: []*entrypb.ExceptionGroup{{Hashes: make([]uint64, 160)}},
		}},
	}}
	if err := sender.Send(sender.Address(), d); err == nil {
		t.Fatalf("a datagram of %d bytes was sent", proto.Size(d))
	}
}

// Guards against a daemon that exceeds its control byte budget under load, and against
// exceptions that use the budget of probes.
func TestSentBytesStayWithinBudget(t *testing.T) {
	sender := listen(t, "fukuoka")
	sent := 0
	start := time.Now()
	for time.Since(start) < 3*time.Second {
		d := ping()
		d.Piggyback.Members = []*peerpb.MemberUpdate{{Name: strings.Repeat("x", 700)}}
		if sender.Send(sender.Address(), d) == nil {
			sent += proto.Size(d) + HeaderBytes
		}
		time.Sleep(5 * time.Millisecond)
	}
	seconds := time.Since(start).Seconds()
	limit := seconds*SendBytesPerSecond + (controlBurst-minPingTokens)/directionFactor + MaxDatagramBytes
	if float64(sent) > limit {
		t.Errorf("%d bytes in %.1f s, more than %.0f", sent, seconds, limit)
	}
	if sender.ReplicationBudget() > 0 {
		t.Errorf("exceptions may use %d bytes although the budget is exhausted", sender.ReplicationBudget())
	}
}

// Guards against an address in an update to which no packets can be sent: entryd rejects every
// snapshot with such a member.
func TestUnusableAddressesAreDropped(t *testing.T) {
	for _, address := range []string{"[::1]:6081", "0.0.0.0:6081", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1", "x", ""} {
		update, ok := decodeUpdate(&peerpb.MemberUpdate{
			Instance: uint32(common.InstanceIDOf("entry-1")), Name: "entry-1", EntryAddress: address, PeerAddress: address,
		})
		if !ok || update.Entry.IsValid() || update.Peer.IsValid() {
			t.Errorf("%q: entry %v, peer %v, accepted %v", address, update.Entry, update.Peer, ok)
		}
	}
}

// Guards against updates with a forged ID or an unknown state that enter the view.
func TestInvalidUpdatesAreDropped(t *testing.T) {
	valid := membership.Update{ID: common.InstanceIDOf("entry-1"), Name: "entry-1", Incarnation: 5, State: common.MemberServing}
	d := EncodeMembership(&membership.Message{Kind: membership.Ack, From: 1, Updates: []membership.Update{valid}})
	d.Piggyback.Members = append(d.Piggyback.Members,
		&peerpb.MemberUpdate{Instance: 7, Name: "entry-2"},
		&peerpb.MemberUpdate{Instance: 0},
		&peerpb.MemberUpdate{Instance: uint32(valid.ID), Name: "entry-1", State: 9},
	)
	message, _ := DecodeMembership(d)
	if len(message.Updates) != 1 || message.Updates[0] != valid {
		t.Fatalf("updates %+v", message.Updates)
	}
}
