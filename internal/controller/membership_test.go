package controller

import (
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/settings"
)

// Guards against one object of another program among the instances with which entryd rejects
// every snapshot: its address is not one to which packets can be sent.
func TestForeignInstanceIsNoMember(t *testing.T) {
	m := &membershipController{core: &core{settings: &settings.Control{Member: settings.Member{EntryPort: 6081}}, logger: zap.NewNop()}}
	deep := strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)
	for _, c := range []struct {
		spec string
		want bool
	}{
		{`{"address":"10.0.0.1","dataCentre":"oita"}`, true},
		{`{"address":"::1"}`, false},
		{`{"address":"0.0.0.0"}`, false},
		{`{"address":"10.0.0.1:70000"}`, false},
		{`{"address":"10.0.0.256"}`, false},
		{`{"address":1e400}`, false},
		{`{"address":` + deep + `}`, false},
		{deep, false},
		{`{}`, false},
	} {
		object := &platform.Object{Metadata: platform.Metadata{Name: "entry-1"}, Spec: []byte(c.spec)}
		_, candidate, ok := m.decodeInstance(object)
		if ok != c.want || ok && candidate.Entry.String() != fmt.Sprintf("10.0.0.1:%d", m.settings.EntryPort) {
			t.Errorf("%.40s: member %v at %v", c.spec, ok, candidate.Entry)
		}
	}
}
