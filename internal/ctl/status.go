package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// lineWidth is the maximum length of a line of status and history, in columns: the
// width of a terminal on a phone.
const lineWidth = 40

// maxUnfilteredList is the longest list that status shows in full without -all.
// Longer lists omit instances that serve normally and services whose endpoints are
// all up.
const maxUnfilteredList = 10

// hashDigits is the number of hexadecimal digits of a hash that are shown; 48 bits
// identify a release.
const hashDigits = 12

func (c *command) status(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	response, err := c.api.Status(ctx, &adminpb.StatusRequest{})
	if err != nil {
		return err
	}
	if c.output == "json" {
		return c.printProto(response)
	}
	printStatus(c.Stdout, response, c.all)
	return nil
}

// wrappedWriter writes lines that are wrapped at lineWidth.
type wrappedWriter struct{ output io.Writer }

// printLine writes text with the given indentation in columns. Continuation lines
// are indented by two more columns; a word that is longer than a line is split.
func (w wrappedWriter) printLine(indent int, format string, args ...any) {
	current := strings.Repeat(" ", indent)
	hangingIndent := current + "  "
	empty := true
	for _, field := range strings.Fields(replaceUnprintable(fmt.Sprintf(format, args...))) {
		word := []rune(field)
		if !empty && utf8.RuneCountInString(current)+1+len(word) > lineWidth {
			fmt.Fprintln(w.output, current)
			current, empty = hangingIndent, true
		}
		if !empty {
			current += " "
		}
		for room := lineWidth - utf8.RuneCountInString(current); len(word) > room; room = lineWidth - len(hangingIndent) {
			fmt.Fprintln(w.output, current+string(word[:room]))
			word = word[room:]
			current = hangingIndent
		}
		current += string(word)
		empty = false
	}
	fmt.Fprintln(w.output, current)
}

// replaceUnprintable replaces characters that are not printable by question marks:
// names and notes of other operators must not send escape sequences to the
// terminal.
func replaceUnprintable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}

func printStatus(output io.Writer, status *adminpb.StatusResponse, all bool) {
	w := wrappedWriter{output}
	findings := collectFindings(status)
	if len(findings) == 0 {
		w.printLine(0, "OK")
	} else {
		w.printLine(0, "ATTENTION: %d findings", len(findings))
	}
	for _, finding := range findings {
		w.printLine(0, "! %s", finding)
	}
	w.printRelease(status)
	w.printInstances(status, all)
	w.printServices(status, all)
	w.printInputs(status)
}

// printRelease prints the release in force, the data centre of the instance that
// returned the status, and whether its membership view is settled.
func (w wrappedWriter) printRelease(status *adminpb.StatusResponse) {
	if status.GetRelease() == 0 {
		w.printLine(0, "release none")
	} else {
		w.printLine(0, "release %d %s", status.GetRelease(), shortHash(status.GetReleaseHash()))
	}
	view := "settled"
	if !status.GetSettled() {
		view = "not settled"
	}
	w.printLine(0, "seen from %s, view %s", status.GetDataCentre(), view)
}

func shortHash(hash string) string {
	return hash[:min(len(hash), hashDigits)]
}

// collectFindings returns the conditions that need an operator's attention, most
// severe first. docs/OPERATIONS.md explains each of them.
func collectFindings(status *adminpb.StatusResponse) []string {
	var findings []string
	add := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	if count := status.GetInvariantViolations(); count > 0 {
		add("%d invariant violations: report them", count)
	}
	if status.GetRelease() == 0 {
		add("no release is in force")
	}
	for _, instance := range status.GetInstances() {
		switch {
		case slices.Contains([]string{"dead", "suspect", "unanswered"}, instance.GetState()):
			add("%s is %s", instance.GetName(), instance.GetState())
		case instance.GetFenced():
			add("%s is fenced", instance.GetName())
		case hasOlderRelease(instance, status):
			add("%s has release %d", instance.GetName(), instance.GetRelease())
		}
	}
	for _, service := range groupByService(status) {
		switch down := service.counts["down"]; {
		case down == len(service.endpoints):
			add("%s: all %d endpoints are down", service.name, down)
		case down > 0:
			add("%s: %d of %d endpoints are down", service.name, down, len(service.endpoints))
		}
	}
	for _, input := range status.GetInputs() {
		if !isFresh(input) {
			add("input %s is %s old: %s", input.GetName(), formatAge(input.GetAgeMs()), input.GetState())
		}
	}
	if !status.GetSettled() {
		add("view not settled: new flows follow the hash only")
	}
	return findings
}

// hasOlderRelease reports whether a serving instance has an older release in force
// than the instance that returned the status. Release 0 means that the release is
// unknown.
func hasOlderRelease(instance *adminpb.InstanceStatus, status *adminpb.StatusResponse) bool {
	return instance.GetRelease() != 0 && instance.GetRelease() < status.GetRelease() && instance.GetState() == "serving"
}

func isFresh(input *adminpb.InputStatus) bool {
	return input.GetState() == "ok" || input.GetState() == ""
}

// formatAge formats a duration in at most six characters, such as 0.4s, 95s or 3h
// (longer from eleven years).
func formatAge(milliseconds uint64) string {
	switch seconds := milliseconds / 1000; {
	case milliseconds < 10_000:
		return fmt.Sprintf("%d.%ds", seconds, milliseconds%1000/100)
	case seconds < 120:
		return fmt.Sprintf("%ds", seconds)
	case seconds < 7_200:
		return fmt.Sprintf("%dm", seconds/60)
	default:
		return fmt.Sprintf("%dh", seconds/3_600)
	}
}

