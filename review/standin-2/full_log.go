package main

import (
	"os"
	"syscall"
	"time"
)

// fullLog: the reader of one daemon's log stops reading, so that the pipe fills up. Then the
// platform stops that daemon as it always does.
func fullLog(s *site, trouble bool) (bool, error) {
	if trouble {
		reader, writer, err := os.Pipe()
		if err != nil {
			return false, err
		}
		defer reader.Close()
		defer writer.Close()
		s.outputOfFirst = writer
	}
	if err := begin(s, 90, 0); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	first := s.daemons[0]
	s.rec.sayf("%s gets SIGTERM", first.name)
	started := time.Now()
	first.signal(syscall.SIGTERM)
	for time.Since(started) < grace && !first.over() {
		time.Sleep(20 * time.Millisecond)
	}
	s.rec.sayf("%s has ended within %v: %v", first.name, time.Since(started).Round(time.Millisecond), first.over())
	return !first.over(), nil
}
