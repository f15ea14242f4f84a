package entry

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

func completeSnapshot() *entrypb.ApplySnapshotRequest {
	return &entrypb.ApplySnapshotRequest{
		Release: 7, ReleaseHash: "abc", Self: 5, Settled: true, Isolated: true, Sequence: 3, Epoch: 2,
		Services: []*entrypb.Service{{
			Id: 1, Name: "crew-desk", Address: "203.0.113.10", Port: 443,
			Protocol: entrypb.Protocol_PROTOCOL_TCP, Idempotent: true,
			Policy: &entrypb.Policy{
				Selection: entrypb.Selection_SELECTION_TWO_CHOICES, BoundPercent: 125, SlowStartMs: 1000,
				IdleTimeoutMs: 2000, MaxFlowsPerEndpoint: 10, NewFlowsPerSecond: 20, MaxEjectedPercent: 50,
			},
			Endpoints: []*entrypb.Endpoint{{
				Id: 9, Name: "desk-1", TunnelAddress: "192.0.2.1:6081", Weight: 4,
				State: entrypb.EndpointState_ENDPOINT_STATE_COLD, Load: 6, LoadAgeMs: 30, ColdSinceMs: 40,
			}},
		}},
		Members: []*entrypb.Member{{
			Instance: 5, Name: "entry-a", Incarnation: 8, EntryAddress: "192.0.2.9:6081",
			State: entrypb.MemberState_MEMBER_STATE_SUSPECT,
		}},
	}
}

