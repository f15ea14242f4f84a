package admin

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// fakeControl accepts releases in memory. If gate is set, each publication waits to
// receive from it after it has read the newest release and before it accepts its own.
type fakeControl struct {
	mu            sync.Mutex
	accepted      []*config.Release
	hashes        []string
	gate          chan struct{}
	drains        map[string]bool
	failure       error
	oldestInForce uint64
	// kept is the number of releases that the platform stores, 0 for all.
	kept int
	// unresponsive makes the platform accept requests without responding.
	unresponsive bool
}

func (f *fakeControl) OldestInForce() uint64 { return f.oldestInForce }

func (f *fakeControl) Accepted() *config.Release {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest()
}

func (f *fakeControl) newest() *config.Release {
	if len(f.accepted) == 0 {
		return nil
	}
	return f.accepted[len(f.accepted)-1]
}

func (f *fakeControl) Publish(ctx context.Context, c *config.Configuration, base uint64, info config.ReleaseInfo) (PublishResult, error) {
	if f.failure != nil {
		return PublishResult{}, f.failure
	}
	previous := f.Accepted()
	if f.gate != nil {
		select {
		case <-f.gate:
		case <-ctx.Done():
			return PublishResult{Code: resultcode.PublishTimeout, Message: "timeout"}, nil
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.newest()
	if newest != previous || (base != 0 && newest != nil && newest.Number != base) {
		return PublishResult{
			Code: resultcode.PublishConflict, Message: "another release came between",
			Conflict: &Conflict{Release: newest.Number, Author: newest.Author, Changes: config.Diff(f.releaseByNumber(base), newest)},
		}, nil
	}
	release, faults := config.BuildRelease(c, previous, info)
	if len(faults) > 0 {
		return PublishResult{Code: faults[0].Code, Faults: faults}, nil
	}
	_, hash, err := release.Encode()
	if err != nil {
		return PublishResult{}, err
	}
	f.accepted = append(f.accepted, release)
	f.hashes = append(f.hashes, hash)
	return PublishResult{Release: release.Number, Hash: hash, Acknowledged: 4}, nil
}

func (f *fakeControl) releaseByNumber(number uint64) *config.Release {
	for _, release := range f.accepted {
		if release.Number == number {
			return release
		}
	}
	return nil
}

func (f *fakeControl) Status(context.Context) (*adminpb.StatusResponse, error) {
	return &adminpb.StatusResponse{DataCentre: "fukuoka"}, f.failure
}

func (f *fakeControl) History(ctx context.Context, limit int) ([]*adminpb.ReleaseSummary, error) {
	var summaries []*adminpb.ReleaseSummary
	if f.failure != nil {
		return nil, f.failure
	}
	if f.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := 0
	if f.kept > 0 {
		oldest = max(0, len(f.accepted)-f.kept)
	}
	for i := len(f.accepted) - 1; i >= oldest && len(summaries) < limit; i-- {
		summaries = append(summaries, &adminpb.ReleaseSummary{Number: f.accepted[i].Number, Author: f.accepted[i].Author, Hash: f.hashes[i]})
	}
	return summaries, nil
}

func (f *fakeControl) Drain(_ context.Context, endpoint string, draining bool) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drains[endpoint] = draining
	return true, nil
}

func newFakeControl() *fakeControl { return &fakeControl{drains: map[string]bool{}} }

// files returns a configuration with the given number of endpoints.
func files(endpoints int) []*adminpb.File {
	var text strings.Builder
	text.WriteString("kind: Place\nname: fukuoka\n---\nkind: Service\nname: desk\naddress: 198.51.100.10\nport: 443\nprotocol: tcp\n---\n")
	text.WriteString("kind: Rule\nname: desk\nservice: desk\nbackend_set: desk\n---\nkind: BackendSet\nname: desk\nendpoints:\n")
	for i := 1; i <= endpoints; i++ {
		fmt.Fprintf(&text, "  - {name: desk-%d, place: fukuoka, address: \"10.0.0.%d:6081\", health: \"10.0.0.%d:8080\"}\n", i, i, i)
	}
	return []*adminpb.File{{Name: "desk.yaml", Content: []byte(text.String())}}
}

// startServer serves the API for control over HTTP and returns a client that sends
// clientToken. An empty token disables authentication.
func startServer(t *testing.T, control Control, token, clientToken string) adminpb.Administration {
	t.Helper()
	server := httptest.NewServer(NewHandler(NewServer(control, zap.NewNop()), token))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: bearerTransport(clientToken)}
	return adminpb.NewAdministrationProtobufClient(server.URL, client)
}

