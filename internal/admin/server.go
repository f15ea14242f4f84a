package admin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

const (
	// DefaultPublishTimeout bounds the wait for acknowledgements if the request
	// has no timeout; a change must be in force within 16 s.
	DefaultPublishTimeout = 20 * time.Second
	maxPublishTimeout     = 5 * time.Minute
	defaultHistoryLimit   = 20
	// historyTimeout bounds the wait for the platform. burdockctl times out after
	// 10 s by default, so the history of the release in force must be returned
	// before that.
	historyTimeout  = 3 * time.Second
	maxHistoryLimit = 1_000
)

// Server implements adminpb.Administration.
type Server struct {
	control Control
	logger  *zap.Logger
	now     func() time.Time
	// historyTimeout bounds the request for the history that the platform keeps.
	// Tests shorten it.
	historyTimeout time.Duration
}

var _ adminpb.Administration = (*Server)(nil)

// NewServer returns a server of the administration API.
func NewServer(control Control, logger *zap.Logger) *Server {
	return &Server{control: control, logger: logger, now: time.Now, historyTimeout: historyTimeout}
}

func filesFromProto(files []*adminpb.File) []config.File {
	converted := make([]config.File, 0, len(files))
	for _, file := range files {
		converted = append(converted, config.File{Name: file.GetName(), Content: file.GetContent()})
	}
	return converted
}

// Check reports the faults of a configuration, or those of the release that
// publishing it now would create.
func (s *Server) Check(_ context.Context, request *adminpb.CheckRequest) (*adminpb.CheckResponse, error) {
	configuration, faults := config.Parse(filesFromProto(request.GetFiles()))
	if len(faults) > 0 {
		return &adminpb.CheckResponse{Faults: FaultsToProto(faults)}, nil
	}
	if _, faults := s.buildCandidate(configuration, s.control.Accepted()); len(faults) > 0 {
		return &adminpb.CheckResponse{Faults: FaultsToProto(faults)}, nil
	}
	return &adminpb.CheckResponse{Hash: configuration.Hash()}, nil
}

// buildCandidate returns the release that publishing the configuration now would
// create.
func (s *Server) buildCandidate(c *config.Configuration, accepted *config.Release) (*config.Release, []config.Fault) {
	info := config.ReleaseInfo{Author: "check", CreatedAt: s.now()}
	if control, ok := s.control.(OldestInForce); ok {
		info.OldestInForce = control.OldestInForce()
	}
	release, faults := config.BuildRelease(c, accepted, info)
	if len(faults) > 0 {
		return nil, faults
	}
	if _, _, err := release.Encode(); err != nil {
		code, _ := resultcode.Of(err)
		return nil, []config.Fault{{Code: code, Message: err.Error(), Advice: "remove objects that are not needed"}}
	}
	return release, nil
}

// Diff compares a configuration with the release in force.
func (s *Server) Diff(_ context.Context, request *adminpb.DiffRequest) (*adminpb.DiffResponse, error) {
	accepted := s.control.Accepted()
	response := &adminpb.DiffResponse{}
	if accepted != nil {
		response.Release = accepted.Number
	}
	configuration, faults := config.Parse(filesFromProto(request.GetFiles()))
	if len(faults) > 0 {
		response.Faults = FaultsToProto(faults)
		return response, nil
	}
	release, faults := s.buildCandidate(configuration, accepted)
	if len(faults) > 0 {
		response.Faults = FaultsToProto(faults)
		return response, nil
	}
	response.Changes = ChangesToProto(config.Diff(accepted, release))
	return response, nil
}

// Publish checks, writes and accepts a configuration.
func (s *Server) Publish(ctx context.Context, request *adminpb.PublishRequest) (*adminpb.PublishResponse, error) {
	if len(request.GetAuthor()) < 1 || len(request.GetAuthor()) > config.MaxAuthorLength {
		return nil, badRequest("author", fmt.Sprintf("must have 1 to %d bytes", config.MaxAuthorLength))
	}
	if len(request.GetNote()) > config.MaxNoteLength {
		return nil, badRequest("note", fmt.Sprintf("must have at most %d bytes", config.MaxNoteLength))
	}
	configuration, faults := config.Parse(filesFromProto(request.GetFiles()))
	if len(faults) > 0 {
		return faultResponse(faults), nil
	}
	timeout := time.Duration(request.GetTimeoutMs()) * time.Millisecond
	if timeout == 0 {
		timeout = DefaultPublishTimeout
	}
	// A lost connection to the operator must not abort a publication halfway.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(timeout, maxPublishTimeout))
	defer cancel()
	info := config.ReleaseInfo{Author: request.GetAuthor(), Note: request.GetNote(), CreatedAt: s.now()}
	result, err := s.control.Publish(ctx, configuration, request.GetBaseRelease(), info)
	if err != nil {
		s.logger.Warn("publish_failed", zap.String("author", request.GetAuthor()), zap.Error(err))
		return nil, twirpError(err)
	}
	s.logger.Info("publish", zap.String("author", request.GetAuthor()), zap.Uint64("release", result.Release),
		zap.Uint32("result_code", uint32(result.Code)), zap.String("hash", result.Hash))
	return publishResponse(&result), nil
}

