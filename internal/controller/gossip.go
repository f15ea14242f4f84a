package controller

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/drain"
	"burdockrelay.example/burdockrelay/internal/decision/health"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

const (
	// maxEndpointsPerDatagram and maxDrainsPerDatagram bound the piggyback: an
	// endpoint update takes about 26 bytes and a drain about 14.
	maxEndpointsPerDatagram = 5
	maxDrainsPerDatagram    = 3
	// minGossipAllowance is the piggyback allowance in bytes below which datagrams
	// carry no endpoint states and drains, only membership and releases.
	minGossipAllowance = 200
	// gossipFactor is multiplied by the binary logarithm of the group's size to get
	// the number of times that an item is sent.
	gossipFactor = 3
)

// reportKey identifies the newest report of one prober about one endpoint.
type reportKey struct {
	endpoint common.EndpointID
	prober   common.InstanceID
}

// gossipItem counts the sends of a pending update.
type gossipItem struct {
	// urgent items are changes of state, which are sent before loads.
	urgent bool
	sends  int
}

// gossipQueue selects the endpoint and drain updates for each datagram.
type gossipQueue struct {
	pendingReports map[reportKey]*gossipItem
	reports        map[reportKey]health.Report
	// reportTimesMS holds the time of each report, in milliseconds since the start
	// of the process.
	reportTimesMS map[reportKey]int64
	pendingDrains map[common.EndpointID]*gossipItem
	// drainCursor is the index of the last override that was repeated in rotation.
	drainCursor int
}

func newGossipQueue() *gossipQueue {
	return &gossipQueue{
		pendingReports: map[reportKey]*gossipItem{},
		reports:        map[reportKey]health.Report{},
		reportTimesMS:  map[reportKey]int64{},
		pendingDrains:  map[common.EndpointID]*gossipItem{},
	}
}

func (g *gossipQueue) addReport(report health.Report, nowMS int64) {
	key := reportKey{report.Endpoint, report.Prober}
	previous, found := g.reports[key]
	urgent := !found || previous.State != report.State
	if pending := g.pendingReports[key]; pending != nil {
		urgent = urgent || pending.urgent
	}
	g.reports[key] = report
	g.reportTimesMS[key] = nowMS - report.Age.Milliseconds()
	g.pendingReports[key] = &gossipItem{urgent: urgent}
}

// prune removes reports that have expired and are no longer sent.
func (g *gossipQueue) prune(nowMS int64) {
	for key, reportedMS := range g.reportTimesMS {
		if nowMS-reportedMS < health.ReportLifetime.Milliseconds() || g.pendingReports[key] != nil {
			continue
		}
		delete(g.reports, key)
		delete(g.reportTimesMS, key)
	}
}

func (g *gossipQueue) addDrain(endpoint common.EndpointID) {
	g.pendingDrains[endpoint] = &gossipItem{urgent: true}
}

// takeReports returns the endpoint updates for one datagram: changes of state
// first, then those sent least often.
func (g *gossipQueue) takeReports(members int, nowMS int64) []*peerpb.EndpointUpdate {
	var updates []*peerpb.EndpointUpdate
	for _, key := range leastSent(g.pendingReports, maxEndpointsPerDatagram, compareReportKeys) {
		report := g.reports[key]
		age := nowMS - g.reportTimesMS[key]
		countSend(g.pendingReports, key, members)
		if age >= health.ReportLifetime.Milliseconds() {
			delete(g.pendingReports, key)
			continue
		}
		updates = append(updates, encodeReport(report, age))
	}
	return updates
}

// takeDrains returns the drain updates for one datagram: new overrides first. If
// there is room, one other override is repeated in rotation for members that missed
// it.
func (g *gossipQueue) takeDrains(table *drain.Table, members int) []*peerpb.DrainUpdate {
	var updates []*peerpb.DrainUpdate
	for _, endpoint := range leastSent(g.pendingDrains, maxDrainsPerDatagram, cmp.Compare[common.EndpointID]) {
		if override, found := table.Get(endpoint); found {
			updates = append(updates, encodeDrain(override))
		}
		countSend(g.pendingDrains, endpoint, members)
	}
	all := table.All()
	if len(updates) < maxDrainsPerDatagram && len(all) > 0 {
		g.drainCursor = (g.drainCursor + 1) % len(all)
		updates = append(updates, encodeDrain(all[g.drainCursor]))
	}
	return updates
}

func compareReportKeys(a, b reportKey) int {
	return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.prober, b.prober))
}

// leastSent returns up to n keys: urgent items first, then those sent least often.
func leastSent[K comparable](items map[K]*gossipItem, n int, compare func(a, b K) int) []K {
	keys := make([]K, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		x, y := items[a], items[b]
		if x.urgent != y.urgent {
			if x.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x.sends, y.sends), compare(a, b))
	})
	return keys[:min(n, len(keys))]
}

// countSend counts a send of an item and removes the item after its last one.
func countSend[K comparable](items map[K]*gossipItem, key K, members int) {
	items[key].sends++
	if items[key].sends >= gossipFactor*bits.Len(uint(members)) {
		delete(items, key)
	}
}

func encodeReport(report health.Report, ageMS int64) *peerpb.EndpointUpdate {
	return &peerpb.EndpointUpdate{
		Endpoint:          uint32(report.Endpoint),
		State:             entrypb.EndpointState(report.State),
		Load:              report.Load,
		Version:           report.Version,
		Prober:            uint32(report.Prober),
		ProberIncarnation: report.Incarnation,
		AgeMs:             uint32(max(ageMS, 0)),
	}
}

