package resultcode

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"
)

// tableRow matches a row of docs/result-codes.md: number, name, meaning and
// action.
var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([A-Za-z]+) \| ([^|]+) \| ([^|]+) \|$`)

// Guards against codes that docs/result-codes.md lacks or lists with another
// number, and against entries for codes that do not exist.
func TestTableListsExactlyTheCodes(t *testing.T) {
	content, err := os.ReadFile("../../docs/result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]uint64{}
	numbers := map[uint64]string{}
	for _, row := range tableRow.FindAllStringSubmatch(string(content), -1) {
		number, err := strconv.ParseUint(row[1], 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := numbers[number]; ok {
			t.Errorf("code %d is listed as %s and as %s", number, other, row[2])
		}
		listed[row[2]] = number
		numbers[number] = row[2]
	}
	codes := codesInSource(t)
	for name, number := range codes {
		if found, ok := listed[name]; !ok || found != number {
			t.Errorf("%s = %d is listed as %d (listed: %t)", name, number, found, ok)
		}
	}
	for name, number := range listed {
		if _, ok := codes[name]; !ok {
			t.Errorf("%s = %d is listed but does not exist in the source", name, number)
		}
	}
}

// codesInSource returns the names and values of the constants of type Code.
func codesInSource(t *testing.T) map[string]uint64 {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "resultcode.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	codes := map[string]uint64{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Code" || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			t.Errorf("the value of %s is not a literal", spec.Names[0].Name)
			return true
		}
		number, err := strconv.ParseUint(literal.Value, 10, 32)
		if err != nil {
			t.Error(err)
		}
		codes[spec.Names[0].Name] = number
		return true
	})
	if len(codes) < 50 {
		t.Fatalf("only %d codes were found in the source", len(codes))
	}
	return codes
}
