package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// maxResponseBytes bounds a response; the status at target scale takes about 2 MB.
const maxResponseBytes = 16 << 20

// connect loads the settings, applies the flags and creates the API client.
func (c *command) connect() error {
	c.settings = settings.DefaultClient()
	if c.settingsPath != "" {
		loaded, err := settings.Load[settings.Client](c.settingsPath)
		if err != nil {
			return newFailure(ExitUsage, resultCodeOf(err), "%v", err)
		}
		c.settings = loaded
	}
	c.applyFlags()
	token, err := c.token()
	if err != nil {
		return err
	}
	transport, err := c.transport()
	if err != nil {
		return err
	}
	client := &http.Client{
		Transport: &bearerTransport{next: transport, token: token},
		// Following a redirect could send the token to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.api = adminpb.NewAdministrationProtobufClient(c.settings.Server, client)
	return nil
}

func resultCodeOf(err error) resultcode.Code {
	code, _ := resultcode.Of(err)
	return code
}

func (c *command) applyFlags() {
	setIfNotEmpty(&c.settings.Server, c.server)
	setIfNotEmpty(&c.settings.TokenFile, c.tokenFile)
	setIfNotEmpty(&c.settings.CACertificate, c.caCertificate)
	setIfNotEmpty(&c.settings.Author, c.author)
	if c.timeout > 0 {
		c.settings.Timeout = c.timeout
		c.settings.PublishTimeout = c.timeout
	}
}

func setIfNotEmpty(target *string, value string) {
	if value != "" {
		*target = value
	}
}

func (c *command) token() (string, error) {
	if c.settings.TokenFile == "" {
		return "", nil
	}
	if !settings.AllowsToken(c.settings.Server) {
		return "", newFailure(ExitUsage, resultcode.SettingsInsecure, "the token would be sent to %s without TLS; use https", c.settings.Server)
	}
	token, err := admin.ReadToken(c.settings.TokenFile)
	if err != nil {
		return "", newFailure(ExitUsage, resultCodeOf(err), "%v", err)
	}
	return token, nil
}

func (c *command) transport() (*http.Transport, error) {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}
	if c.settings.CACertificate == "" {
		return transport, nil
	}
	content, err := os.ReadFile(c.settings.CACertificate)
	if err != nil {
		return nil, newFailure(ExitUsage, resultcode.SettingsUnreadable, "read certificate: %v", err)
	}
	transport.TLSClientConfig.RootCAs = x509.NewCertPool()
	if !transport.TLSClientConfig.RootCAs.AppendCertsFromPEM(content) {
		return nil, newFailure(ExitUsage, resultcode.SettingsUnreadable, "%s contains no PEM certificate", c.settings.CACertificate)
	}
	return transport, nil
}

// bearerTransport adds the bearer token to requests and limits the size of
// response bodies.
type bearerTransport struct {
	next  http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper.
func (t *bearerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.token != "" {
		request = request.Clone(request.Context())
		request.Header.Set("Authorization", "Bearer "+t.token)
	}
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(response.Body, maxResponseBytes), response.Body}
	return response, nil
}

// toFailure converts any error to a failure with an exit code and a result code.
func toFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var remote twirp.Error
	if errors.As(err, &remote) {
		if code, ok := remoteCode(remote); ok {
			exit := ExitFailed
			if code == resultcode.AdminUnavailable {
				exit = ExitUnreachable
			}
			return &failure{exit, code, fmt.Sprintf("code %d: %s", code, remote.Msg())}
		}
	}
	if isUnreachable(err) {
		return &failure{
			ExitUnreachable, resultcode.AdminUnavailable,
			fmt.Sprintf("code %d: no response: %v; try another instance with -server", resultcode.AdminUnavailable, err),
		}
	}
	return &failure{ExitFailed, resultCodeOf(err), err.Error()}
}

// remoteCode returns the result code in the metadata of an error of the server. It
// returns false if there is none.
func remoteCode(err twirp.Error) (resultcode.Code, bool) {
	number, parseErr := strconv.ParseUint(err.Meta(admin.ResultCodeMeta), 10, 32)
	return resultcode.Code(number), parseErr == nil
}

func isUnreachable(err error) bool {
	var network net.Error
	var remote twirp.Error
	if errors.As(err, &network) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, io.EOF) {
		return true
	}
	return errors.As(err, &remote) && (remote.Code() == twirp.Unavailable || remote.Code() == twirp.DeadlineExceeded)
}

// isDialError reports whether the connection could not be opened, so that the
// request cannot have reached the server.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readFiles reads the given files and, in order of their names, the .yaml and .yml
// files of the given directories. Files that have more than config.MaxInputBytes in
// total are an error.
func readFiles(paths []string) ([]config.File, error) {
	var files []config.File
	total := 0
	for _, path := range paths {
		names, err := expandPath(path)
		if err != nil {
			return nil, newFailure(ExitUsage, resultcode.SettingsUnreadable, "%v", err)
		}
		for _, name := range names {
			content, err := readFile(name, config.MaxInputBytes-total)
			if err != nil {
				return nil, newFailure(ExitUsage, resultcode.SettingsUnreadable, "%v", err)
			}
			total += len(content)
			files = append(files, config.File{Name: name, Content: content})
		}
	}
	return files, nil
}

func expandPath(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		extension := filepath.Ext(entry.Name())
		if !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			names = append(names, filepath.Join(path, entry.Name()))
		}
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s contains no .yaml or .yml file", path)
	}
	slices.Sort(names)
	return names, nil
}

func readFile(name string, limit int) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(content) > limit {
		return nil, fmt.Errorf("%s: the files have more than %d bytes in total", name, config.MaxInputBytes)
	}
	return content, nil
}

func filesToProto(files []config.File) []*adminpb.File {
	converted := make([]*adminpb.File, 0, len(files))
	for _, file := range files {
		converted = append(converted, &adminpb.File{Name: file.Name, Content: file.Content})
	}
	return converted
}

func faultsFromProto(faults []*adminpb.Fault) []config.Fault {
	converted := make([]config.Fault, 0, len(faults))
	for _, fault := range faults {
		converted = append(converted, config.Fault{
			File: fault.GetFile(), Line: int(fault.GetLine()), Code: resultcode.Code(fault.GetResultCode()),
			Message: fault.GetMessage(), Advice: fault.GetAdvice(),
		})
	}
	return converted
}

func (c *command) printJSON(value any) {
	encoder := json.NewEncoder(c.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	// The error is ignored: the values are maps and structs of plain types, so only
	// the write can fail.
	_ = encoder.Encode(value)
}

func (c *command) printProto(message proto.Message) error {
	options := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	content, err := options.Marshal(message)
	if err != nil {
		return newFailure(ExitFailed, resultcode.AdminBadRequest, "encode output: %v", err)
	}
	c.printJSON(json.RawMessage(content))
	return nil
}
