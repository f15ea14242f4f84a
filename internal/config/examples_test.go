package config

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against example configurations that have faults or that do not have the
// sizes given in docs/design.md section 1.5.
func TestExamplesPassTheCheck(t *testing.T) {
	for name, want := range map[string]struct {
		places    int
		endpoints map[string]int
	}{
		"office": {4, map[string]int{"crew-desk": 15, "drawing-store": 4}},
		"trust":  {3, map[string]int{"order-desk": 15, "catalogue-shelf": 4}},
	} {
		t.Run(name, func(t *testing.T) {
			paths, err := filepath.Glob("../../examples/" + name + "/*.yaml")
			if err != nil {
				t.Fatal(err)
			}
			var files []File
			for _, path := range paths {
				content, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				files = append(files, File{Name: path, Content: content})
			}
			configuration, faults := Parse(files)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			release := mustBuild(t, configuration, nil, ReleaseInfo{})
			if len(release.Places) != want.places || len(release.Services) != len(want.endpoints) {
				t.Fatalf("got %d places and %d services", len(release.Places), len(release.Services))
			}
			for _, service := range release.ServicesFor(nil) {
				if len(service.Endpoints) != want.endpoints[service.Name] {
					t.Errorf("%s has a wrong number of endpoints: %d", service.Name, len(service.Endpoints))
				}
			}
		})
	}
}
