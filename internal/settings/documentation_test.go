package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"burdockrelay.example/burdockrelay/internal/config"
)

// Guards against a field of the settings or of the configuration that has no row
// in docs/configuration.md.
func TestReferenceDocumentsEveryField(t *testing.T) {
	content, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, object := range []any{
		Entry{}, Control{}, Relay{}, Client{}, config.Place{}, config.Service{}, config.BackendSet{}, config.Rule{},
	} {
		checkFieldsDocumented(t, reflect.TypeOf(object), string(content))
	}
}

func checkFieldsDocumented(t *testing.T, object reflect.Type, content string) {
	t.Helper()
	for i := range object.NumField() {
		field := object.Field(i)
		name := field.Tag.Get("yaml")
		if name == "-" || name == "" {
			continue
		}
		if name == ",inline" {
			checkFieldsDocumented(t, field.Type, content)
			continue
		}
		if !strings.Contains(content, "| `"+name+"` |") {
			t.Errorf("%s.%s: field %s has no row in docs/configuration.md", object.Name(), field.Name, name)
		}
		target := field.Type
		if target.Kind() == reflect.Slice {
			target = target.Elem()
		}
		if target.Kind() == reflect.Struct && !strings.HasPrefix(target.PkgPath(), "net/") {
			checkFieldsDocumented(t, target, content)
		}
	}
}