// Guards against a field that the conversion does not copy. Every field of the
// message is set, so a zero field in the result was not copied.
func TestSnapshotConversionSetsEveryField(t *testing.T) {
	got, err := SnapshotFromProto(completeSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	requireNonZero(t, "snapshot", reflect.ValueOf(*got))
	service := got.Services[0]
	if service.Policy.IdleTimeout != 2*time.Second || service.Endpoints[0].ColdFor != 40*time.Millisecond {
		t.Fatalf("durations were converted in a wrong unit: %+v", service)
	}
	if service.Endpoints[0].State != common.EndpointCold || got.Members[0].State != common.MemberSuspect {
		t.Fatalf("states were converted wrongly: %+v", got)
	}
}

func requireNonZero(t *testing.T, name string, value reflect.Value) {
	t.Helper()
	switch {
	case value.IsZero():
		t.Errorf("%s is zero", name)
	case value.Kind() == reflect.Slice:
		requireNonZero(t, name, value.Index(0))
	case value.Kind() == reflect.Struct && strings.HasPrefix(value.Type().PkgPath(), "burdockrelay"):
		for i := range value.NumField() {
			requireNonZero(t, name+"."+value.Type().Field(i).Name, value.Field(i))
		}
	}
}

// Guards against applying a snapshot with invalid contents.
func TestSnapshotConversionRefuses(t *testing.T) {
	tests := map[string]func(*entrypb.ApplySnapshotRequest){
		"service address with port": func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Address = "203.0.113.10:443" },
		"IPv6 service address":      func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Address = "2001:db8::1" },
		"port 0":                    func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Port = 0 },
		"port 65536":                func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Port = 65536 },
		"no protocol":               func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Protocol = 0 },
		"protocol number 262":       func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Protocol = 256 + 6 },
		"tunnel without port":       func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Endpoints[0].TunnelAddress = "192.0.2.1" },
		"unspecified tunnel":        func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Endpoints[0].TunnelAddress = "0.0.0.0:6081" },
		"unknown endpoint state":    func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Endpoints[0].State = 9 },
		"unknown member state":      func(r *entrypb.ApplySnapshotRequest) { r.Members[0].State = -1 },
		"unknown selection":         func(r *entrypb.ApplySnapshotRequest) { r.Services[0].Policy.Selection = 256 },
		"member without address":    func(r *entrypb.ApplySnapshotRequest) { r.Members[0].EntryAddress = "" },
		"too many members": func(r *entrypb.ApplySnapshotRequest) {
			r.Members = make([]*entrypb.Member, maxMembers+1)
		},
		"too many services": func(r *entrypb.ApplySnapshotRequest) {
			r.Services = make([]*entrypb.Service, maxServices+1)
		},
		"too many endpoints": func(r *entrypb.ApplySnapshotRequest) {
			r.Services[0].Endpoints = make([]*entrypb.Endpoint, maxEndpoints+1)
		},
	}
	for name, edit := range tests {
		request := completeSnapshot()
		edit(request)
		_, err := SnapshotFromProto(request)
		if code, found := resultcode.Of(err); !found || code != resultcode.SnapshotInvalid {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func completeBatch() *common.ReplicationBatch {
	base := common.ServiceBase{Service: 1, Eligible: []common.EndpointID{1, 2}, Weights: []uint32{3, 4}}
	return &common.ReplicationBatch{
		Target: 1, Source: 2, SourceIncarnation: 3, Sequence: 64,
		Exceptions: []common.ExceptionGroup{{Service: 1, Endpoint: 9, Hashes: []common.FlowHash{11, 12}, Withdrawn: true}},
		Bases:      []common.ServiceBase{base},
		SlotBases: []common.SlotBase{
			{Slot: 16383, Base: base},
			{Slot: 16382, Base: common.ServiceBase{Service: 1, Eligible: []common.EndpointID{}, Weights: []uint32{99}}},
		},
	}
}

// Guards against replicated state that changes when it is converted for
// transfer.
func TestBatchConversionRoundTrip(t *testing.T) {
	batch := completeBatch()
	requireNonZero(t, "batch", reflect.ValueOf(*batch))
	got, err := batchFromProto(batchToProto(batch))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, batch) {
		t.Fatalf("%+v became %+v", batch, got)
	}
}

// Guards against accepting a base with fewer weights than endpoints, which would
// cause an index out of range.
func TestBatchConversionRefusesUnevenBase(t *testing.T) {
	message := batchToProto(completeBatch())
	message.Bases[0].Weights = message.Bases[0].Weights[:1]
	if _, err := batchFromProto(message); err == nil {
		t.Fatal("two endpoints with one weight were accepted")
	}
	message = batchToProto(completeBatch())
	message.SlotBases[0].Slot = common.Slots
	if _, err := batchFromProto(message); err == nil {
		t.Fatal("a slot out of range was accepted")
	}
}

func marshal(f *testing.F, message proto.Message) []byte {
	f.Helper()
	data, err := proto.Marshal(message)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// FuzzSnapshot guards against a panic on any snapshot message, and against an
// error without a result code.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte{})
	f.Add(marshal(f, completeSnapshot()))
	f.Fuzz(func(t *testing.T, data []byte) {
		request := &entrypb.ApplySnapshotRequest{}
		if proto.Unmarshal(data, request) != nil {
			return
		}
		got, err := SnapshotFromProto(request)
		if err == nil {
			_, err = flow.NewTables(got, nil)
		}
		if code, found := resultcode.Of(err); err != nil && (!found || code == resultcode.OK) {
			t.Fatalf("error without result code: %v", err)
		}
	})
}

// FuzzReplication guards against a panic on any replication batch.
func FuzzReplication(f *testing.F) {
	f.Add([]byte{})
	f.Add(marshal(f, batchToProto(completeBatch())))
	request := completeSnapshot()
	request.Isolated = false
	request.Members[0].State = entrypb.MemberState_MEMBER_STATE_SERVING
	converted, err := SnapshotFromProto(request)
	if err != nil {
		f.Fatal(err)
	}
	tables, err := flow.NewTables(converted, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		message := &entrypb.ReplicationBatch{}
		if proto.Unmarshal(data, message) != nil {
			return
		}
		batch, err := batchFromProto(message)
		if err != nil {
			return
		}
		index := flow.ShardOfSequence(batch.Sequence)
		shard := flow.NewShard(index, flow.Limits{MaxFlows: 16})
		shard.Install(tables, 0)
		shard.AddReplication(tables, batch, 0)
		shard.Expire(time.Hour, 16)
		shard.TakeReplication(tables, time.Hour, &flow.Budget{Bytes: 1 << 16})
	})
}
