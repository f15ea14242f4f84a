package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the way of one endpoint to the store. While it is cut, no byte passes. Bytes that
// were under way on an open connection are sent again after 0.2 s, and each time after twice
// as long, as TCP does; the first one after the cut arrives. A new connection that is opened
// during the cut never works.
type link struct {
	rec      *recorder
	listener net.Listener
	target   string

	mu       sync.Mutex
	cutFrom  time.Time
	cutUntil time.Time
}

func startLink(rec *recorder, target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{rec: rec, listener: listener, target: target}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) close() { _ = l.listener.Close() }

// cut partitions the link for a time.
func (l *link) cut(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutFrom = time.Now()
	l.cutUntil = l.cutFrom.Add(d)
}

// arrival returns when bytes that are sent now arrive.
func (l *link) arrival(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.cutFrom) || now.After(l.cutUntil) {
		return now
	}
	at := now
	for wait := 200 * time.Millisecond; at.Before(l.cutUntil); wait *= 2 {
		at = at.Add(wait)
	}
	return at
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		if now := time.Now(); l.arrival(now).After(now) {
			go func() {
				_, _ = io.Copy(io.Discard, near)
				_ = near.Close()
			}()
			continue
		}
		far, err := net.Dial("tcp4", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go l.copy(far, near, true)
		go l.copy(near, far, false)
	}
}

// copy passes bytes on. The end of a connection follows its bytes.
func (l *link) copy(to, from net.Conn, out bool) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if wait := time.Until(l.arrival(time.Now())); wait > 0 {
				l.rec.sayf("link: %d bytes held up for %.1f s, out %v", n, wait.Seconds(), out)
				time.Sleep(wait)
				l.rec.sayf("link: they arrive now")
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
