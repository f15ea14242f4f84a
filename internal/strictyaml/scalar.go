package strictyaml

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Percent is a whole percentage, written with a percent sign, such as 125%.
type Percent uint32

var (
	durationType = reflect.TypeFor[time.Duration]()
	percentType  = reflect.TypeFor[Percent]()
	addrType     = reflect.TypeFor[netip.Addr]()
	addrPortType = reflect.TypeFor[netip.AddrPort]()
)

// isScalar reports whether a value of the type is decoded from a YAML scalar.
func isScalar(t reflect.Type) bool {
	if t == addrType || t == addrPortType {
		return true
	}
	switch t.Kind() {
	case reflect.String, reflect.Bool, reflect.Float64, reflect.Int64,
		reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return true
	default:
		return false
	}
}

// exampleValue returns an example value for the advice on a missing field.
func exampleValue(field reflect.StructField) string {
	if oneOf := field.Tag.Get("oneof"); oneOf != "" {
		return strings.ReplaceAll(oneOf, " ", " or ")
	}
	t := field.Type
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == durationType:
		return "30s"
	case t == percentType:
		return "50%"
	case t == addrType:
		return "192.0.2.10"
	case t == addrPortType:
		return "192.0.2.10:6081"
	case t.Kind() == reflect.String:
		return "a name"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.Struct:
		return "a mapping"
	default:
		return "a number"
	}
}

func (d *Decoder) decodeScalar(node *yaml.Node, value reflect.Value, path string, field reflect.StructField) {
	if node.Kind != yaml.ScalarNode {
		d.addWrongType(node, path, "a single value")
		return
	}
	if node.Tag == "!!null" {
		d.Add(node.Line, Fault{
			Code: d.Codes.MissingField, Message: path + " has no value",
			Advice: "write " + exampleValue(field) + " or remove the field",
		})
		return
	}
	switch {
	case value.Type() == durationType:
		d.decodeDuration(node, value, path, field)
	case value.Type() == percentType:
		d.decodePercent(node, value, path, field)
	case value.Type() == addrType:
		d.decodeAddress(node, value, path)
	case value.Type() == addrPortType:
		d.decodeAddressPort(node, value, path)
	default:
		d.decodeBasic(node, value, path, field)
	}
}

func (d *Decoder) decodeDuration(node *yaml.Node, value reflect.Value, path string, field reflect.StructField) {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		d.Add(node.Line, Fault{
			Code: d.Codes.WrongUnit, Message: fmt.Sprintf("%s: %q is not a duration with a unit", path, node.Value),
			Advice: "write a number with ms, s, m or h, such as 30s",
		})
		return
	}
	if field.Tag.Get("rounded") == "true" {
		parsed = parsed.Truncate(time.Millisecond)
	}
	if parsed%time.Millisecond != 0 {
		d.Add(node.Line, Fault{
			Code: d.Codes.WrongUnit, Message: fmt.Sprintf("%s: %q is finer than a millisecond", path, node.Value),
			Advice: "write whole milliseconds, such as 250ms",
		})
		return
	}
	minimum, maximum := time.Duration(0), time.Duration(1<<62)
	if text := field.Tag.Get("min"); text != "" {
		minimum = mustDuration(text)
	}
	if text := field.Tag.Get("max"); text != "" {
		maximum = mustDuration(text)
	}
	if parsed < minimum || parsed > maximum {
		d.addOutOfRange(node, path, field)
		return
	}
	value.SetInt(int64(parsed))
}

// mustDuration parses a bound in a struct tag.
func mustDuration(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return parsed
}

func (d *Decoder) decodePercent(node *yaml.Node, value reflect.Value, path string, field reflect.StructField) {
	digits, ok := strings.CutSuffix(node.Value, "%")
	parsed, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 32)
	if !ok || err != nil {
		d.Add(node.Line, Fault{
			Code: d.Codes.WrongUnit, Message: fmt.Sprintf("%s: %q is not a whole percentage", path, node.Value),
			Advice: "write a whole number with a percent sign, such as 125%",
		})
		return
	}
	if !inBounds(parsed, field, "%") {
		d.addOutOfRange(node, path, field)
		return
	}
	value.SetUint(parsed)
}

