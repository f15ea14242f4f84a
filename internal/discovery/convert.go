package discovery

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// setCached sets the fields of a request that identify the content of the cache.
func setCached(request *syncpb.FetchRequest, cache *Cache) {
	at, configuration := cache.CompleteAt()
	request.EndpointsEra, request.EndpointsRevision = at.Era, at.Number
	request.ConfigurationVersion = configuration.Version
	request.ConfigurationEra, request.ConfigurationRevision = configuration.Revision.Era, configuration.Revision.Number
}

// cachedByAsker returns what the cache of the sender of a request contains.
func cachedByAsker(request *syncpb.FetchRequest) (configuration directory.ConfigurationID, at common.Revision) {
	configuration = directory.ConfigurationID{
		Version:  request.ConfigurationVersion,
		Revision: common.Revision{Era: request.ConfigurationEra, Number: request.ConfigurationRevision},
	}
	return configuration, common.Revision{Era: request.EndpointsEra, Number: request.EndpointsRevision}
}

func addressToWire(address netip.Addr) uint32 {
	octets := address.As4()
	return binary.BigEndian.Uint32(octets[:])
}

func addressFromWire(address uint32) netip.Addr {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], address)
	return netip.AddrFrom4(octets)
}

// maxConfigurationBytes limits the decompressed size of a configuration from a peer.
const maxConfigurationBytes = 16 << 20

// encodeConfiguration returns the encoding of a configuration in responses to peers. It
// is compressed because names and addresses of rules repeat.
func encodeConfiguration(c *directory.Configuration) ([]byte, error) {
	content, err := proto.Marshal(configurationToWire(c))
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(content); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return compressed.Bytes(), nil
}

func decodeConfiguration(compressed []byte) (*directory.Configuration, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes))
	if err != nil {
		return nil, err
	}
	var wire syncpb.Configuration
	if err := proto.Unmarshal(content, &wire); err != nil {
		return nil, err
	}
	return configurationFromWire(&wire), nil
}

func configurationToWire(c *directory.Configuration) *syncpb.Configuration {
	wire := &syncpb.Configuration{
		Version: c.Version, Revision: c.Revision.Number, Era: c.Revision.Era, IdleTimeoutMs: uint64(c.IdleTimeout.Milliseconds()),
	}
	for _, rule := range c.Rules {
		wireRule := &syncpb.Rule{
			Name: rule.Name, Address: addressToWire(rule.Address.Address), Port: uint32(rule.Address.Port),
			TimeoutMs: uint64(rule.Timeout.Milliseconds()), LatencyTargetMs: uint64(rule.LatencyTarget.Milliseconds()),
			Priority: uint32(rule.Priority), Repeatable: rule.Repeatable,
		}
		for _, target := range rule.Targets {
			wireRule.Targets = append(wireRule.Targets, &syncpb.Target{Service: target.Service, Weight: target.Weight})
		}
		wire.Rules = append(wire.Rules, wireRule)
	}
	for _, service := range c.Services {
		wire.Services = append(wire.Services, &syncpb.Service{
			Name: service.Name, CheckPath: service.HealthPath, MaxFlows: service.MaxFlows, WarmUpPerSecond: service.WarmUpRate,
		})
	}
	return wire
}

func configurationFromWire(wire *syncpb.Configuration) *directory.Configuration {
	c := &directory.Configuration{
		Version: wire.Version, Revision: common.Revision{Era: wire.Era, Number: wire.Revision},
		IdleTimeout: time.Duration(wire.IdleTimeoutMs) * time.Millisecond,
	}
	for _, wireRule := range wire.Rules {
		rule := directory.Rule{
			Name: wireRule.Name,
			Address: common.ServiceAddress{
				Address: addressFromWire(wireRule.Address), Port: uint16(wireRule.Port), Protocol: common.ProtocolTCP,
			},
			Timeout:       time.Duration(wireRule.TimeoutMs) * time.Millisecond,
			LatencyTarget: time.Duration(wireRule.LatencyTargetMs) * time.Millisecond,
			Priority:      int(wireRule.Priority), Repeatable: wireRule.Repeatable,
		}
		for _, target := range wireRule.Targets {
			rule.Targets = append(rule.Targets, directory.Target{Service: target.Service, Weight: target.Weight})
		}
		c.Rules = append(c.Rules, rule)
	}
	for _, service := range wire.Services {
		c.Services = append(c.Services, directory.Service{
			Name: service.Name, HealthPath: service.CheckPath, MaxFlows: service.MaxFlows, WarmUpRate: service.WarmUpPerSecond,
		})
	}
	return c
}

// fromMicroseconds returns a duration sent by a peer, limited to the range of its type: one
// that overflows would lie in the future.
func fromMicroseconds(us uint64) time.Duration {
	const most = uint64(math.MaxInt64 / time.Microsecond)
	return time.Duration(min(us, most)) * time.Microsecond
}

// ceilMilliseconds returns a duration in milliseconds, rounded up: a warm-up must not end
// early on the receiver.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

func recordToWire(r *directory.EndpointRecord, now time.Duration) *syncpb.Endpoint {
	wire := &syncpb.Endpoint{
		Name: r.Endpoint.Name, Number: r.Endpoint.ID, Service: r.Endpoint.Service,
		Address: addressToWire(r.Endpoint.Address.Addr()), Port: uint32(r.Endpoint.Address.Port()),
		DataCentre: r.Endpoint.DataCentre, Slots: r.Endpoint.Slots, Draining: r.Endpoint.Draining,
		WarmUpMs: uint64(ceilMilliseconds(r.Endpoint.WarmUp)), Born: uint64(r.Endpoint.StartedAt),
		Sequence: r.Endpoint.Sequence, Revision: r.Endpoint.Revision.Number, Era: r.Endpoint.Revision.Era,
		MissingAt: r.MissingAt.Number, MissingEra: r.MissingAt.Era,
	}
	if r.Missing() {
		wire.MissingUs = uint64(max(now-r.MissingSince, 0).Microseconds())
	}
	return wire
}

func recordFromWire(wire *syncpb.Endpoint, now time.Duration) directory.EndpointRecord {
	r := directory.EndpointRecord{
		Endpoint: directory.Endpoint{
			Name: wire.Name, ID: wire.Number, Service: wire.Service,
			Address:    netip.AddrPortFrom(addressFromWire(wire.Address), uint16(wire.Port)),
			DataCentre: wire.DataCentre, Slots: wire.Slots, Draining: wire.Draining,
			WarmUp: time.Duration(wire.WarmUpMs) * time.Millisecond, StartedAt: int64(wire.Born),
			Sequence: wire.Sequence, Revision: common.Revision{Era: wire.Era, Number: wire.Revision},
		},
		MissingAt: common.Revision{Era: wire.MissingEra, Number: wire.MissingAt},
	}
	if r.Missing() {
		r.MissingSince = now - fromMicroseconds(wire.MissingUs)
	}
	return r
}
