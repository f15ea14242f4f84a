package controller

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/internal/peer"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

const (
	// tickInterval is how often the membership timers are checked.
	tickInterval = 100 * time.Millisecond
	// listInterval is the mean time between reads of the instance list. 2,300
	// daemons make 230 of the platform's 2,000 reads per second.
	listInterval = 10 * time.Second
	// firstListInterval is the mean time between attempts until the first list is
	// read.
	firstListInterval = 500 * time.Millisecond
)

// membershipController runs the membership protocol over datagrams and applies the
// instance list.
type membershipController struct {
	*core
	// replication receives the datagrams that carry exceptions.
	replication func(from netip.AddrPort, d *peerpb.Datagram)
	// loggedState and loggedIncarnation are the values that were logged last.
	loggedState       common.MemberState
	loggedIncarnation uint64
}

func (m *membershipController) receive() error {
	for {
		from, d, err := m.transport.Receive()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		message, ok := peer.DecodeMembership(d)
		if !ok {
			m.replication(from, d)
			continue
		}
		m.handle(from, message, d.GetPiggyback())
	}
}

func (m *membershipController) handle(from netip.AddrPort, message membership.Message, p *peerpb.Piggyback) {
	m.mu.Lock()
	version := m.machine.Version()
	m.machine.SetAllowance(m.transport.PiggybackAllowance())
	outputs := m.machine.Receive(m.now(), from, message)
	m.mergePiggyback(p)
	m.inputs[inputPeers] = input{updatedAt: m.now(), received: true, state: "ok"}
	changed := m.machine.Version() != version
	datagrams := m.encodeDatagrams(outputs)
	m.mu.Unlock()
	m.sendDatagrams(outputs, datagrams)
	if changed {
		m.snapshotChanged()
	}
}

// encodeDatagrams returns the datagrams for messages, with their piggyback. The
// caller holds mu.
func (c *core) encodeDatagrams(outputs []membership.Output) []*peerpb.Datagram {
	datagrams := make([]*peerpb.Datagram, 0, len(outputs))
	for i := range outputs {
		d := peer.EncodeMembership(&outputs[i].Message)
		c.attachPiggyback(d)
		datagrams = append(datagrams, d)
	}
	return datagrams
}

// sendDatagrams sends datagrams. A probe that could not be sent does not count as
// unanswered.
func (c *core) sendDatagrams(outputs []membership.Output, datagrams []*peerpb.Datagram) {
	for i, d := range datagrams {
		err := c.transport.Send(outputs[i].Address, d)
		if err == nil {
			continue
		}
		c.logger.Debug("datagram_not_sent", zap.Error(err))
		if outputs[i].Message.Kind == membership.Ping {
			c.mu.Lock()
			c.machine.CancelProbe(outputs[i].Message.Sequence)
			c.mu.Unlock()
		}
	}
}

func (m *membershipController) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.tickOnce()
		}
	}
}

func (m *membershipController) tickOnce() {
	m.mu.Lock()
	version := m.machine.Version()
	m.machine.SetAllowance(m.transport.PiggybackAllowance())
	outputs := m.machine.Tick(m.now())
	datagrams := m.encodeDatagrams(outputs)
	changed := m.machine.Version() != version
	m.reportState()
	m.mu.Unlock()
	m.sendDatagrams(outputs, datagrams)
	if changed {
		m.snapshotChanged()
	}
}

// reportState logs changes of this instance's state and updates the metrics. The
// caller holds mu.
func (m *membershipController) reportState() {
	self := m.machine.Self()
	if self.State != m.loggedState || self.Incarnation != m.loggedIncarnation {
		m.loggedState = self.State
		m.loggedIncarnation = self.Incarnation
		m.logger.Info("own_state", zap.Uint8("state", uint8(self.State)), zap.Uint64("incarnation", self.Incarnation))
	}
	counts := map[common.MemberState]int{}
	for _, member := range m.machine.Members() {
		counts[member.State]++
	}
	for state := common.MemberJoining; state <= common.MemberDead; state++ {
		m.metrics.members.WithLabelValues(stateName(state)).Set(float64(counts[state]))
	}
	settled := 0.0
	if m.machine.Settled(m.now()) {
		settled = 1
	}
	m.metrics.settled.Set(settled)
	m.metrics.rejoins.Set(float64(m.machine.Rejoins()))
}

