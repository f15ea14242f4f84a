package process

import (
	"net/netip"
	"strings"
)

// AddrPorts is a flag.Value that holds a comma-separated list of IP addresses with
// ports.
type AddrPorts []netip.AddrPort

// String implements flag.Value.
func (a *AddrPorts) String() string {
	texts := make([]string, len(*a))
	for i, address := range *a {
		texts[i] = address.String()
	}
	return strings.Join(texts, ",")
}

// Set implements flag.Value.
func (a *AddrPorts) Set(text string) error {
	*a = nil
	for part := range strings.SplitSeq(text, ",") {
		address, err := netip.ParseAddrPort(part)
		if err != nil {
			return err
		}
		*a = append(*a, address)
	}
	return nil
}