// inBounds reports whether the number is within the min and max tags of the
// field. The bounds in the tags end with the unit.
func inBounds(number uint64, field reflect.StructField, unit string) bool {
	if text := field.Tag.Get("min"); text != "" && number < mustUint(strings.TrimSuffix(text, unit)) {
		return false
	}
	if text := field.Tag.Get("max"); text != "" && number > mustUint(strings.TrimSuffix(text, unit)) {
		return false
	}
	return true
}

// mustUint parses a bound in a struct tag, without its unit.
func mustUint(text string) uint64 {
	parsed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return parsed
}

func (d *Decoder) addOutOfRange(node *yaml.Node, path string, field reflect.StructField) {
	minimum, maximum := field.Tag.Get("min"), field.Tag.Get("max")
	if minimum == "" {
		minimum = "0"
	}
	advice := fmt.Sprintf("write a value from %s to %s", minimum, maximum)
	if maximum == "" {
		advice = "write a value of at least " + minimum
	}
	d.Add(node.Line, Fault{
		Code: d.Codes.OutOfRange, Message: fmt.Sprintf("%s: %s is out of range", path, node.Value), Advice: advice,
	})
}

func (d *Decoder) decodeAddress(node *yaml.Node, value reflect.Value, path string) {
	parsed, err := netip.ParseAddr(node.Value)
	if err != nil || !isHostAddress(parsed) {
		d.addBadAddress(node, path, "an IPv4 host address", "192.0.2.10")
		return
	}
	value.Set(reflect.ValueOf(parsed))
}

func (d *Decoder) decodeAddressPort(node *yaml.Node, value reflect.Value, path string) {
	parsed, err := netip.ParseAddrPort(node.Value)
	if err != nil || !isHostAddress(parsed.Addr()) || parsed.Port() == 0 {
		d.addBadAddress(node, path, "an IPv4 host address with a port", "192.0.2.10:6081")
		return
	}
	value.Set(reflect.ValueOf(parsed))
}

// isHostAddress reports whether the address can belong to one IPv4 host.
func isHostAddress(address netip.Addr) bool {
	if !address.Is4() || address.IsUnspecified() || address.IsMulticast() {
		return false
	}
	return address != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

func (d *Decoder) addBadAddress(node *yaml.Node, path, want, sample string) {
	d.Add(node.Line, Fault{
		Code: d.Codes.BadAddress, Message: fmt.Sprintf("%s: %q is not %s", path, node.Value, want),
		Advice: "write the address in numbers, such as " + sample,
	})
}

// decodeBasic decodes a string, a bool, a float64 or an unsigned integer.
func (d *Decoder) decodeBasic(node *yaml.Node, value reflect.Value, path string, field reflect.StructField) {
	switch value.Kind() {
	case reflect.String:
		d.decodeString(node, value, path, field)
	case reflect.Bool:
		if node.Tag != "!!bool" {
			d.addWrongType(node, path, "true or false")
			return
		}
		value.SetBool(strings.EqualFold(node.Value, "true"))
	case reflect.Float64:
		parsed, err := strconv.ParseFloat(node.Value, 64)
		// Only NaN differs from itself.
		if err != nil || parsed != parsed {
			d.addWrongType(node, path, "a number")
			return
		}
		value.SetFloat(parsed)
	default:
		d.decodeUnsigned(node, value, path, field)
	}
}

func (d *Decoder) decodeString(node *yaml.Node, value reflect.Value, path string, field reflect.StructField) {
	oneOf := field.Tag.Get("oneof")
	if oneOf == "" {
		value.SetString(node.Value)
		return
	}
	for _, allowed := range strings.Fields(oneOf) {
		if node.Value == allowed {
			value.SetString(node.Value)
			return
		}
	}
	d.Add(node.Line, Fault{
		Code: d.Codes.OutOfRange, Message: fmt.Sprintf("%s: %q is not a known value", path, node.Value),
		Advice: "write " + strings.ReplaceAll(oneOf, " ", " or "),
	})
}

func (d *Decoder) decodeUnsigned(node *yaml.Node, value reflect.Value, path string, field reflect.StructField) {
	parsed, err := strconv.ParseUint(node.Value, 10, 64)
	if err != nil {
		d.addWrongType(node, path, "a whole number without a unit")
		return
	}
	if value.OverflowUint(parsed) || !inBounds(parsed, field, "") {
		d.addOutOfRange(node, path, field)
		return
	}
	value.SetUint(parsed)
}
