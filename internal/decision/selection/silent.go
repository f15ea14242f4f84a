package selection

import (
	"slices"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

// silentRetention is how long a silent endpoint is remembered that the store no longer
// lists. Its flows have ended by then.
const silentRetention = 10 * time.Minute

// SilenceDetection is the evidence that the pools of one instance share to detect endpoints
// that have fallen silent. It is safe for concurrent use.
type SilenceDetection struct {
	mu          sync.Mutex
	dataCentres map[string]*dataCentre
}

// dataCentre is the evidence about one data centre.
type dataCentre struct {
	mu       sync.Mutex
	evidence silence.DataCentre
}

// NewSilenceDetection returns the shared evidence of the pools of one instance.
func NewSilenceDetection() *SilenceDetection {
	return &SilenceDetection{dataCentres: make(map[string]*dataCentre)}
}

func (s *SilenceDetection) dataCentre(name string) *dataCentre {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dataCentres[name]
	if d == nil {
		d = &dataCentre{}
		s.dataCentres[name] = d
	}
	return d
}

func (d *dataCentre) reached(sentAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evidence.Reached(sentAt)
}

func (d *dataCentre) current() silence.DataCentre {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evidence
}

// observation is what a member records to detect that its endpoint has fallen silent. It
// stays empty if the pool has no SilenceDetection.
type observation struct {
	evidence   silence.Evidence
	dataCentre *dataCentre
	// unreachableAt is when the last health check without a connection started.
	unreachableAt time.Duration
	// unlistedAt is when the store no longer listed the endpoint.
	unlistedAt time.Duration
	// reportedAt is when another instance's report last started checks, 0 for never.
	reportedAt time.Duration
	reason     SilenceReason
}

// SilenceReason is what completed the verdict on a silent endpoint.
type SilenceReason uint8

// The reasons. DataCentreReached: other endpoints of its data centre answer. MissingFromList:
// the store no longer lists it.
const (
	DataCentreReached SilenceReason = iota
	MissingFromList
)

// String returns the name used in logs and metrics.
func (r SilenceReason) String() string {
	if r == MissingFromList {
		return "unlisted"
	}
	return "silent"
}

// SilenceVerdict is the verdict that an endpoint has fallen silent, with its evidence.
type SilenceVerdict struct {
	Member *Member
	Reason SilenceReason
	// Repeated is the number of repeated packets, Checks that of health checks without a
	// connection.
	Repeated, Checks int
	// SilentFor is the time since the endpoint was last alive.
	SilentFor time.Duration
}

// SetSilenceDetection makes the pool detect endpoints that have fallen silent.
func (p *Pool) SetSilenceDetection(detection *SilenceDetection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detection = detection
	for _, m := range slices.Concat(p.members, p.unlisted) {
		p.assignDataCentre(m)
	}
}

// assignDataCentre makes a member share the evidence about its data centre if the pool detects
// silent endpoints. The caller holds the pool's lock.
func (p *Pool) assignDataCentre(m *Member) {
	if p.detection != nil {
		m.observed.dataCentre = p.detection.dataCentre(m.endpoint.DataCentre)
	}
}

// answered records that the endpoint was alive now and, unless sentAt is 0, that it answered
// a packet that was sent to it at sentAt. A silent endpoint becomes suspect again. The caller
// holds the pool's lock.
func (m *Member) answered(now, sentAt time.Duration) {
	if m.observed.dataCentre == nil {
		return
	}
	m.observed.evidence.Alive(now)
	if sentAt > 0 {
		m.observed.dataCentre.reached(sentAt)
	}
	m.silent.Store(false)
	if m.condition == Silent {
		m.setCondition(Suspect, now)
	}
}

// Silent reports whether the endpoint has fallen silent. It takes no lock.
func (m *Member) Silent() bool { return m.silent.Load() }

// SilenceReason returns what completed the last verdict on the endpoint.
func (m *Member) SilenceReason() SilenceReason {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.observed.reason
}

// PacketRepeated records that a caller has repeated a packet with data that was first sent
// to the endpoint at sentAt. It reports whether the repetition counts as evidence, so that the
// endpoint's health must be checked.
func (m *Member) PacketRepeated(now, sentAt time.Duration) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.packetRepeated(now, sentAt, silence.DataPacket)
}

// packetRepeated records a repeated packet. The caller holds the pool's lock.
func (m *Member) packetRepeated(now, sentAt time.Duration, packet silence.Packet) bool {
	if m.observed.dataCentre == nil || m.silent.Load() || !m.observed.evidence.PacketRepeated(now, max(sentAt, m.pool.resumedAt), packet) {
		return false
	}
	m.pool.question(m)
	return true
}

// question adds a member to those with evidence of silence. The caller holds the pool's lock.
func (p *Pool) question(m *Member) {
	if !slices.Contains(p.questioned, m) {
		p.questioned = append(p.questioned, m)
	}
}

// CheckConnected records a health check, started at startedAt, that connected to the
// endpoint, with or without a good response. A silent endpoint becomes suspect again.
func (m *Member) CheckConnected(now, startedAt time.Duration) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.answered(now, startedAt)
}

