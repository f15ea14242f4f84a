// Package resultcode defines the codes of the results and errors that
// burdockrelay reports. docs/result-codes.md documents each code; a test checks
// that the document and the constants agree.
package resultcode

import (
	"errors"
	"fmt"
)

// Code is the number of a result.
type Code uint32

// OK means success.
const OK Code = 0

// Packet decoding, service matching and forwarding: 1000-1099.
const (
	PacketTruncated       Code = 1000
	PacketMalformed       Code = 1001
	PacketFragmented      Code = 1002
	PacketMisaddressed    Code = 1003
	PacketUnsupported     Code = 1004
	PacketNoService       Code = 1010
	PacketForwarded       Code = 1020
	PacketRelayed         Code = 1021
	PacketSendFailed      Code = 1022
	PacketForeignEndpoint Code = 1023
	PacketReceiveFailed   Code = 1024
	PacketUnknownResult   Code = 1025
)

// Routing, ownership and fencing: 1100-1199.
const (
	RouteFenced          Code = 1100
	RouteNoOwner         Code = 1101
	RouteHopLimit        Code = 1102
	RouteUnknownFlow     Code = 1103
	RouteEndpointGone    Code = 1104
	RouteEndpointSilent  Code = 1105
	RouteEndpointStalled Code = 1106
	SnapshotOldRelease   Code = 1110
	SnapshotOldSequence  Code = 1111
	SnapshotInvalid      Code = 1112
	LeaseOldIncarnation  Code = 1120
	ReplicationStale     Code = 1130
	// ReplicationUnknownTable means that a batch refers to a table that the
	// receiver does not have. The source sends the batch again with the full
	// endpoint set of the table.
	ReplicationUnknownTable Code = 1131
)

// Admission control, refused flows and dropped packets: 1200-1299.
const (
	RefusedTableFull     Code = 1200
	RefusedNoEndpoint    Code = 1201
	RefusedEndpointLimit Code = 1202
	RefusedRateLimit     Code = 1203
	RefusedTooLate       Code = 1204
	RefusedOverload      Code = 1205
	RefusedWarmUp        Code = 1208
	DroppedFirstData     Code = 1210
	DroppedNoTables      Code = 1211
	DroppedLateCopy      Code = 1212
	DroppedAfterPause    Code = 1213
)

// Configuration decoding: 2000-2099.
const (
	ConfigSyntax       Code = 2000
	ConfigUnknownField Code = 2001
	ConfigUnknownKind  Code = 2002
	ConfigWrongType    Code = 2003
	ConfigWrongUnit    Code = 2004
	ConfigBadAddress   Code = 2005
	ConfigMissingField Code = 2006
	ConfigOutOfRange   Code = 2007
	ConfigBadName      Code = 2008
)

// Configuration checks: 2100-2199.
const (
	CheckDuplicateName      Code = 2100
	CheckUnknownName        Code = 2101
	CheckOverlap            Code = 2102
	CheckCycle              Code = 2103
	CheckLimit              Code = 2104
	CheckUnused             Code = 2105
	CheckUDPNotIdempotent   Code = 2106
	CheckAddressQuarantined Code = 2107
	CheckEmpty              Code = 2108
)

// Publication: 2200-2299.
const (
	PublishConflict     Code = 2200
	PublishRefused      Code = 2201
	PublishTimeout      Code = 2202
	PublishUnconfirmed  Code = 2203
	PublishTooLarge     Code = 2204
	PublishUnchanged    Code = 2205
	ReleaseHashMismatch Code = 2210
)

// Settings: 3000-3099.
const (
	SettingsSyntax       Code = 3000
	SettingsUnknownField Code = 3001
	SettingsWrongType    Code = 3002
	SettingsWrongUnit    Code = 3003
	SettingsBadAddress   Code = 3004
	SettingsMissingField Code = 3005
	SettingsOutOfRange   Code = 3006
	SettingsInsecure     Code = 3007
	SettingsUnreadable   Code = 3008
)

// Platform: 4000-4099.
const (
	PlatformUnreachable Code = 4000
	PlatformConflict    Code = 4001
	PlatformNotFound    Code = 4002
	PlatformExists      Code = 4003
	PlatformBadAnswer   Code = 4004
	PlatformBudget      Code = 4005
	PlatformUncertain   Code = 4006
	PlatformExpired     Code = 4007
	PlatformBadObject   Code = 4008
)

// Membership and peers: 5000-5099.
const (
	PeerUnreachable Code = 5000
	PeerBadDatagram Code = 5001
	PeerNoRelease   Code = 5003
)

// Administration API: 6000-6099.
const (
	AdminUnauthorized Code = 6000
	AdminBadRequest   Code = 6001
	AdminUnavailable  Code = 6002
	AdminUnknownName  Code = 6003
)

// Endpoints: 7000-7099.
const (
	EndpointUnreachable Code = 7000
	EndpointBadReport   Code = 7001
	EndpointUnhealthy   Code = 7002
)

// Error is an error with a result code.
type Error struct {
	Code Code
	Err  error
}

// Errorf returns an Error with the code and the formatted message. It supports %w
// as fmt.Errorf does.
func Errorf(code Code, format string, args ...any) error {
	return &Error{Code: code, Err: fmt.Errorf(format, args...)}
}

// Error returns the code followed by the message.
func (e *Error) Error() string {
	return fmt.Sprintf("code %d: %v", e.Code, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error {
	return e.Err
}

// Of returns the code of an error, or of the first Error that it wraps. It returns
// OK and true for nil, and false if the error has no code.
func Of(err error) (Code, bool) {
	if err == nil {
		return OK, true
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code, true
	}
	return OK, false
}
