package main

import (
	_ "embed"
	"encoding/json"
)

// The names that the platform's pages give to fields, headers and paths, and the
// configurations of the cases. They are kept out of the Go files, which use the field's terms.
var (
	//go:embed names.json
	namesText []byte
	//go:embed cold.json
	coldConfiguration []byte
	//go:embed desk.json
	deskConfiguration []byte
)

// names are the platform's names.
var names struct {
	SettingsVariable, NameHeader, ObjectsPath string
	More, Wait, StoreRevision                 string
	Slots, WarmUpLeft                         string
}

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
}