func faultResponse(faults []config.Fault) *adminpb.PublishResponse {
	return &adminpb.PublishResponse{
		ResultCode: uint32(faults[0].Code), Message: "the check found faults", Faults: FaultsToProto(faults),
	}
}

func publishResponse(result *PublishResult) *adminpb.PublishResponse {
	response := &adminpb.PublishResponse{
		ResultCode: uint32(result.Code), Message: result.Message, Faults: FaultsToProto(result.Faults),
		Release: result.Release, Hash: result.Hash, RefusedBy: result.RefusedBy, Acknowledged: result.Acknowledged,
	}
	if result.Conflict != nil {
		response.ConflictRelease = result.Conflict.Release
		response.ConflictAuthor = result.Conflict.Author
		response.ConflictChanges = ChangesToProto(result.Conflict.Changes)
	}
	return response
}

// Status returns the state of the instances, services and endpoints.
func (s *Server) Status(ctx context.Context, _ *adminpb.StatusRequest) (*adminpb.StatusResponse, error) {
	response, err := s.control.Status(ctx)
	if err != nil {
		return nil, twirpError(err)
	}
	return response, nil
}

// History returns accepted releases, newest first: those that the platform still
// stores, then older ones from the history in the release in force. While the
// platform is down, the release in force and its history are the whole response.
func (s *Server) History(ctx context.Context, request *adminpb.HistoryRequest) (*adminpb.HistoryResponse, error) {
	limit := int(min(request.GetLimit(), maxHistoryLimit))
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	accepted := s.control.Accepted()
	ctx, cancel := context.WithTimeout(ctx, s.historyTimeout)
	defer cancel()
	releases, err := s.control.History(ctx, limit)
	if err != nil {
		if accepted == nil {
			return nil, twirpError(err)
		}
		s.logger.Warn("history_from_release", zap.Uint64("release", accepted.Number), zap.Error(err))
		releases = []*adminpb.ReleaseSummary{releaseSummary(accepted.Record(), true)}
	}
	return &adminpb.HistoryResponse{Releases: appendOlderRecords(releases, accepted, limit)}, nil
}

// appendOlderRecords appends records from the history of the accepted release that
// are older than the given releases, up to limit releases in total.
func appendOlderRecords(releases []*adminpb.ReleaseSummary, accepted *config.Release, limit int) []*adminpb.ReleaseSummary {
	if accepted == nil {
		return releases
	}
	for _, record := range accepted.History {
		if len(releases) >= limit {
			break
		}
		if len(releases) == 0 || record.Number < releases[len(releases)-1].GetNumber() {
			releases = append(releases, releaseSummary(record, false))
		}
	}
	return releases
}

func releaseSummary(record config.ReleaseRecord, inForce bool) *adminpb.ReleaseSummary {
	return &adminpb.ReleaseSummary{
		Number: record.Number, Hash: record.Hash, Author: record.Author, Note: record.Note,
		AcceptedAt: record.CreatedAt, InForce: inForce,
	}
}

// Drain starts or ends the drain of one endpoint.
func (s *Server) Drain(ctx context.Context, request *adminpb.DrainRequest) (*adminpb.DrainResponse, error) {
	accepted := s.control.Accepted()
	if accepted == nil {
		return &adminpb.DrainResponse{
			ResultCode: uint32(resultcode.AdminUnavailable), Message: "no release is in force",
		}, nil
	}
	if _, ok := accepted.EndpointByName(request.GetEndpoint()); !ok {
		return &adminpb.DrainResponse{
			ResultCode: uint32(resultcode.AdminUnknownName),
			Message:    "unknown endpoint " + request.GetEndpoint() + "; burdockctl status lists the names",
		}, nil
	}
	stored, err := s.control.Drain(ctx, request.GetEndpoint(), request.GetDraining())
	if err != nil {
		return nil, twirpError(err)
	}
	s.logger.Info("drain", zap.String("endpoint", request.GetEndpoint()),
		zap.Bool("draining", request.GetDraining()), zap.Bool("stored", stored))
	return &adminpb.DrainResponse{Stored: stored, Message: drainMessage(stored)}, nil
}

func drainMessage(stored bool) string {
	if stored {
		return "in force and stored"
	}
	return "in force; the platform has not stored it yet"
}

// ResultCodeMeta is the key of the result code in the metadata of a Twirp error.
const ResultCodeMeta = "result_code"

func badRequest(argument, message string) error {
	return withResultCode(twirp.InvalidArgumentError(argument, message), resultcode.AdminBadRequest)
}

// twirpError converts an error of Control and adds its result code. The code shows
// a client that the server itself returned the error, not a proxy or the network.
func twirpError(err error) error {
	code, ok := resultcode.Of(err)
	if !ok {
		code = resultcode.AdminUnavailable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return withResultCode(twirp.NewError(twirp.DeadlineExceeded, err.Error()), code)
	}
	return withResultCode(twirp.NewError(twirp.Unavailable, err.Error()), code)
}
