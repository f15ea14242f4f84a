package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Decoder decodes the documents of one file and collects the faults in Faults.
//
// It uses these tags of struct fields:
//   - yaml: the name of the field, "-" for a field that is not decoded, or
//     ",inline" for an embedded struct
//   - required: "true" for a field that must be present
//   - min and max: the bounds of a value, written as in the file
//   - oneof: the permitted values, separated by spaces
//   - rounded: "true" for a duration that is rounded down to milliseconds; other
//     durations must be whole milliseconds
type Decoder struct {
	// File is the name of the file in faults.
	File   string
	Codes  Codes
	Faults []Fault
}

var (
	// lineNumber matches the line number in error messages of the YAML library.
	lineNumber = regexp.MustCompile(`line (\d+): `)
	// zeroBasedLineError matches the errors in which the library counts lines
	// from 0. In all other errors it counts them from 1.
	zeroBasedLineError = regexp.MustCompile(`^did not find expected (key|node content|',' or|'-' indicator|<)`)
	// unknownAnchor matches an error that the library reports without a line.
	unknownAnchor = regexp.MustCompile(`^unknown anchor '(.*)' referenced`)
)

// Documents returns the root nodes of the documents in the content, without empty
// documents. After a syntax error it adds a fault and returns the documents before
// the error.
func (d *Decoder) Documents(content []byte) []*yaml.Node {
	var roots []*yaml.Node
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return roots
		}
		if err != nil {
			d.addSyntaxFault(err, content)
			return roots
		}
		if root := rootOf(&document); root != nil {
			roots = append(roots, root)
		}
	}
}

// rootOf returns the root node of a document, or nil if the document is empty.
func rootOf(document *yaml.Node) *yaml.Node {
	if document.Kind != yaml.DocumentNode || len(document.Content) == 0 {
		return nil
	}
	root := document.Content[0]
	if root.Kind == yaml.ScalarNode && root.Tag == "!!null" {
		return nil
	}
	return root
}

func (d *Decoder) addSyntaxFault(err error, content []byte) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if match := lineNumber.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = strings.Replace(text, match[0], "", 1)
		if zeroBasedLineError.MatchString(text) {
			line++
		}
	}
	if match := unknownAnchor.FindStringSubmatch(text); match != nil {
		line = lineOf(content, "*"+match[1])
	}
	d.Add(line, Fault{
		Code: d.Codes.Syntax, Message: "not valid YAML: " + text,
		Advice: "correct the indentation or the quotes near this line",
	})
}

// lineOf returns the line of the first occurrence of the text, or 1 if the text
// does not occur.
func lineOf(content []byte, text string) int {
	before, _, found := bytes.Cut(content, []byte(text))
	if !found {
		return 1
	}
	return 1 + bytes.Count(before, []byte("\n"))
}

// Add adds a fault and sets its file and line.
func (d *Decoder) Add(line int, fault Fault) {
	fault.File = d.File
	fault.Line = line
	d.Faults = append(d.Faults, fault)
}

// Struct decodes a mapping into the struct that target points to. Fields that are
// absent from the mapping keep their values. Fields named in ignored are accepted
// but not decoded.
func (d *Decoder) Struct(node *yaml.Node, target any, ignored ...string) {
	d.decodeStruct(node, reflect.ValueOf(target).Elem(), "", ignored)
}

type fieldInfo struct {
	index    []int
	name     string
	field    reflect.StructField
	required bool
}

// fieldsOf returns the fields of a struct type, including those of embedded
// structs with the option inline.
func fieldsOf(t reflect.Type) []fieldInfo {
	var fields []fieldInfo
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if name == "" || name == "-" || !isInlined(t, field.Index) {
			continue
		}
		fields = append(fields, fieldInfo{field.Index, name, field, field.Tag.Get("required") == "true"})
	}
	return fields
}

// isInlined reports whether all embedded structs on the path to a field have the
// option inline.
func isInlined(t reflect.Type, index []int) bool {
	for _, i := range index[:len(index)-1] {
		outer := t.Field(i)
		if outer.Tag.Get("yaml") != ",inline" {
			return false
		}
		t = outer.Type
	}
	return true
}

