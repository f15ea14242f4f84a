package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// mostTime is how long a case may take.
const mostTime = 110 * time.Second

// Results of a case, as run.sh returns them.
const (
	held   = 0
	broken = 1
	failed = 2
)

// scenarios holds the cases by name. Each plays its disruption only if trouble is set, and
// returns whether the rule was broken.
var scenarios = map[string]func(s *site, trouble bool) (bool, error){
	"late-report":   lateReport,
	"other-writer":  otherWriter,
	"deep-entry":    deepEntry,
	"full-log":      fullLog,
	"second-answer": secondAnswer,
}

func main() {
	name := flag.String("case", "", "`name` of the scenario")
	record := flag.String("record", "record.txt", "record `file`")
	program := flag.String("program", "target/burdock-relayd", "the system's `program`")
	flag.Parse()
	os.Exit(play(*name, *record, *program))
}

func play(name, record, program string) int {
	scenario := scenarios[name]
	rec, err := newRecorder(record)
	if err != nil || scenario == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return failed
	}
	defer rec.close()
	s, err := newSite(rec, program)
	if err != nil {
		rec.sayf("the case could not run: %v", err)
		return failed
	}
	defer s.close()
	go s.guard()
	isBroken, err := scenario(s, os.Getenv("TROUBLE") != "0")
	good, all := s.served()
	rec.sayf("%d of %d requests were served", good, all)
	switch {
	case err != nil:
		rec.sayf("the case could not run: %v", err)
		return failed
	case isBroken:
		rec.sayf("the rule was broken")
		return broken
	}
	rec.sayf("the rule held")
	return held
}

// begin starts the endpoints, the daemons and the traffic, and lets them settle.
func begin(s *site, planPerZone, drawPerZone float64) error {
	if err := s.addServers(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if err := s.addDaemons(); err != nil {
		return err
	}
	s.traffic(planFetch, planPerZone, time.Second)
	if drawPerZone > 0 {
		s.traffic(layoutPull, drawPerZone, 3*time.Second)
	}
	s.rec.sayf("%d daemons in rotation, %d endpoints", len(s.daemons), len(s.servers))
	time.Sleep(settled + time.Second)
	return nil
}

// guard ends the processes of the system, and this one, if the case is told to stop or takes
// too long.
func (s *site) guard() {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-stops:
	case <-time.After(mostTime):
	}
	for _, d := range s.daemons {
		d.kill()
	}
	s.rec.sayf("the case could not run: it was stopped")
	s.rec.close()
	os.Exit(failed)
}
