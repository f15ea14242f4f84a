// Command rig plays the users' platform around real burdock-relayd processes on loopback
// addresses: the store, the endpoints, the routers and the clients. Each scenario is one
// case of the review.
package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// wire holds the platform's names by the short names in names.txt.
var wire = parseNames(namesText)

func parseNames(text string) map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(text) {
		if short, name, found := strings.Cut(strings.TrimSpace(line), " "); found && short != "#" {
			names[short] = name
		}
	}
	return names
}
