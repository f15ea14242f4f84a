package main

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run, and which rules were broken.
type record struct {
	mu       sync.Mutex
	started  time.Time
	file     *os.File
	breaches []string
	// holder is the endpoint of each open flow, by the client's end.
	holder map[netip.AddrPort]*endpoint
	runs   map[string]int
	// onSyn is called with each packet that opens a flow at an endpoint.
	onSyn func(e *endpoint, p *packet)
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, holder: map[netip.AddrPort]*endpoint{}, runs: map[string]int{}}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (r *record) breach(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, rule)
	r.line("RULE BROKEN, "+rule+": "+format, args...)
}

func (r *record) opened(client netip.AddrPort, e *endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder[client] = e
}

func (r *record) holderOf(client netip.AddrPort) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder[client]
}

func (r *record) synArrived(e *endpoint, p *packet) {
	r.mu.Lock()
	onSyn := r.onSyn
	r.mu.Unlock()
	if onSyn != nil {
		onSyn(e, p)
	}
}

func (r *record) ran(id string, e *endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.line("%s runs %s", e.name, id)
}

// close writes the result and returns the exit code.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.breaches) == 0 {
		r.line("no rule was broken")
		return 0
	}
	r.line("broken: %s (%d times)", strings.Join(r.breaches[:1], ""), len(r.breaches))
	return 1
}
