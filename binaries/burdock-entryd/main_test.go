package main

import (
	"reflect"
	"testing"

	"burdockrelay.example/burdockrelay/internal/settings"
)

const allSettings = `
instance: entry-a
data_centre: fukuoka
address: 127.0.0.1
entry_port: 16081
metrics_listen: 127.0.0.1:9101
api_listen: 127.0.0.1:7081
fabric_return: 127.0.0.1:6082
max_flows: 2000
trace:
  exporter: "off"
  sample_ratio: 0.5
`

// Guards against a setting that is accepted but not passed to the packet path.
func TestPacketPathUsesEverySetting(t *testing.T) {
	loaded, err := settings.Decode[settings.Entry]("entryd.yaml", []byte(allSettings))
	if err != nil {
		t.Fatal(err)
	}
	value := reflect.ValueOf(packetPathSettings(loaded))
	for i := range value.NumField() {
		name := value.Type().Field(i).Name
		// Workers is not a setting; its default is derived from the number of
		// processors.
		if name != "Workers" && value.Field(i).IsZero() {
			t.Errorf("%s is not set", name)
		}
	}
}