type bearerTransport string

func (b bearerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if b != "" {
		request.Header.Set("Authorization", "Bearer "+string(b))
	}
	return http.DefaultTransport.RoundTrip(request)
}

// Guards against two concurrent publications on the same base that both succeed,
// and against a conflict without the author and the changes of the other release.
func TestConcurrentPublicationsConflict(t *testing.T) {
	control := newFakeControl()
	client := startServer(t, control, "", "")
	first, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(1), Author: "aiko"})
	if err != nil || first.GetResultCode() != 0 {
		t.Fatal(first, err)
	}
	control.gate = make(chan struct{})
	type outcome struct {
		author   string
		response *adminpb.PublishResponse
		err      error
	}
	outcomes := make(chan outcome, 2)
	for endpoints, author := range map[int]string{2: "aiko", 3: "baraka"} {
		go func() {
			response, err := client.Publish(t.Context(), &adminpb.PublishRequest{
				Files: files(endpoints), BaseRelease: 1, Author: author, TimeoutMs: 10_000,
			})
			outcomes <- outcome{author, response, err}
		}()
	}
	control.gate <- struct{}{}
	control.gate <- struct{}{}
	var winner, loser outcome
	for range 2 {
		result := <-outcomes
		if result.err != nil {
			t.Fatal(result.err)
		}
		if result.response.GetResultCode() == 0 {
			winner = result
		} else {
			loser = result
		}
	}
	if winner.response == nil || loser.response == nil {
		t.Fatalf("want one success and one conflict, got %v and %v", winner, loser)
	}
	if loser.response.GetResultCode() != uint32(resultcode.PublishConflict) ||
		loser.response.GetConflictRelease() != winner.response.GetRelease() ||
		loser.response.GetConflictAuthor() != winner.author ||
		len(loser.response.GetConflictChanges()) == 0 {
		t.Fatalf("the conflict response is %v", loser.response)
	}
	if len(control.accepted) != 2 {
		t.Fatalf("%d releases were accepted, want 2", len(control.accepted))
	}
}

// Guards against a publication that overwrites a release accepted after its base.
func TestPublishOnOutdatedBaseConflicts(t *testing.T) {
	control := newFakeControl()
	client := startServer(t, control, "", "")
	for i := 1; i <= 2; i++ {
		if _, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(i), Author: "aiko"}); err != nil {
			t.Fatal(err)
		}
	}
	response, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(5), Author: "baraka", BaseRelease: 1})
	if err != nil || response.GetResultCode() != uint32(resultcode.PublishConflict) || response.GetConflictRelease() != 2 {
		t.Fatal(response, err)
	}
}

// Guards against a server that accepts requests without the right token.
func TestTokenIsRequired(t *testing.T) {
	for _, token := range []string{"", "wrong", "secret-token-000", "secret-token-00000"} {
		client := startServer(t, newFakeControl(), "secret-token-0000", token)
		_, err := client.Status(t.Context(), &adminpb.StatusRequest{})
		wantTwirpError(t, err, twirp.Unauthenticated, resultcode.AdminUnauthorized)
	}
	client := startServer(t, newFakeControl(), "secret-token-0000", "secret-token-0000")
	if _, err := client.Status(t.Context(), &adminpb.StatusRequest{}); err != nil {
		t.Fatal(err)
	}
}

func wantTwirpError(t *testing.T, err error, kind twirp.ErrorCode, code resultcode.Code) {
	t.Helper()
	var failure twirp.Error
	if !errors.As(err, &failure) || failure.Code() != kind || failure.Meta(ResultCodeMeta) != fmt.Sprint(uint32(code)) {
		t.Fatalf("got %v, want %s with result code %d", err, kind, code)
	}
}

