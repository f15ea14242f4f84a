package ctl

import (
	"context"
	"fmt"
	"strings"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

func (c *command) check(ctx context.Context) error {
	files, err := readFiles(c.arguments)
	if err != nil {
		return err
	}
	configuration, faults := config.Parse(files)
	if len(faults) > 0 {
		return c.reportFaults(faults)
	}
	if c.online {
		if err := c.checkOnline(ctx, files); err != nil {
			return err
		}
	}
	if c.output == "json" {
		c.printJSON(map[string]any{"faults": []config.Fault{}, "hash": configuration.Hash()})
		return nil
	}
	fmt.Fprintf(c.Stdout, "no faults: %d services, %d endpoints\nhash %s\n",
		len(configuration.Services), endpointCount(configuration), configuration.Hash())
	return nil
}

func endpointCount(configuration *config.Configuration) int {
	count := 0
	for i := range configuration.BackendSets {
		count += len(configuration.BackendSets[i].Endpoints)
	}
	return count
}

func (c *command) checkOnline(ctx context.Context, files []config.File) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	response, err := c.api.Check(ctx, &adminpb.CheckRequest{Files: filesToProto(files)})
	if err != nil {
		return err
	}
	if len(response.GetFaults()) > 0 {
		return c.reportFaults(faultsFromProto(response.GetFaults()))
	}
	return nil
}

// reportFaults prints the faults and returns the error of a failed check.
func (c *command) reportFaults(faults []config.Fault) error {
	if c.output == "json" {
		c.printJSON(map[string]any{"faults": faults})
		return &failure{exit: ExitFaults}
	}
	for _, fault := range faults {
		if fault.File == "" {
			fmt.Fprintf(c.Stdout, "code %d: %s; %s\n", fault.Code, fault.Message, fault.Advice)
			continue
		}
		fmt.Fprintln(c.Stdout, fault)
	}
	return newFailure(ExitFaults, faults[0].Code, "%d faults; nothing was published", len(faults))
}

func (c *command) diff(ctx context.Context) error {
	files, err := c.readAndCheckFiles()
	if err != nil {
		return err
	}
	response, err := c.remoteDiff(ctx, files)
	if err != nil {
		return err
	}
	if c.output == "json" {
		return c.printProto(response)
	}
	c.printChanges(response)
	return nil
}

// readAndCheckFiles reads the files and checks them locally, before anything is
// sent.
func (c *command) readAndCheckFiles() ([]config.File, error) {
	files, err := readFiles(c.arguments)
	if err != nil {
		return nil, err
	}
	if _, faults := config.Parse(files); len(faults) > 0 {
		return nil, c.reportFaults(faults)
	}
	return files, nil
}

func (c *command) remoteDiff(ctx context.Context, files []config.File) (*adminpb.DiffResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	response, err := c.api.Diff(ctx, &adminpb.DiffRequest{Files: filesToProto(files)})
	if err != nil {
		return nil, err
	}
	if len(response.GetFaults()) > 0 {
		return nil, c.reportFaults(faultsFromProto(response.GetFaults()))
	}
	return response, nil
}

func (c *command) printChanges(response *adminpb.DiffResponse) {
	if len(response.GetChanges()) == 0 {
		fmt.Fprintf(c.Stdout, "no changes from release %d\n", response.GetRelease())
		return
	}
	fmt.Fprintf(c.Stdout, "%d changes from release %d\n", len(response.GetChanges()), response.GetRelease())
	c.printChangeLines(response.GetChanges())
}

func (c *command) printChangeLines(changes []*adminpb.Change) {
	signs := map[string]string{config.ActionAdded: "+", config.ActionRemoved: "-", config.ActionChanged: "~"}
	for _, change := range changes {
		fmt.Fprintf(c.Stdout, "%s %s %s\n", signs[change.GetAction()], replaceUnprintable(change.GetKind()), replaceUnprintable(change.GetName()))
		for detail := range strings.SplitSeq(change.GetDetail(), "; ") {
			if detail != "" {
				fmt.Fprintf(c.Stdout, "    %s\n", replaceUnprintable(detail))
			}
		}
	}
}