func stateName(state common.MemberState) string {
	names := [...]string{"joining", "serving", "leaving", "suspect", "dead"}
	if int(state) < len(names) {
		return names[state]
	}
	return "unknown"
}

// announce sends this instance's state to all peers at once, as far as the budget
// of control bytes allows. The remaining peers receive it by gossip.
func (m *membershipController) announce() {
	m.mu.Lock()
	var outputs []membership.Output
	for _, update := range m.machine.Peers() {
		outputs = append(outputs, m.machine.PingNow(update.ID, m.now())...)
	}
	datagrams := m.encodeDatagrams(outputs)
	m.mu.Unlock()
	m.sendDatagrams(outputs, datagrams)
}

// pollInstanceList reads the instance list periodically until ctx ends.
func (m *membershipController) pollInstanceList(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := listInterval
		list, err := m.platform.List(ctx, platform.Instances)
		if err != nil {
			m.inputFailed(inputInstances, err)
			m.inputFailed(inputPlatform, err)
			m.logger.Debug("instance_list_failed", zap.Error(err))
		} else {
			m.applyInstanceList(list)
		}
		m.mu.Lock()
		if !m.instancesLoaded {
			interval = firstListInterval
		}
		m.mu.Unlock()
		sleep(ctx, jitter(interval))
	}
	return nil
}

// jitter returns a random duration between d/2 and 3d/2, to spread the calls of
// many daemons.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// instanceSpec and instanceStatus are the spec and status of an item of the
// instance list.
type instanceSpec struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Group      string `json:"group"`
}

type instanceStatus struct {
	State string `json:"state"`
}

func (m *membershipController) applyInstanceList(instances *platform.List) {
	version, err := strconv.ParseUint(instances.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		m.logger.Warn("instance_list_version", zap.String("version", instances.Metadata.ResourceVersion))
		return
	}
	var all []instanceInfo
	var candidates []membership.Candidate
	for i := range instances.Items {
		info, candidate, ok := m.decodeInstance(&instances.Items[i])
		if !ok {
			continue
		}
		all = append(all, info)
		if info.group == m.settings.Group {
			candidates = append(candidates, candidate)
		}
	}
	m.inputOK(inputInstances)
	m.inputOK(inputPlatform)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.SetCandidates(version, candidates, m.now())
	m.instances = all
	m.instancesLoaded = true
	m.pruneAcks()
	m.gossipQueue.prune(m.now().Milliseconds())
}

// isPacketAddress reports whether entryd can send packets to an address. A snapshot with any
// other address is rejected as a whole.
func isPacketAddress(address netip.Addr) bool { return address.Is4() && !address.IsUnspecified() }

func (m *membershipController) decodeInstance(object *platform.Object) (instanceInfo, membership.Candidate, bool) {
	var spec instanceSpec
	var status instanceStatus
	specErr := json.Unmarshal(object.Spec, &spec)
	_ = json.Unmarshal(object.Status, &status)
	address, addressErr := netip.ParseAddr(spec.Address)
	if specErr != nil || addressErr != nil || !isPacketAddress(address) {
		m.logger.Warn("instance_list_item", zap.String("name", object.Metadata.Name), zap.String("address", spec.Address))
		return instanceInfo{}, membership.Candidate{}, false
	}
	if spec.Group == "" {
		spec.Group = spec.DataCentre
	}
	info := instanceInfo{
		id:         common.InstanceIDOf(object.Metadata.Name),
		name:       object.Metadata.Name,
		dataCentre: spec.DataCentre,
		group:      spec.Group,
		leaving:    status.State == "leaving",
	}
	candidate := membership.Candidate{
		ID:      info.id,
		Name:    info.name,
		Entry:   netip.AddrPortFrom(address, m.settings.EntryPort),
		Peer:    netip.AddrPortFrom(address, m.settings.PeerPort),
		Leaving: info.leaving,
	}
	return info, candidate, true
}