// Guards against a request body that exhausts the memory of the daemon, with and
// without a Content-Length.
func TestOversizedRequestIsRefused(t *testing.T) {
	handler := NewHandler(NewServer(newFakeControl(), zap.NewNop()), "")
	for name, length := range map[string]int64{"with length": MaxRequestBytes + 1, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			body := &countingReader{left: MaxRequestBytes * 2}
			request := httptest.NewRequest(http.MethodPost, "/twirp/burdockrelay.admin.Administration/Check", body)
			request.Header.Set("Content-Type", "application/protobuf")
			request.ContentLength = length
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			if recorder.Code < 400 || recorder.Code >= 500 {
				t.Fatalf("got status %d: %s", recorder.Code, recorder.Body)
			}
			if body.read > MaxRequestBytes+1<<20 {
				t.Fatalf("%d bytes were read", body.read)
			}
		})
	}
}

// countingReader returns zero bytes until left is 0, and counts the bytes read.
type countingReader struct{ left, read int }

func (r *countingReader) Read(buffer []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(buffer), r.left)
	clear(buffer[:n])
	r.left -= n
	r.read += n
	return n, nil
}

// Guards against more concurrent requests, each with a configuration in memory,
// than the limit permits.
func TestConcurrentRequestsAreBounded(t *testing.T) {
	control := newFakeControl()
	control.gate = make(chan struct{})
	client := startServer(t, control, "", "")
	var waiting sync.WaitGroup
	for range maxConcurrentRequests {
		waiting.Go(func() {
			_, _ = client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(1), Author: "aiko"})
		})
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		_, err := client.Status(t.Context(), &adminpb.StatusRequest{})
		if err != nil {
			wantTwirpError(t, err, twirp.ResourceExhausted, resultcode.AdminUnavailable)
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no request was refused")
		}
	}
	close(control.gate)
	waiting.Wait()
}

// Guards against a listener on an address other than loopback without TLS and
// token, even if the settings loader accepted it.
func TestInsecureListenerIsRefused(t *testing.T) {
	directory := t.TempDir()
	token := writeFile(t, directory, "token", []byte("secret-token-0000\n"))
	certificate, key := certificateFiles(t, directory)
	external := netip.MustParseAddrPort("192.0.2.1:7090")
	cases := map[string]struct {
		settings settings.Administration
		ok       bool
	}{
		"loopback":                     {settings.Administration{Listen: netip.MustParseAddrPort("127.0.0.1:7090")}, true},
		"no TLS, no token":             {settings.Administration{Listen: external}, false},
		"token only":                   {settings.Administration{Listen: external, TokenFile: token}, false},
		"TLS only":                     {settings.Administration{Listen: external, TLSCertificate: certificate, TLSKey: key}, false},
		"TLS and token":                {settings.Administration{Listen: external, TLSCertificate: certificate, TLSKey: key, TokenFile: token}, true},
		"short token":                  {settings.Administration{Listen: external, TLSCertificate: certificate, TLSKey: key, TokenFile: writeFile(t, directory, "short", []byte("abc"))}, false},
		"missing key":                  {settings.Administration{Listen: external, TLSCertificate: certificate, TLSKey: "none", TokenFile: token}, false},
		"loopback, missing token file": {settings.Administration{Listen: netip.MustParseAddrPort("127.0.0.1:7090"), TokenFile: "none"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := NewHTTPServer(NewServer(newFakeControl(), zap.NewNop()), c.settings)
			if (err == nil) != c.ok {
				t.Fatalf("got %v", err)
			}
			if _, coded := resultcode.Of(err); !coded {
				t.Fatalf("no result code in %v", err)
			}
		})
	}
}

func writeFile(t *testing.T, directory, name string, content []byte) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// certificateFiles writes a self-signed certificate for 127.0.0.1.
func certificateFiles(t *testing.T, directory string) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	certificate = writeFile(t, directory, "certificate.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	key = writeFile(t, directory, "key.pem", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	return certificate, key
}

// Guards against a TLS listener that also serves plain HTTP.
func TestServeUsesTLS(t *testing.T) {
	directory := t.TempDir()
	certificate, key := certificateFiles(t, directory)
	server, err := NewHTTPServer(NewServer(newFakeControl(), zap.NewNop()), settings.Administration{
		Listen: netip.MustParseAddrPort("127.0.0.1:7090"), TLSCertificate: certificate, TLSKey: key,
	})
	if err != nil {
		t.Fatal(err)
	}
	server.ErrorLog = log.New(io.Discard, "", 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- Serve(server, listener) }()
	pool := x509.NewCertPool()
	content, err := os.ReadFile(certificate)
	if err != nil || !pool.AppendCertsFromPEM(content) {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
	address := listener.Addr().String()
	if _, err := adminpb.NewAdministrationProtobufClient("https://"+address, client).Status(t.Context(), &adminpb.StatusRequest{}); err != nil {
		t.Fatal(err)
	}
	if _, err := adminpb.NewAdministrationProtobufClient("http://"+address, client).Status(t.Context(), &adminpb.StatusRequest{}); err == nil {
		t.Fatal("plain HTTP was served")
	}
	if err := server.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		t.Fatal(err)
	}
}

