// Package ctl implements burdockctl, the command-line tool for operators.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// ExitCode is the exit code of burdockctl, see docs/design.md section 9.
type ExitCode int

// Exit codes.
const (
	ExitDone        ExitCode = 0
	ExitFailed      ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitFaults      ExitCode = 3
	ExitConflict    ExitCode = 4
	ExitUnreachable ExitCode = 5
	ExitUnconfirmed ExitCode = 6
)

// Environment holds the inputs and outputs of the process that a command uses.
type Environment struct {
	Stdout, Stderr io.Writer
	// Getenv reads BURDOCKCTL_SETTINGS and USER.
	Getenv  func(string) string
	Version string
	// RetryInterval is the time between reads of the history while the outcome of
	// a publication is not confirmed.
	RetryInterval time.Duration
}

// DefaultRetryInterval is the RetryInterval of the burdockctl program. It keeps the
// reads of one operator below two a second.
const DefaultRetryInterval = 500 * time.Millisecond

// settingsEnvVar is the environment variable that holds the path of the settings
// file.
const settingsEnvVar = "BURDOCKCTL_SETTINGS"

const usageText = `usage: burdockctl COMMAND [flags] [arguments]

commands
  check FILE...      check a configuration, without a daemon
  diff FILE...       compare it with the release in force
  publish FILE...    publish it to all instances, or to none
  status             show instances, services and endpoints
  history            list accepted releases
  drain ENDPOINT...  stop new flows to endpoints
  undrain ENDPOINT...  allow new flows again
  explain CALLER DESTINATION  show where a burdock-relayd would send a request
  version            show the version

A FILE may be a directory: all its .yaml and .yml files are read.
Run "burdockctl COMMAND -h" for the flags and examples of a command.
Settings come from -settings or ` + settingsEnvVar + `.

exit codes
  0 done          3 check found faults   6 outcome not confirmed
  1 failed        4 conflict
  2 usage         5 unreachable
`

// command is one invocation of burdockctl.
type command struct {
	Environment
	flags     *flag.FlagSet
	arguments []string
	settings  *settings.Client
	api       adminpb.Administration

	settingsPath  string
	output        string
	server        string
	tokenFile     string
	caCertificate string
	timeout       time.Duration
	author        string
	note          string
	base          uint64
	limit         uint
	all           bool
	online        bool
	explain       explainFlags
}

type subcommand struct {
	run       func(*command, context.Context) error
	arguments string
	examples  []string
	// register defines the flags that only this command has.
	register func(*command)
	// needsServer is false for commands that work without a daemon.
	needsServer bool
}

var subcommands = map[string]subcommand{
	"check": {(*command).check, "FILE...", []string{
		"burdockctl check examples/office",
		"burdockctl check -online office/*.yaml",
	}, func(c *command) {
		c.flags.BoolVar(&c.online, "online", false, "also check against the release in force (quarantined addresses)")
	}, false},
	"diff": {(*command).diff, "FILE...", []string{"burdockctl diff examples/office"}, nil, true},
	"publish": {(*command).publish, "FILE...", []string{
		`burdockctl publish -note "two endpoints for Oita" examples/office`,
		"burdockctl publish -base 41 examples/office",
	}, func(c *command) {
		c.flags.StringVar(&c.author, "author", "", "name recorded in the release (default: author of the settings, else $USER)")
		c.flags.StringVar(&c.note, "note", "", "reason recorded in the release")
		c.flags.Uint64Var(&c.base, "base", 0, "release that the change starts from; 0 is the newest one")
	}, true},
	"status": {(*command).status, "", []string{"burdockctl status", "burdockctl status -all", "burdockctl status -o json"}, func(c *command) {
		c.flags.BoolVar(&c.all, "all", false, "list all instances and endpoints, not only those that need attention")
	}, true},
	"history": {(*command).history, "", []string{"burdockctl history -limit 100"}, func(c *command) {
		c.flags.UintVar(&c.limit, "limit", 20, "number of releases, newest first")
	}, true},
	"drain":   {(*command).drain, "ENDPOINT...", []string{"burdockctl drain crew-desk-oita-1"}, nil, true},
	"undrain": {(*command).undrain, "ENDPOINT...", []string{"burdockctl undrain crew-desk-oita-1"}, nil, true},
	"explain": {(*command).runExplain, "CALLER DESTINATION", explainExamples, registerExplain, false},
	"version": {(*command).version, "", []string{"burdockctl version"}, nil, false},
}

// failure is an error with an exit code. An empty text means that the command has
// already printed the reason.
type failure struct {
	exit ExitCode
	code resultcode.Code
	text string
}

func (f *failure) Error() string { return f.text }

func newFailure(exit ExitCode, code resultcode.Code, format string, args ...any) error {
	return &failure{exit, code, fmt.Sprintf(format, args...)}
}

// Run executes one command line, without the program name.
func Run(ctx context.Context, args []string, environment Environment) ExitCode {
	if len(args) == 0 {
		fmt.Fprint(environment.Stderr, usageText)
		return ExitUsage
	}
	if slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		fmt.Fprint(environment.Stdout, usageText)
		return ExitDone
	}
	sub, ok := subcommands[args[0]]
	if !ok {
		fmt.Fprintf(environment.Stderr, "burdockctl: unknown command %q\n\n%s", args[0], usageText)
		return ExitUsage
	}
	c := &command{Environment: environment}
	c.defineFlags(args[0], sub)
	if err := c.parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitDone
		}
		return ExitUsage
	}
	return c.reportResult(c.execute(ctx, sub))
}