// decodeStruct decodes a mapping into a struct and reports unknown, duplicate and
// missing fields.
func (d *Decoder) decodeStruct(node *yaml.Node, value reflect.Value, path string, ignored []string) {
	if node.Kind != yaml.MappingNode {
		d.addWrongType(node, path, "a mapping of fields")
		return
	}
	fields := fieldsOf(value.Type())
	position := Position{File: d.File, Line: node.Line, Fields: make(map[string]int, len(node.Content)/2)}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, item := node.Content[i], node.Content[i+1]
		if position.Has(key.Value) {
			d.Add(key.Line, Fault{
				Code: d.Codes.Syntax, Message: fmt.Sprintf("field %s is defined more than once", joinPath(path, key.Value)),
				Advice: "keep one of the two",
			})
			continue
		}
		position.Fields[key.Value] = key.Line
		d.decodeField(fields, key, item, value, path, ignored)
	}
	for _, field := range fields {
		if field.required && !position.Has(field.name) {
			d.Add(node.Line, Fault{
				Code: d.Codes.MissingField, Message: fmt.Sprintf("field %s is missing", joinPath(path, field.name)),
				Advice: fmt.Sprintf("add %s: %s", field.name, exampleValue(field.field)),
			})
		}
	}
	setPosition(value, position)
}

// setPosition sets the fields of type Position.
func setPosition(value reflect.Value, position Position) {
	for i := range value.NumField() {
		if value.Type().Field(i).Type == reflect.TypeFor[Position]() {
			value.Field(i).Set(reflect.ValueOf(position))
		}
	}
}

// decodeField decodes one entry of a mapping into the field of its name.
func (d *Decoder) decodeField(fields []fieldInfo, key, item *yaml.Node, value reflect.Value, path string, ignored []string) {
	for _, name := range ignored {
		if key.Value == name {
			return
		}
	}
	for _, field := range fields {
		if field.name == key.Value {
			d.decodeValue(item, value.FieldByIndex(field.index), joinPath(path, field.name), field.field)
			return
		}
	}
	d.Add(key.Line, Fault{
		Code: d.Codes.UnknownField, Message: fmt.Sprintf("unknown field %s", joinPath(path, key.Value)),
		Advice: "use one of " + strings.Join(fieldNames(fields, ignored), ", "),
	})
}

func fieldNames(fields []fieldInfo, ignored []string) []string {
	names := append([]string{}, ignored...)
	for _, field := range fields {
		names = append(names, field.name)
	}
	sort.Strings(names)
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *Decoder) addWrongType(node *yaml.Node, path, want string) {
	d.Add(node.Line, Fault{
		Code: d.Codes.WrongType, Message: fmt.Sprintf("%s must be %s", describePath(path), want),
		Advice: "write " + want,
	})
}

// describePath returns the name of a path in messages.
func describePath(path string) string {
	if path == "" {
		return "the document"
	}
	return path
}

// decodeValue decodes the value of a field or of a list element. Aliases are
// rejected, because with them a short file could expand to a configuration of any
// size.
func (d *Decoder) decodeValue(node *yaml.Node, value reflect.Value, path string, field reflect.StructField) {
	if node.Kind == yaml.AliasNode {
		d.Add(node.Line, Fault{
			Code: d.Codes.WrongType, Message: path + " uses a YAML alias", Advice: "write the value in full",
		})
		return
	}
	if isScalar(value.Type()) {
		d.decodeScalar(node, value, path, field)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		target := reflect.New(value.Type().Elem())
		d.decodeValue(node, target.Elem(), path, field)
		value.Set(target)
	case reflect.Slice:
		d.decodeList(node, value, path, field)
	case reflect.Struct:
		d.decodeStruct(node, value, path, nil)
	default:
		panic("strictyaml: unsupported type " + value.Type().String())
	}
}

func (d *Decoder) decodeList(node *yaml.Node, value reflect.Value, path string, field reflect.StructField) {
	if node.Kind != yaml.SequenceNode {
		d.addWrongType(node, path, "a list")
		return
	}
	items := reflect.MakeSlice(value.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decodeValue(item, items.Index(i), fmt.Sprintf("%s[%d]", path, i), field)
	}
	value.Set(items)
}
