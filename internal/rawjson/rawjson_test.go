package rawjson

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// parts returns the parts of a text, an object's as name and value in turn.
func parts(text string) ([]string, error) {
	var found []string
	var err error
	if strings.HasPrefix(strings.TrimSpace(text), "{") {
		err = Object([]byte(text), func(name string, value []byte) error {
			found = append(found, name, string(value))
			return nil
		})
	} else {
		err = Array([]byte(text), func(value []byte) error {
			found = append(found, string(value))
			return nil
		})
	}
	return found, err
}

// Guards against parts that are cut in the wrong place, and against a part that cannot be
// decoded and makes its neighbours unreadable.
func TestParts(t *testing.T) {
	deep := strings.Repeat(`[`, 200_000) + strings.Repeat(`]`, 200_000)
	for _, test := range []struct {
		text string
		want []string
	}{
		{`{}`, nil},
		{` [ ] `, nil},
		{`null`, nil},
		{`[1,"a", {"b":[2]} ,null]`, []string{`1`, `"a"`, `{"b":[2]}`, `null`}},
		{`{"a": 1 , "b":"x"}`, []string{"a", `1`, "b", `"x"`}},
		{`{"a\"}\u0062":"]\\"}`, []string{`a"}b`, `"]\\"`}},
		{`{"deep":` + deep + `,"next":true}`, []string{"deep", deep, "next", `true`}},
		{`[1e999999,NaN,-Infinity,{"a":1e400}]`, []string{`1e999999`, `NaN`, `-Infinity`, `{"a":1e400}`}},
		{"[\"\xff\xfe\",2]", []string{"\"\xff\xfe\"", `2`}},
	} {
		got, err := parts(test.text)
		if err != nil || !slices.Equal(got, test.want) {
			t.Errorf("%.40s: parts %.80q, error %v", test.text, got, err)
		}
	}
}

// Guards against a text that was cut off, or whose parts cannot be told apart, and that is
// taken for complete.
func TestIncompleteText(t *testing.T) {
	whole := ` {"a":[1,{"b":"x\""}],"c":2} `
	for cut := range len(strings.TrimRight(whole, " ")) {
		if got, err := parts(whole[:cut]); err == nil {
			t.Errorf("%q: parts %q without an error", whole[:cut], got)
		}
	}
	for _, text := range []string{
		`[1 2]`, `[1,]`, `[,1]`, `{"a" 1}`, `{"a":}`, `{a:1}`, `{"a":1,}`, `{"a":1}}`, `[1]]`, `["a]`, `{"a":[}`, `7`, `"x"`, `not JSON`,
	} {
		if got, err := parts(text); err == nil {
			t.Errorf("%q: parts %q without an error", text, got)
		}
	}
}

// FuzzParts guards against a panic, and against parts of a valid text that differ from what
// encoding/json finds.
func FuzzParts(f *testing.F) {
	for _, text := range []string{`[]`, `{"a":[1,"x\\"],"b":{"c":null}}`, `[1e9,-0.5,true,"\u00e9"]`, `{"a":1,"a":2}`, "[\"\xff\"]", `{"":{}}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var elements, want []json.RawMessage
		err := Array(text, func(value []byte) error {
			elements = append(elements, value)
			return nil
		})
		if json.Unmarshal(text, &want) == nil && (err != nil || !slices.EqualFunc(elements, want, equalText)) {
			t.Errorf("elements %q, want %q, error %v", elements, want, err)
		}
		fields, wantFields := map[string]json.RawMessage{}, map[string]json.RawMessage{}
		err = Object(text, func(name string, value []byte) error {
			fields[name] = value
			return nil
		})
		if json.Unmarshal(text, &wantFields) != nil {
			return
		}
		if err != nil || len(fields) != len(wantFields) {
			t.Errorf("fields %q, want %q, error %v", fields, wantFields, err)
		}
		for name, value := range wantFields {
			if !equalText(fields[name], value) {
				t.Errorf("field %q is %q, want %q", name, fields[name], value)
			}
		}
	})
}

func equalText(a, b json.RawMessage) bool { return bytes.Equal(a, b) }
