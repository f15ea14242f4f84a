package config

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Guards against a policy field or bound that the reference does not give.
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
	object := reflect.TypeFor[policySpec]()
	for i := range object.NumField() {
		tag := object.Field(i).Tag
		name := tag.Get("yaml")
		if name == "" || name == "-" {
			continue
		}
		bounds, ok := rows[name]
		if !ok {
			t.Errorf("field %s has no row", name)
			continue
		}
		if want := tag.Get("min") + " to " + tag.Get("max"); tag.Get("max") != "" && bounds != want {
			t.Errorf("%s: bounds %q, want %q", name, bounds, want)
		}
	}
}