// CheckUnreachable records a health check, started at startedAt, that found no connection.
func (m *Member) CheckUnreachable(startedAt time.Duration) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if startedAt >= m.pool.resumedAt {
		m.observed.unreachableAt = max(m.observed.unreachableAt, startedAt)
		m.observed.evidence.Unreachable(startedAt)
	}
}

// CheckReplaced records a health check, started at startedAt, that another endpoint
// answered.
func (m *Member) CheckReplaced(startedAt time.Duration) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if startedAt >= m.pool.resumedAt {
		m.observed.evidence.Replaced(startedAt)
	}
}

// Answered records that the endpoint has acknowledged or answered a packet that was sent to
// it at sentAt on a flow that another instance opened.
func (m *Member) Answered(now, sentAt time.Duration) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.answered(now, sentAt)
}

// Reference returns an endpoint whose health check can show that the data centre of a member
// is reached, nil if none is needed or known: the one that was alive last among those that
// answered their last check.
func (m *Member) Reference(now time.Duration) *Member {
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.observed.dataCentre == nil || m.silent.Load() {
		return nil
	}
	d := m.observed.dataCentre.current()
	m.observed.evidence.Update(now, &d)
	if !m.observed.evidence.NeedsReference(now) {
		return nil
	}
	var reference *Member
	for _, other := range p.members {
		usable := other != m && other.observed.dataCentre == m.observed.dataCentre && other.mayBeReference(now)
		if usable && (reference == nil || other.observed.evidence.AliveAt() > reference.observed.evidence.AliveAt()) {
			reference = other
		}
	}
	return reference
}

// mayBeReference reports whether nothing suggests that the endpoint does not answer health
// checks. The caller holds the pool's lock.
func (m *Member) mayBeReference(now time.Duration) bool {
	e := &m.observed.evidence
	return m.condition < Suspect && !e.Questioned(now) && m.observed.unreachableAt <= e.AliveAt()
}

// DataCentreReached records that by now the data centre of a questioned endpoint may have
// been reached. It reports whether it was, so that a check that starts now can show that the
// endpoint is silent.
func (m *Member) DataCentreReached(now time.Duration) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.observed.dataCentre == nil || m.silent.Load() {
		return false
	}
	d := m.observed.dataCentre.current()
	return m.observed.evidence.DataCentreReached(now, &d)
}

// NeedsLastCheck reports whether the endpoint must be checked once more, because its data
// centre was reached only after its last check had started.
func (m *Member) NeedsLastCheck(now time.Duration) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return !m.silent.Load() && m.observed.evidence.NeedsLastCheck(now)
}

// MarkSilent marks the endpoints that have fallen silent and returns the verdicts on them.
// listComplete is set if an endpoint that is missing from the list no longer exists.
func (p *Pool) MarkSilent(now time.Duration, listComplete bool) []SilenceVerdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.questioned) == 0 {
		return nil
	}
	var verdicts []SilenceVerdict
	for _, m := range p.questioned {
		if verdict, silent := m.judge(now, listComplete); silent {
			verdicts = append(verdicts, verdict)
		}
	}
	p.questioned = slices.DeleteFunc(p.questioned, func(m *Member) bool { return m.unquestioned(now) })
	return verdicts
}

// unquestioned reports whether nothing is known any more that would make the endpoint
// silent. The caller holds the pool's lock.
func (m *Member) unquestioned(now time.Duration) bool {
	if m.silent.Load() {
		return !m.listed && now-m.conditionAt >= silentRetention
	}
	return !m.observed.evidence.Questioned(now)
}

// judge marks the endpoint if it has fallen silent. The caller holds the pool's lock.
func (m *Member) judge(now time.Duration, listComplete bool) (SilenceVerdict, bool) {
	if m.silent.Load() {
		return SilenceVerdict{}, false
	}
	e, d := &m.observed.evidence, m.observed.dataCentre.current()
	listing := silence.Listing{Missing: listComplete && !m.listed, Since: m.observed.unlistedAt}
	e.Update(now, &d)
	if !e.Silent(now, listing) {
		return SilenceVerdict{}, false
	}
	m.observed.reason = DataCentreReached
	if listing.Missing && !e.PathWorks() {
		m.observed.reason = MissingFromList
	}
	m.setCondition(Silent, now)
	m.silent.Store(true)
	verdict := SilenceVerdict{Member: m, Reason: m.observed.reason, SilentFor: now - max(m.aliveAt, e.AliveAt())}
	verdict.Repeated, verdict.Checks = e.Counts()
	return verdict, true
}

// DiscardSilence discards the evidence and the verdicts that endpoints have fallen silent,
// because the process has not run for a while.
func (p *Pool) DiscardSilence(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardSilence(now)
}

// discardSilence discards the evidence and the verdicts after a pause of the process. The
// caller holds the pool's lock.
func (p *Pool) discardSilence(now time.Duration) {
	p.resumedAt = now
	for _, m := range p.questioned {
		m.observed.evidence.Discard()
		m.silent.Store(false)
		if m.condition == Silent {
			m.setCondition(Suspect, now)
		}
	}
	p.questioned = nil
}
