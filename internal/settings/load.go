// Package settings loads and checks the YAML settings files of the programs.
// Unknown fields, wrong units and unsafe combinations are errors with file, line,
// result code and advice.
package settings

import (
	"fmt"
	"io"
	"os"
	"strings"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// maxFileBytes bounds a settings file; the largest sample has 2 KB.
const maxFileBytes = 64 << 10

var codes = strictyaml.Codes{
	Syntax:       resultcode.SettingsSyntax,
	UnknownField: resultcode.SettingsUnknownField,
	WrongType:    resultcode.SettingsWrongType,
	WrongUnit:    resultcode.SettingsWrongUnit,
	BadAddress:   resultcode.SettingsBadAddress,
	MissingField: resultcode.SettingsMissingField,
	OutOfRange:   resultcode.SettingsOutOfRange,
}

// Error lists the faults of a settings file.
type Error struct {
	Faults []strictyaml.Fault
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first fault as an error with its result code.
func (e *Error) Unwrap() error {
	return resultcode.Errorf(e.Faults[0].Code, "%s", e.Faults[0].Message)
}

// programSettings is implemented by the settings of every program.
type programSettings interface {
	// setDefaults sets the defaults that do not depend on other fields. It runs
	// before decoding.
	setDefaults()
	// completeAndCheck sets the defaults that depend on other fields and reports
	// faults. It runs only if decoding found no faults.
	completeAndCheck(report reporter)
}

// reporter records a fault of one field, with the field's line.
type reporter func(position strictyaml.Position, field string, code resultcode.Code, advice, format string, args ...any)

// Load reads, decodes and checks the settings file of one program: Entry,
// Control, Relay or Client. The error is an *Error.
func Load[T any](path string) (*T, error) {
	content, err := readFile(path)
	if err != nil {
		return nil, &Error{Faults: []strictyaml.Fault{{
			File: path, Line: 1, Code: resultcode.SettingsUnreadable, Message: err.Error(),
			Advice: "give the path of a readable settings file",
		}}}
	}
	return Decode[T](path, content)
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxFileBytes {
		return nil, fmt.Errorf("%s is larger than %d bytes", path, maxFileBytes)
	}
	return content, nil
}

// Decode decodes and checks the content of a settings file; errors refer to the
// file by name. The error is an *Error. Decode panics if T is not a settings type.
func Decode[T any](name string, content []byte) (*T, error) {
	target := new(T)
	settings, ok := any(target).(programSettings)
	if !ok {
		panic(fmt.Sprintf("settings: %T is not a settings type", target))
	}
	settings.setDefaults()
	decoder := &strictyaml.Decoder{File: name, Codes: codes}
	roots := decoder.Documents(content)
	if len(decoder.Faults) == 0 && len(roots) != 1 {
		decoder.Add(1, strictyaml.Fault{
			Code: resultcode.SettingsSyntax, Message: fmt.Sprintf("the file has %d documents", len(roots)),
			Advice: "write exactly one YAML document",
		})
	}
	if len(decoder.Faults) == 0 {
		decoder.Struct(roots[0], target)
	}
	if len(decoder.Faults) == 0 {
		settings.completeAndCheck(func(position strictyaml.Position, field string, code resultcode.Code, advice, format string, args ...any) {
			decoder.Add(position.LineOf(field), strictyaml.Fault{Code: code, Message: fmt.Sprintf(format, args...), Advice: advice})
		})
	}
	if len(decoder.Faults) > 0 {
		return nil, &Error{Faults: decoder.Faults}
	}
	return target, nil
}
