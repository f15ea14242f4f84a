package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names maps the terms used in this program to the names of the users' platform.
var names = loadNames()

func loadNames() map[string]string {
	loaded := map[string]string{}
	if err := json.Unmarshal(namesFile, &loaded); err != nil {
		panic(err)
	}
	return loaded
}

// name returns the platform's name of a term.
func name(term string) string {
	n, found := names[term]
	if !found {
		panic("no platform name for " + term)
	}
	return n
}

// fields returns a JSON object whose keys are given as terms.
func fields(pairs ...any) map[string]any {
	object := map[string]any{}
	for i := 0; i < len(pairs); i += 2 {
		object[name(pairs[i].(string))] = pairs[i+1]
	}
	return object
}
