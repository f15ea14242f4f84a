package admin

import (
	"strconv"

	"github.com/twitchtv/twirp"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// FaultsToProto converts faults to messages of the administration API.
func FaultsToProto(faults []config.Fault) []*adminpb.Fault {
	converted := make([]*adminpb.Fault, 0, len(faults))
	for _, fault := range faults {
		converted = append(converted, &adminpb.Fault{
			File: fault.File, Line: uint32(fault.Line), ResultCode: uint32(fault.Code),
			Message: fault.Message, Advice: fault.Advice,
		})
	}
	return converted
}

// ChangesToProto converts changes between releases to messages of the
// administration API.
func ChangesToProto(changes []config.Change) []*adminpb.Change {
	converted := make([]*adminpb.Change, 0, len(changes))
	for _, change := range changes {
		converted = append(converted, &adminpb.Change{
			Kind: change.Kind, Name: change.Name, Action: change.Action, Detail: change.Detail,
		})
	}
	return converted
}

func withResultCode(err twirp.Error, code resultcode.Code) twirp.Error {
	return err.WithMeta(ResultCodeMeta, strconv.FormatUint(uint64(code), 10))
}