// printInstances prints the instances. Without all, a list longer than
// maxUnfilteredList omits other instances that serve normally.
func (w wrappedWriter) printInstances(status *adminpb.StatusResponse, all bool) {
	instances := status.GetInstances()
	if len(instances) == 0 {
		return
	}
	serving, hidden := 0, 0
	for _, instance := range instances {
		if instance.GetState() == "serving" {
			serving++
		}
	}
	w.printLine(0, "INSTANCES %d of %d serving", serving, len(instances))
	for _, instance := range instances {
		ordinary := instance.GetState() == "serving" && !instance.GetSelf() && !instance.GetFenced() && !hasOlderRelease(instance, status)
		if ordinary && !all && len(instances) > maxUnfilteredList {
			hidden++
			continue
		}
		w.printInstance(instance)
	}
	if hidden > 0 {
		w.printLine(0, "%d more serving, see -all", hidden)
	}
}

// printInstance prints one instance; for the instance that returned the status,
// also its flows and control traffic.
func (w wrappedWriter) printInstance(instance *adminpb.InstanceStatus) {
	mark, release := "", "r?"
	if instance.GetSelf() {
		mark = "*"
	}
	if instance.GetRelease() > 0 {
		release = fmt.Sprintf("r%d", instance.GetRelease())
	}
	w.printLine(0, "%s%s %s %s", instance.GetName(), mark, instance.GetState(), release)
	if instance.GetSelf() {
		w.printLine(2, "%s flows, exceptions %s own %s held, %sB/s", abbreviate(instance.GetOpenFlows()),
			abbreviate(instance.GetExceptionsOwned()), abbreviate(instance.GetExceptionsHeld()), abbreviate(instance.GetControlBytesPerSecond()))
	}
}

// abbreviate formats a number in at most five characters, such as 9600, 12k or 3M
// (longer from ten billion).
func abbreviate(number uint64) string {
	switch {
	case number < 10_000:
		return fmt.Sprint(number)
	case number < 10_000_000:
		return fmt.Sprintf("%dk", number/1_000)
	default:
		return fmt.Sprintf("%dM", number/1_000_000)
	}
}

// serviceEndpoints holds the endpoints of a service and their number by state.
type serviceEndpoints struct {
	name      string
	endpoints []*adminpb.EndpointStatus
	counts    map[string]int
}

func groupByService(status *adminpb.StatusResponse) []*serviceEndpoints {
	byName := map[string]*serviceEndpoints{}
	var services []*serviceEndpoints
	for _, endpoint := range status.GetEndpoints() {
		service, ok := byName[endpoint.GetService()]
		if !ok {
			service = &serviceEndpoints{name: endpoint.GetService(), counts: map[string]int{}}
			byName[service.name] = service
			services = append(services, service)
		}
		service.endpoints = append(service.endpoints, endpoint)
		// A remark may follow the state, as in "up (no recent report)".
		state, _, _ := strings.Cut(endpoint.GetState(), " ")
		service.counts[state]++
	}
	slices.SortFunc(services, func(a, b *serviceEndpoints) int { return strings.Compare(a.name, b.name) })
	return services
}

// printServices prints the services and their endpoints. Without all, it omits
// endpoints that are up and, from a list longer than maxUnfilteredList, services
// whose endpoints are all up.
func (w wrappedWriter) printServices(status *adminpb.StatusResponse, all bool) {
	services := groupByService(status)
	if len(services) > 0 {
		w.printLine(0, "SERVICES %d", len(services))
	}
	hidden := 0
	for _, service := range services {
		if !all && len(services) > maxUnfilteredList && service.counts["up"] == len(service.endpoints) {
			hidden++
			continue
		}
		w.printLine(0, "%s %s", service.name, formatStateCounts(service))
		for _, endpoint := range service.endpoints {
			if all || endpoint.GetState() != "up" {
				w.printLine(2, "%s %s", endpoint.GetName(), endpoint.GetState())
				w.printLine(4, "load %d (%s old), %s flows", endpoint.GetLoad(), formatAge(uint64(endpoint.GetLoadAgeMs())), abbreviate(uint64(endpoint.GetOpenFlows())))
			}
		}
	}
	if hidden > 0 {
		w.printLine(0, "%d more with all endpoints up, see -all", hidden)
	}
}

func formatStateCounts(service *serviceEndpoints) string {
	var parts []string
	for _, state := range []string{"up", "cold", "draining", "down"} {
		if count := service.counts[state]; count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count, state))
		}
	}
	return strings.Join(parts, ", ")
}

// printInputs prints the state and age of the inputs.
func (w wrappedWriter) printInputs(status *adminpb.StatusResponse) {
	if len(status.GetInputs()) > 0 {
		w.printLine(0, "INPUTS")
	}
	for _, input := range status.GetInputs() {
		w.printLine(0, "%s %s %s", input.GetName(), input.GetState(), formatAge(input.GetAgeMs()))
	}
}

func (c *command) history(ctx context.Context) error {
	response, err := c.readHistory(ctx, uint32(min(c.limit, 1<<31)))
	if err != nil {
		return err
	}
	if c.output == "json" {
		return c.printProto(response)
	}
	if len(response.GetReleases()) == 0 {
		fmt.Fprintln(c.Stdout, "no release was accepted yet")
		return nil
	}
	w := wrappedWriter{c.Stdout}
	for _, release := range response.GetReleases() {
		mark := ""
		if release.GetInForce() {
			mark = " IN FORCE"
		}
		w.printLine(0, "%d %s%s", release.GetNumber(), release.GetAuthor(), mark)
		w.printLine(2, "%s", strings.TrimSpace(release.GetAcceptedAt()+" "+shortHash(release.GetHash())))
		if release.GetNote() != "" {
			w.printLine(2, "%s", release.GetNote())
		}
	}
	return nil
}
