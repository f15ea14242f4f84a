package config

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Guards against a policy field that has no row in docs/configuration.md, and
// against bounds that differ from those in its row.
func TestReferenceDescribesPolicies(t *testing.T) {
	content, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]string{}
	for line := range strings.SplitSeq(string(content), "\n") {
		if cells := strings.Split(line, "|"); len(cells) == 6 {
			rows[strings.Trim(cells[1], " `")] = strings.ReplaceAll(strings.TrimSpace(cells[3]), ",", "")
		}
	}
	spec := reflect.TypeFor[policySpec]()
	for i := range spec.NumField() {
		tag := spec.Field(i).Tag
		name := tag.Get("yaml")
		if name == "" || name == "-" {
			continue
		}
		bounds, ok := rows[name]
		if !ok {
			t.Errorf("docs/configuration.md has no row for the field %s", name)
			continue
		}
		if want := tag.Get("min") + " to " + tag.Get("max"); tag.Get("max") != "" && bounds != want {
			t.Errorf("docs/configuration.md gives the field %s the bounds %q, want %q", name, bounds, want)
		}
	}
}