func encodeDrain(override drain.Override) *peerpb.DrainUpdate {
	return &peerpb.DrainUpdate{
		Endpoint: uint32(override.Endpoint),
		Draining: override.Draining,
		Version:  override.Version,
		Origin:   uint32(override.Origin),
	}
}

// attachPiggyback adds the release notice, the acknowledgement of this instance,
// endpoint states and drains to a datagram. The caller holds mu.
func (c *core) attachPiggyback(d *peerpb.Datagram) {
	members := len(c.machine.Peers()) + 1
	p := d.Piggyback
	accepted := c.tracker.Accepted().Short()
	prepared := c.tracker.Prepared().Short()
	if accepted.Number > 0 || prepared.Number > 0 {
		p.Release = &peerpb.ReleaseNotice{
			AcceptedNumber:  accepted.Number,
			AcceptedHash:    accepted.Hash,
			PreparedNumber:  prepared.Number,
			PreparedHash:    prepared.Hash,
			PreparedAttempt: prepared.Attempt,
		}
	}
	if c.ownAck.Ref.Number > 0 {
		p.ReleaseAcks = append(p.ReleaseAcks, c.encodeOwnAck())
	}
	leaving := c.machine.Self().State == common.MemberLeaving
	if leaving || c.transport.PiggybackAllowance() < minGossipAllowance {
		return
	}
	p.Endpoints = c.gossipQueue.takeReports(members, c.now().Milliseconds())
	p.Drains = c.gossipQueue.takeDrains(c.drains, members)
}

func (c *core) encodeOwnAck() *peerpb.ReleaseAck {
	ref := c.ownAck.Ref.Short()
	return &peerpb.ReleaseAck{
		Instance:   uint32(c.self),
		Number:     ref.Number,
		Hash:       ref.Hash,
		ResultCode: uint32(c.ownAck.Code),
		InForce:    c.tracker.InForce().Number,
	}
}

// mergePiggyback applies the content of a piggyback other than membership. The
// caller holds mu.
func (c *core) mergePiggyback(p *peerpb.Piggyback) {
	if p == nil {
		return
	}
	c.mergeReleaseNotice(p.GetRelease())
	for _, ack := range p.GetReleaseAcks() {
		c.mergeReleaseAck(ack)
	}
	for _, update := range p.GetEndpoints() {
		c.mergeReport(update)
	}
	for _, update := range p.GetDrains() {
		c.mergeDrain(drain.Override{
			Endpoint: common.EndpointID(update.GetEndpoint()),
			Draining: update.GetDraining(),
			Version:  update.GetVersion(),
			Origin:   common.InstanceID(update.GetOrigin()),
		})
	}
}

func (c *core) mergeReleaseNotice(notice *peerpb.ReleaseNotice) {
	if notice == nil {
		return
	}
	accepted := release.Ref{Number: notice.GetAcceptedNumber(), Hash: notice.GetAcceptedHash()}
	prepared := release.Ref{
		Number:  notice.GetPreparedNumber(),
		Hash:    notice.GetPreparedHash(),
		Attempt: notice.GetPreparedAttempt(),
	}
	c.observeAccepted(accepted)
	c.observePrepared(prepared)
}

func (c *core) mergeReleaseAck(ack *peerpb.ReleaseAck) {
	id := common.InstanceID(ack.GetInstance())
	if id == c.self {
		return
	}
	previous := c.acks[id]
	ref := release.Ref{Number: ack.GetNumber(), Hash: ack.GetHash()}
	if ref.Number < previous.Ref.Number || ack.GetInForce() < previous.InForce {
		// Ignores a datagram that arrived out of order, unless the sender has no
		// release or none in force, as after its replacement.
		if ref.Number != 0 && ack.GetInForce() != 0 {
			return
		}
	}
	c.acks[id] = release.Ack{
		Instance: id,
		Ref:      ref,
		Code:     resultcode.Code(ack.GetResultCode()),
		InForce:  ack.GetInForce(),
	}
}

// pruneAcks removes the acknowledgements of instances that are neither members nor on
// the instance list. The caller holds mu.
func (c *core) pruneAcks() {
	known := map[common.InstanceID]bool{}
	for _, info := range c.instances {
		known[info.id] = true
	}
	for _, member := range c.machine.Members() {
		known[member.ID] = true
	}
	maps.DeleteFunc(c.acks, func(id common.InstanceID, _ release.Ack) bool { return !known[id] })
}

// maxReportAge bounds the age in a peer's report. A higher age could place the
// report before the start of this process.
const maxReportAge = health.ReportLifetime

func (c *core) mergeReport(update *peerpb.EndpointUpdate) {
	if update.GetState() > entrypb.EndpointState_ENDPOINT_STATE_DOWN || update.GetProber() == uint32(c.self) {
		return
	}
	report := decodeReport(update)
	if report.Age >= maxReportAge {
		return
	}
	before := c.health.Status(report.Endpoint, c.now())
	if !c.health.Merge(report, c.now()) {
		return
	}
	c.gossipQueue.addReport(report, c.now().Milliseconds())
	if c.health.Status(report.Endpoint, c.now()).State != before.State {
		c.snapshotChanged()
	}
}