// Guards against a Publish or Diff that accepts a configuration which Check
// rejects.
func TestCheckDiffAndPublishReportSameFaults(t *testing.T) {
	control := newFakeControl()
	client := startServer(t, control, "", "")
	faulty := files(1)
	faulty[0].Content = bytes.Replace(faulty[0].Content, []byte("backend_set: desk"), []byte("backend_set: task"), 1)
	check, err := client.Check(t.Context(), &adminpb.CheckRequest{Files: faulty})
	if err != nil || len(check.GetFaults()) == 0 {
		t.Fatal(check, err)
	}
	diff, err := client.Diff(t.Context(), &adminpb.DiffRequest{Files: faulty})
	if err != nil || len(diff.GetFaults()) != len(check.GetFaults()) {
		t.Fatal(diff, err)
	}
	publish, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: faulty, Author: "aiko"})
	if err != nil || len(publish.GetFaults()) != len(check.GetFaults()) || publish.GetResultCode() == 0 {
		t.Fatal(publish, err)
	}
	fault := check.GetFaults()[0]
	if fault.GetFile() != "desk.yaml" || fault.GetLine() == 0 || fault.GetAdvice() == "" {
		t.Fatalf("got %v", fault)
	}
	if len(control.accepted) != 0 {
		t.Fatal("a faulty configuration was published")
	}
}

// Guards against a Check that accepts an address in quarantine, and against one
// that still rejects it after all instances have the newer release in force.
func TestCheckHonoursQuarantine(t *testing.T) {
	control := newFakeControl()
	client := startServer(t, control, "", "")
	for _, endpoints := range []int{2, 1} {
		if _, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(endpoints), Author: "aiko"}); err != nil {
			t.Fatal(err)
		}
	}
	moved := files(2)
	text := strings.ReplaceAll(string(moved[0].Content), "desk", "shelf")
	moved[0].Content = []byte(strings.ReplaceAll(strings.ReplaceAll(text, "10.0.0.1:", "10.0.0.9:"), "198.51.100.10", "198.51.100.11"))
	for oldestInForce, faults := range map[uint64]int{1: 1, 2: 0} {
		control.oldestInForce = oldestInForce
		response, err := client.Check(t.Context(), &adminpb.CheckRequest{Files: moved})
		if err != nil || len(response.GetFaults()) != faults {
			t.Errorf("oldest release in force %d: got %v, %v", oldestInForce, response, err)
		}
	}
}

// Guards against requests that are accepted without the required fields, and
// against errors that lose their result code.
func TestBadRequestsHaveResultCodes(t *testing.T) {
	control := newFakeControl()
	client := startServer(t, control, "", "")
	for _, request := range []*adminpb.PublishRequest{
		{Files: files(1)},
		{Files: files(1), Author: strings.Repeat("a", config.MaxAuthorLength+1)},
		{Files: files(1), Author: "aiko", Note: strings.Repeat("a", config.MaxNoteLength+1)},
	} {
		_, err := client.Publish(t.Context(), request)
		wantTwirpError(t, err, twirp.InvalidArgument, resultcode.AdminBadRequest)
	}
	control.failure = resultcode.Errorf(resultcode.PlatformUnreachable, "no response")
	_, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(1), Author: "aiko"})
	wantTwirpError(t, err, twirp.Unavailable, resultcode.PlatformUnreachable)
	// burdockctl concludes from an error with a result code that nothing was
	// published, so an error without one must get it here.
	control.failure = fmt.Errorf("read the pointer: %w", context.DeadlineExceeded)
	_, err = client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(1), Author: "aiko"})
	wantTwirpError(t, err, twirp.DeadlineExceeded, resultcode.AdminUnavailable)
}

