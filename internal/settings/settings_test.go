package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const examplesDir = "../../examples/"

func mustLoad[T any](t *testing.T, name string) *T {
	t.Helper()
	settings, err := Load[T](examplesDir + name)
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// Guards against sample files that the programs refuse, and against daemons whose
// sample settings contradict each other.
func TestSampleFilesLoad(t *testing.T) {
	entry := mustLoad[Entry](t, "burdock-entryd.yaml")
	control := mustLoad[Control](t, "burdock-controld.yaml")
	mustLoad[Client](t, "burdockctl.yaml")
	if entry.APIListen != control.EntryAPI || entry.Address != control.Address || entry.EntryPort != control.EntryPort {
		t.Fatal("the sample settings of the two daemons do not match")
	}
}

// Guards against defaults that differ from docs/design.md section 5.3.
func TestDefaults(t *testing.T) {
	control, err := Decode[Control]("c", []byte("instance: i-1\ndata_centre: oita\naddress: 192.0.2.1\nentry_api: 127.0.0.1:7081\nplatform: http://192.0.2.5:80\n"))
	if err != nil {
		t.Fatal(err)
	}
	if control.Group != "oita" || len(control.Places) != 1 || control.Places[0] != "oita" ||
		control.EntryPort != 6081 || control.PeerPort != 7946 || control.LogLevel != "info" {
		t.Fatalf("got %+v", control)
	}
	client, err := Decode[Client]("c", []byte("author: aiko\n"))
	if err != nil || client.Server != DefaultServer || client.Timeout != defaultClientTimeout {
		t.Fatal(client, err)
	}
}

// Guards against unsafe or invalid settings that are accepted, and against
// errors without line, result code or advice.
func TestFaultsHaveLineCodeAndAdvice(t *testing.T) {
	read := func(name string) string {
		content, err := os.ReadFile(examplesDir + name)
		if err != nil {
			t.Fatal(err)
		}
		return string(content)
	}
	entry, control, client := read("burdock-entryd.yaml"), read("burdock-controld.yaml"), read("burdockctl.yaml")
	cases := []struct {
		name, text, old, new string
		code                 resultcode.Code
		decode               func(string, []byte) error
	}{
		{"syntax", entry, "group: fukuoka", "group: [", resultcode.SettingsSyntax, decodeEntry},
		{"two documents", entry, "group: fukuoka", "---\ngroup: fukuoka", resultcode.SettingsSyntax, decodeEntry},
		{"duplicate field", entry, "group: fukuoka", "group: fukuoka\ngroup: oita", resultcode.SettingsSyntax, decodeEntry},
		{"unknown", entry, "group: fukuoka", "grupp: fukuoka", resultcode.SettingsUnknownField, decodeEntry},
		{"unknown nested", entry, "exporter:", "exportr:", resultcode.SettingsUnknownField, decodeEntry},
		{"type", entry, "entry_port: 6081", "entry_port: x", resultcode.SettingsWrongType, decodeEntry},
		{"range", entry, "entry_port: 6081", "entry_port: 0", resultcode.SettingsOutOfRange, decodeEntry},
		{"address", entry, "address: 192.0.2.11", "address: host.example", resultcode.SettingsBadAddress, decodeEntry},
		{"missing", entry, "address: 192.0.2.11\n", "", resultcode.SettingsMissingField, decodeEntry},
		{"empty", entry, "address: 192.0.2.11\n", "address:\n", resultcode.SettingsMissingField, decodeEntry},
		{"name", entry, "instance: fukuoka-1", "instance: Fukuoka 1", resultcode.SettingsOutOfRange, decodeEntry},
		{"level", entry, "log_level: info", "log_level: verbose", resultcode.SettingsOutOfRange, decodeEntry},
		{"exporter", entry, `exporter: "off"`, "exporter: kafka", resultcode.SettingsOutOfRange, decodeEntry},
		{"trace file", entry, `exporter: "off"`, "exporter: file", resultcode.SettingsMissingField, decodeEntry},
		{"sample ratio", entry, `exporter: "off"`, "sample_ratio: 2", resultcode.SettingsOutOfRange, decodeEntry},
		{"non-loopback API", entry, "api_listen: 127.0.0.1", "api_listen: 192.0.2.11", resultcode.SettingsInsecure, decodeEntry},
		{"list", control, "places: [fukuoka]", "places: fukuoka", resultcode.SettingsWrongType, decodeControl},
		{"remote entry API", control, "entry_api: 127.0.0.1", "entry_api: 192.0.2.9", resultcode.SettingsInsecure, decodeControl},
		{"platform name", control, "http://192.0.2.5:8080", "http://platform.example", resultcode.SettingsBadAddress, decodeControl},
		{"platform scheme", control, "http://192.0.2.5:8080", "ftp://192.0.2.5", resultcode.SettingsBadAddress, decodeControl},
		{"no token", control, "  token_file: /etc/burdockrelay/administration.token\n", "", resultcode.SettingsInsecure, decodeControl},
		{"no key", control, "  tls_key: /etc/burdockrelay/administration.key\n", "", resultcode.SettingsMissingField, decodeControl},
		{"token without TLS", client, "https://", "http://", resultcode.SettingsInsecure, decodeClient},
		{"duration", client, "timeout: 10s", "timeout: 10", resultcode.SettingsWrongUnit, decodeClient},
		{"long duration", client, "timeout: 10s", "timeout: 10h", resultcode.SettingsOutOfRange, decodeClient},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before, _, found := strings.Cut(c.text, c.old)
			if !found {
				t.Fatalf("%q does not occur", c.old)
			}
			err := c.decode("sample.yaml", []byte(strings.Replace(c.text, c.old, c.new, 1)))
			var faults *Error
			if !errors.As(err, &faults) {
				t.Fatalf("got %v", err)
			}
			fault := faults.Faults[0]
			if fault.Code != c.code || fault.File != "sample.yaml" || fault.Line < 1 || fault.Advice == "" {
				t.Fatalf("got %v", fault)
			}
			if code, ok := resultcode.Of(err); !ok || code != c.code {
				t.Fatalf("code %d, %v", code, ok)
			}
			// Faults with these codes may be reported after the changed line.
			checkLine := c.code != resultcode.SettingsSyntax && c.code != resultcode.SettingsMissingField && c.code != resultcode.SettingsInsecure
			if line := 1 + strings.Count(before, "\n"); checkLine && fault.Line > line+1 {
				t.Fatalf("line %d, want %d: %v", fault.Line, line, fault)
			}
		})
	}
}

func decodeEntry(name string, content []byte) error {
	_, err := Decode[Entry](name, content)
	return err
}

func decodeControl(name string, content []byte) error {
	_, err := Decode[Control](name, content)
	return err
}

func decodeClient(name string, content []byte) error {
	_, err := Decode[Client](name, content)
	return err
}

// Guards against an unreadable or oversized file that is reported without a
// result code.
func TestUnreadableFileHasResultCode(t *testing.T) {
	huge := filepath.Join(t.TempDir(), "huge.yaml")
	if err := os.WriteFile(huge, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"none.yaml", huge} {
		_, err := Load[Entry](path)
		if code, ok := resultcode.Of(err); !ok || code != resultcode.SettingsUnreadable {
			t.Errorf("%s: got %v", path, err)
		}
	}
}

// FuzzDecode guards against settings files that crash a program.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("instance: a\ntrace: {exporter: [1]}\nplaces: [{}]\nadministration: 3\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, decode := range []func(string, []byte) error{decodeEntry, decodeControl, decodeClient} {
			if err := decode("fuzz.yaml", content); err != nil && err.Error() == "" {
				t.Fatal("the error has no text")
			}
		}
	})
}
