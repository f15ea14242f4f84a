package settings

import (
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// WarmUp limits the new flows of an endpoint that is warming up, counted over all
// instances: at most Excess times the endpoint's own rate plus Burst in any second. Both
// are 0 if there is no limit.
type WarmUp struct {
	// Excess is a multiple of the rate in the service's configuration.
	Excess float64 `yaml:"excess"`
	// Burst is a number of new flows.
	Burst uint32 `yaml:"burst"`
}

// Enabled reports whether there is a limit.
func (w *WarmUp) Enabled() bool { return w.Excess > 0 || w.Burst > 0 }

func (w *WarmUp) check(report reporter, position strictyaml.Position) {
	checkRange(report, position, "warm_up", "excess", w.Excess, 100)
}

// Hedge limits, for each service on each instance, the first packets that are sent to a second endpoint because the first one
// has not answered.
type Hedge struct {
	// Share is the maximum share of a service's new flows whose requests may be repeated,
	// from 0 (off) to 1.
	Share float64 `yaml:"share"`
	// FloorPerSecond is the rate per service and instance that is allowed in addition to
	// Share. CeilingPerSecond is the maximum rate, 0 for no maximum.
	FloorPerSecond   float64 `yaml:"floor_per_second"`
	CeilingPerSecond float64 `yaml:"ceiling_per_second"`
	// Stalled makes the instance reset flows whose endpoint accepts requests and answers
	// none, within the same limits.
	Stalled bool `yaml:"stalled"`
}

// Enabled reports whether first packets are hedged.
func (h *Hedge) Enabled() bool { return h.Share > 0 }

func (h *Hedge) check(report reporter, position strictyaml.Position) {
	checkRange(report, position, "hedge", "share", h.Share, 1)
	checkRange(report, position, "hedge", "floor_per_second", h.FloorPerSecond, 10_000)
	checkRange(report, position, "hedge", "ceiling_per_second", h.CeilingPerSecond, 10_000)
	if h.CeilingPerSecond > 0 && h.FloorPerSecond > h.CeilingPerSecond {
		report(position, "hedge", resultcode.SettingsOutOfRange, "write a floor that is not above the ceiling",
			"hedge: floor_per_second %v is above ceiling_per_second %v", h.FloorPerSecond, h.CeilingPerSecond)
	}
	if h.Share == 0 && h.Stalled {
		report(position, "hedge", resultcode.SettingsOutOfRange, "write share, or leave out stalled",
			"hedge: stalled is set without share, so its limits allow no reset")
	}
	if h.Share == 0 && (h.FloorPerSecond > 0 || h.CeilingPerSecond > 0) {
		report(position, "hedge", resultcode.SettingsOutOfRange, "write share, or leave out hedge",
			"hedge: floor_per_second or ceiling_per_second is set without share")
	}
}

// Overflow limits the new flows of a rule with several targets that may go to another
// target because the one drawn by weight cannot serve them.
type Overflow struct {
	// Share is the maximum share of the rule's new flows, from 0 (off) to 1.
	Share float64 `yaml:"share"`
}

func (o *Overflow) check(report reporter, position strictyaml.Position) {
	checkRange(report, position, "overflow", "share", o.Share, 1)
}

// checkRange reports a value that is below 0 or above most.
func checkRange(report reporter, position strictyaml.Position, section, field string, value, most float64) {
	if value >= 0 && value <= most {
		return
	}
	report(position, section, resultcode.SettingsOutOfRange, "write a value in the range", "%s.%s: %v is not in the range from 0 to %v",
		section, field, value, most)
}