func (c *command) defineFlags(name string, sub subcommand) {
	c.flags = flag.NewFlagSet("burdockctl "+name, flag.ContinueOnError)
	c.flags.SetOutput(c.Stderr)
	c.flags.StringVar(&c.output, "o", "text", "output: text or json")
	if name != "version" && name != "explain" {
		c.flags.StringVar(&c.settingsPath, "settings", c.Getenv(settingsEnvVar), "settings file (YAML)")
		c.flags.StringVar(&c.server, "server", "", "URL of an administration API (default "+settings.DefaultServer+")")
		c.flags.StringVar(&c.tokenFile, "token-file", "", "file with the bearer token")
		c.flags.StringVar(&c.caCertificate, "ca", "", "PEM file with the CA certificate of the server")
		c.flags.DurationVar(&c.timeout, "timeout", 0, "bound of one request, or of the whole publication")
	}
	if sub.register != nil {
		sub.register(c)
	}
	c.flags.Usage = func() {
		fmt.Fprintf(c.Stderr, "usage: %s [flags] %s\n\nexamples\n", c.flags.Name(), sub.arguments)
		for _, example := range sub.examples {
			fmt.Fprintf(c.Stderr, "  %s\n", example)
		}
		fmt.Fprint(c.Stderr, "\nflags\n")
		c.flags.PrintDefaults()
	}
}

// parse accepts flags before, between and after the arguments. Everything
// after "--" is an argument.
func (c *command) parse(args []string) error {
	for {
		if err := c.flags.Parse(args); err != nil {
			return err
		}
		rest := c.flags.Args()
		if len(rest) == 0 {
			break
		}
		if ended := len(args) - len(rest); ended > 0 && args[ended-1] == "--" {
			c.arguments = append(c.arguments, rest...)
			break
		}
		c.arguments = append(c.arguments, rest[0])
		args = rest[1:]
	}
	if c.output != "text" && c.output != "json" {
		fmt.Fprintf(c.Stderr, "burdockctl: -o %s: write text or json\n", c.output)
		return errors.New("unknown output")
	}
	return nil
}

func (c *command) execute(ctx context.Context, sub subcommand) error {
	if sub.arguments == "" && len(c.arguments) > 0 {
		return newFailure(ExitUsage, resultcode.AdminBadRequest, "%s takes no argument %q", c.flags.Name(), c.arguments[0])
	}
	if sub.arguments != "" && len(c.arguments) == 0 {
		return newFailure(ExitUsage, resultcode.AdminBadRequest, "%s needs %s; see %s -h", c.flags.Name(), sub.arguments, c.flags.Name())
	}
	if sub.needsServer || c.online {
		if err := c.connect(); err != nil {
			return err
		}
	}
	return sub.run(c, ctx)
}

// reportResult prints the error, if any, and returns the exit code.
func (c *command) reportResult(err error) ExitCode {
	if err == nil {
		return ExitDone
	}
	f := toFailure(err)
	if f.text == "" {
		return f.exit
	}
	if c.output == "json" {
		c.printJSON(map[string]any{"error": map[string]any{"result_code": f.code, "message": f.text, "exit_code": f.exit}})
		return f.exit
	}
	fmt.Fprintln(c.Stderr, "burdockctl: "+f.text)
	return f.exit
}

func (c *command) version(context.Context) error {
	if c.output == "json" {
		c.printJSON(map[string]string{"version": c.Version})
		return nil
	}
	fmt.Fprintln(c.Stdout, "burdockctl "+c.Version)
	return nil
}

func (c *command) drain(ctx context.Context) error { return c.setDrain(ctx, true) }

func (c *command) undrain(ctx context.Context) error { return c.setDrain(ctx, false) }

func (c *command) setDrain(ctx context.Context, draining bool) error {
	var results []map[string]any
	var firstErr error
	for _, endpoint := range c.arguments {
		response, err := c.drainOne(ctx, endpoint, draining)
		if err != nil {
			return err
		}
		results = append(results, map[string]any{
			"endpoint": endpoint, "draining": draining, "result_code": response.GetResultCode(),
			"message": response.GetMessage(), "stored": response.GetStored(),
		})
		if response.GetResultCode() != 0 && firstErr == nil {
			firstErr = newFailure(ExitFailed, resultcode.Code(response.GetResultCode()), "%s: code %d: %s",
				endpoint, response.GetResultCode(), response.GetMessage())
		}
		if c.output == "text" && response.GetResultCode() == 0 {
			fmt.Fprintf(c.Stdout, "%s: draining %t, %s\n", endpoint, draining, response.GetMessage())
		}
	}
	if c.output == "json" {
		c.printJSON(map[string]any{"drains": results})
		if firstErr != nil {
			return &failure{exit: ExitFailed}
		}
	}
	return firstErr
}

func (c *command) drainOne(ctx context.Context, endpoint string, draining bool) (*adminpb.DrainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	return c.api.Drain(ctx, &adminpb.DrainRequest{Endpoint: endpoint, Draining: draining})
}
