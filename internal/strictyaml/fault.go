// Package strictyaml decodes YAML into structs and reports every unknown field,
// wrong type, wrong unit and missing field with file, line, result code and
// advice.
package strictyaml

import (
	"fmt"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Fault is one fault in a file.
type Fault struct {
	File    string          `json:"file"`
	Line    int             `json:"line"`
	Code    resultcode.Code `json:"result_code"`
	Message string          `json:"message"`
	// Advice states how to correct the fault.
	Advice string `json:"advice"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: code %d: %s; %s", f.File, f.Line, f.Code, f.Message, f.Advice)
}

// Position is the position in a file from which a struct was decoded. The decoder
// sets the fields of this type in every struct; they have the tag `yaml:"-"`.
type Position struct {
	File string
	Line int
	// Fields holds the line of each field that is present in the file.
	Fields map[string]int
}

// LineOf returns the line of a field, or the line of the struct if the field is
// absent.
func (p Position) LineOf(field string) int {
	if line, ok := p.Fields[field]; ok {
		return line
	}
	return p.Line
}

// Has reports whether the field is present in the file.
func (p Position) Has(field string) bool {
	_, ok := p.Fields[field]
	return ok
}

// Codes holds the result codes that a decoder uses for its faults.
type Codes struct {
	Syntax       resultcode.Code
	UnknownField resultcode.Code
	WrongType    resultcode.Code
	WrongUnit    resultcode.Code
	BadAddress   resultcode.Code
	MissingField resultcode.Code
	OutOfRange   resultcode.Code
}
