package controller

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/health"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

const (
	// probersPerEndpoint is the number of instances that probe each endpoint, so that
	// one of them may be disconnected or killed.
	probersPerEndpoint = 2
	minProbeInterval   = time.Second
	maxProbeInterval   = 3 * time.Second
	// probeSpacing times the number of probed endpoints is the probe interval,
	// within the limits above. A probe costs about 330 bytes, so the probes of up to
	// 8 endpoints take less than 1 KB/s; with 200 ms, those of 5 took 1.7 KB/s.
	probeSpacing = 350 * time.Millisecond
	probeTimeout = 800 * time.Millisecond
	// concurrentProbes bounds the probes that run at the same time.
	concurrentProbes = 16
	// maxHealthBodyBytes bounds the body that is read from an endpoint.
	maxHealthBodyBytes = 4096
)

// healthController probes the endpoints that rendezvous hashing assigns to this
// instance.
type healthController struct {
	*core
	client      *http.Client
	probeStates map[common.EndpointID]*health.ProbeState
	// version is the version of this instance's last report.
	version uint64
}

func newHealthController(c *core) *healthController {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	return &healthController{
		core:        c,
		client:      &http.Client{Transport: transport, Timeout: probeTimeout},
		probeStates: map[common.EndpointID]*health.ProbeState{},
	}
}

type probeTarget struct {
	id      common.EndpointID
	address netip.AddrPort
}

func (h *healthController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		targets := h.targets()
		started := time.Now()
		h.probeAll(ctx, targets)
		interval := time.Duration(len(targets)) * probeSpacing
		interval = min(max(interval, minProbeInterval), maxProbeInterval)
		sleep(ctx, interval-time.Since(started))
	}
	return nil
}

// targets returns the endpoints of the group that this instance probes.
func (h *healthController) targets() []probeTarget {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inForce == nil || h.machine.Self().State == common.MemberLeaving {
		return nil
	}
	live := []common.InstanceID{h.self}
	for _, update := range h.machine.Peers() {
		if update.State != common.MemberLeaving {
			live = append(live, update.ID)
		}
	}
	endpoints := h.inForce.release.EndpointsByID()
	var targets []probeTarget
	for i := range h.services {
		for j := range h.services[i].Endpoints {
			id := h.services[i].Endpoints[j].ID
			endpoint, found := endpoints[id]
			if found && slices.Contains(rendezvous(uint64(id), live, probersPerEndpoint), h.self) {
				targets = append(targets, probeTarget{id, endpoint.Health})
			}
		}
	}
	return targets
}

// rendezvous returns the n instances with the highest rendezvous weight for a key.
func rendezvous(key uint64, instances []common.InstanceID, n int) []common.InstanceID {
	weight := func(id common.InstanceID) uint64 {
		var b [12]byte
		binary.BigEndian.PutUint64(b[:8], key)
		binary.BigEndian.PutUint32(b[8:], uint32(id))
		return xxhash.Sum64(b[:])
	}
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b common.InstanceID) int {
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	return sorted[:min(n, len(sorted))]
}

func (h *healthController) probeAll(ctx context.Context, targets []probeTarget) {
	results := make([]health.Result, len(targets))
	semaphore := make(chan struct{}, concurrentProbes)
	var group sync.WaitGroup
	for i := range targets {
		semaphore <- struct{}{}
		group.Go(func() {
			results[i] = h.probe(ctx, targets[i].address)
			<-semaphore
		})
	}
	group.Wait()
	if ctx.Err() == nil {
		h.recordResults(targets, results)
	}
}

// healthBody is the body of GET /healthz.
type healthBody struct {
	Status string `json:"status"`
	Load   uint32 `json:"load"`
	Slots  uint32 `json:"slots"`
}

var healthStates = map[string]common.EndpointState{
	"up":       common.EndpointUp,
	"cold":     common.EndpointCold,
	"draining": common.EndpointDraining,
	"down":     common.EndpointDown,
}

func (h *healthController) probe(ctx context.Context, address netip.AddrPort) health.Result {
	target := "http://" + address.String() + "/healthz"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return health.Result{Failed: true}
	}
	h.countBytes("sent", len(target)+healthRequestBytes)
	response, err := h.client.Do(request)
	if err != nil {
		return health.Result{Failed: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBodyBytes))
	h.countBytes("received", len(body)+healthResponseBytes)
	if err != nil {
		return health.Result{Failed: true}
	}
	var decoded healthBody
	if json.Unmarshal(body, &decoded) != nil {
		return health.Result{Failed: true}
	}
	state, known := healthStates[decoded.Status]
	if !known {
		return health.Result{Failed: true}
	}
	if response.StatusCode != http.StatusOK && state != common.EndpointDraining {
		state = common.EndpointDown
	}
	return health.Result{State: state, Load: decoded.Load}
}

// countBytes counts the bytes of a probe as control traffic and deducts them from
// its budget.
func (h *healthController) countBytes(direction string, n int) {
	h.transport.CountOther(direction, "health", n)
}

// healthRequestBytes and healthResponseBytes estimate the HTTP, TCP and IP headers
// of a probe on a reused connection.
const (
	healthRequestBytes  = 140
	healthResponseBytes = 190
)

// recordResults records the results of one round of probes and removes the state of
// endpoints that this instance no longer probes.
func (h *healthController) recordResults(targets []probeTarget, results []health.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	probed := make(map[common.EndpointID]bool, len(targets))
	for i, target := range targets {
		probed[target.id] = true
		probeState := h.probeStates[target.id]
		if probeState == nil {
			probeState = &health.ProbeState{}
			h.probeStates[target.id] = probeState
		}
		state, load, ok := probeState.Observe(results[i])
		if ok {
			h.publishReport(target.id, state, load)
		}
	}
	for id := range h.probeStates {
		if !probed[id] {
			delete(h.probeStates, id)
		}
	}
}

func (h *healthController) publishReport(id common.EndpointID, state common.EndpointState, load uint32) {
	h.version++
	report := health.Report{
		Endpoint:    id,
		Prober:      h.self,
		Incarnation: h.machine.Self().Incarnation,
		Version:     h.version,
		State:       state,
		Load:        load,
	}
	before := h.health.Status(id, h.now())
	h.health.Merge(report, h.now())
	h.gossipQueue.addReport(report, h.now().Milliseconds())
	if h.health.Status(id, h.now()).State != before.State {
		h.snapshotChanged()
	}
}

func decodeReport(update *peerpb.EndpointUpdate) health.Report {
	return health.Report{
		Endpoint:    common.EndpointID(update.GetEndpoint()),
		Prober:      common.InstanceID(update.GetProber()),
		Incarnation: update.GetProberIncarnation(),
		Version:     update.GetVersion(),
		State:       common.EndpointState(update.GetState()),
		Load:        update.GetLoad(),
		Age:         time.Duration(update.GetAgeMs()) * time.Millisecond,
	}
}