// Guards against a drain that is accepted for an endpoint that does not exist or
// before the first release.
func TestDrainRejectsUnknownEndpoint(t *testing.T) {
	control := newFakeControl()
	client := startServer(t, control, "", "")
	before, err := client.Drain(t.Context(), &adminpb.DrainRequest{Endpoint: "desk-1", Draining: true})
	if err != nil || before.GetResultCode() != uint32(resultcode.AdminUnavailable) {
		t.Fatal(before, err)
	}
	if _, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(1), Author: "aiko"}); err != nil {
		t.Fatal(err)
	}
	unknown, err := client.Drain(t.Context(), &adminpb.DrainRequest{Endpoint: "desk-7", Draining: true})
	if err != nil || unknown.GetResultCode() != uint32(resultcode.AdminUnknownName) {
		t.Fatal(unknown, err)
	}
	known, err := client.Drain(t.Context(), &adminpb.DrainRequest{Endpoint: "desk-1", Draining: true})
	if err != nil || known.GetResultCode() != 0 || !known.GetStored() || !control.drains["desk-1"] {
		t.Fatal(known, err)
	}
}

// Guards against a publication that is aborted halfway because the connection to
// the operator was lost.
func TestPublicationContinuesAfterLostConnection(t *testing.T) {
	control := newFakeControl()
	control.gate = make(chan struct{})
	client := startServer(t, control, "", "")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client.Publish(ctx, &adminpb.PublishRequest{Files: files(1), Author: "aiko", TimeoutMs: 10_000})
	}()
	time.Sleep(100 * time.Millisecond)
	cancel()
	<-done
	select {
	case control.gate <- struct{}{}:
	case <-time.After(10 * time.Second):
		t.Fatal("the publication was aborted when the request was cancelled")
	}
	for deadline := time.Now().Add(10 * time.Second); control.Accepted() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the publication did not finish")
		}
	}
}

// Guards against a history response of unbounded size.
func TestHistoryIsLimited(t *testing.T) {
	control := newFakeControl()
	client := startServer(t, control, "", "")
	for i := 1; i <= 25; i++ {
		if _, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(i), Author: "aiko"}); err != nil {
			t.Fatal(err)
		}
	}
	for limit, want := range map[uint32]int{0: defaultHistoryLimit, 3: 3, 1 << 31: 25} {
		response, err := client.History(t.Context(), &adminpb.HistoryRequest{Limit: limit})
		if err != nil || len(response.GetReleases()) != want || response.GetReleases()[0].GetNumber() != 25 {
			t.Errorf("limit %d: got %d releases, %v", limit, len(response.GetReleases()), err)
		}
	}
}

// Guards against a history without the releases that the platform has removed, and
// against one that is not available during a platform outage.
func TestHistoryIncludesReleasesThePlatformDropped(t *testing.T) {
	control := newFakeControl()
	control.kept = 3
	client := startServer(t, control, "", "")
	for i := 1; i <= 30; i++ {
		if _, err := client.Publish(t.Context(), &adminpb.PublishRequest{Files: files(i), Author: "aiko"}); err != nil {
			t.Fatal(err)
		}
	}
	for _, failure := range []error{nil, resultcode.Errorf(resultcode.PlatformUnreachable, "no response")} {
		control.failure = failure
		response, err := client.History(t.Context(), &adminpb.HistoryRequest{Limit: 28})
		if err != nil || len(response.GetReleases()) != 28 {
			t.Fatalf("failure %v: got %d releases, %v", failure, len(response.GetReleases()), err)
		}
		for i, release := range response.GetReleases() {
			if release.GetNumber() != uint64(30-i) || release.GetHash() != control.hashes[29-i] {
				t.Fatalf("failure %v: release %d is %v", failure, i, release)
			}
		}
	}
}

// Guards against a History call that waits for an unresponsive platform until the
// client times out.
func TestHistoryRespondsWhilePlatformIsUnresponsive(t *testing.T) {
	control := newFakeControl()
	server := NewServer(control, zap.NewNop())
	server.historyTimeout = 50 * time.Millisecond
	if _, err := server.Publish(t.Context(), &adminpb.PublishRequest{Files: files(1), Author: "aiko"}); err != nil {
		t.Fatal(err)
	}
	control.unresponsive = true
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, err := server.History(ctx, &adminpb.HistoryRequest{})
	if err != nil || len(response.GetReleases()) != 1 || !response.GetReleases()[0].GetInForce() {
		t.Fatal(response, err)
	}
}
