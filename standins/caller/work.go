package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"burdockrelay.example/burdockrelay/standins/content"
	"burdockrelay.example/burdockrelay/standins/endpoint"
)

const (
	maxResponseBytes = 1 << 20
	// sizeSpread is the range of download sizes as a fraction of the mean. Sizes
	// vary so that downloads do not all end at the same time.
	sizeSpread = 0.5
)

// worker sends requests of one kind, one after the other.
type worker struct {
	*client
	settings *Settings
	name     string
	random   *rand.Rand
	// number counts the requests and is part of their identifiers.
	number int
}

// repeat sends requests, with pauses in between, until newWorkCtx ends. A request
// in flight at that time may continue until runCtx ends.
func (w *worker) repeat(newWorkCtx, runCtx context.Context, request func(context.Context, string)) {
	defer w.closeFlow()
	for w.pause(newWorkCtx) {
		w.number++
		request(runCtx, fmt.Sprintf("%s-%d", w.name, w.number))
		if w.settings.RequestsPerFlow > 0 && w.number%w.settings.RequestsPerFlow == 0 {
			w.closeFlow()
		}
	}
}

// pause waits for an exponentially distributed time with mean Settings.Pause and
// reports whether a new request may be sent.
func (w *worker) pause(newWorkCtx context.Context) bool {
	timer := time.NewTimer(time.Duration(w.random.ExpFloat64() * float64(w.settings.Pause)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return newWorkCtx.Err() == nil
	case <-newWorkCtx.Done():
		return false
	}
}

// download fetches a drawing on a flow of its own and verifies every byte.
func (w *worker) download(ctx context.Context, id string) {
	w.recorder.update(func(s *Summary) { s.DownloadsInFlight++ })
	complete := w.fetchDrawing(ctx, id)
	w.closeFlow()
	w.recorder.update(func(s *Summary) {
		s.DownloadsInFlight--
		if complete {
			s.DownloadsComplete++
		} else {
			s.DownloadsFailed++
		}
	})
}

// fetchDrawing reports whether a drawing of random size arrived complete and
// correct.
func (w *worker) fetchDrawing(ctx context.Context, id string) bool {
	factor := 1 - sizeSpread/2 + sizeSpread*w.random.Float64()
	size := int64(float64(w.settings.DownloadSize) * factor)
	path := fmt.Sprintf("/drawing/%d?id=%s", size, id)
	if w.settings.DownloadRate > 0 {
		path += fmt.Sprintf("&rate=%d", w.settings.DownloadRate)
	}
	complete := false
	// The error has already been counted for the flow.
	_ = w.do(ctx, http.MethodGet, path, id, nil, func(x *exchange) {
		complete = w.checkDrawing(x, content.Reader(id, size))
	})
	return complete
}

func (w *worker) checkDrawing(x *exchange, wanted io.Reader) bool {
	if x.refused() {
		return false
	}
	if x.response.StatusCode != http.StatusOK {
		w.recordWrongResponse(x)
		return false
	}
	return w.compare(x, wanted)
}

// compare reads the whole body and reports whether it equals the wanted bytes.
func (w *worker) compare(x *exchange, wanted io.Reader) bool {
	got := make([]byte, readBufferSize)
	want := make([]byte, readBufferSize)
	for {
		n, readErr := x.Read(got)
		m, _ := io.ReadFull(wanted, want[:n])
		if m != n || !bytes.Equal(got[:n], want[:n]) {
			w.recordWrongResponse(x)
			return false
		}
		if errors.Is(readErr, io.EOF) {
			return w.checkEnd(x, wanted)
		}
		if readErr != nil {
			return false
		}
	}
}

// checkEnd reports whether the body was as long as the wanted bytes.
func (w *worker) checkEnd(x *exchange, wanted io.Reader) bool {
	if n, _ := io.CopyN(io.Discard, wanted, 1); n != 0 {
		w.recordWrongResponse(x)
		return false
	}
	return true
}

// recordWrongResponse counts a response with an unexpected status or content, and
// its flow as broken.
func (w *worker) recordWrongResponse(x *exchange) {
	w.recorder.update(func(s *Summary) { s.WrongResponses++ })
	if f := x.flow.Load(); f != nil {
		f.markBroken(reasonWrongBytes)
	}
}

// fetchBoard fetches the order board. Flows are reused, see
// Settings.RequestsPerFlow.
func (w *worker) fetchBoard(ctx context.Context, id string) {
	var board endpoint.Board
	ok := w.doJSON(ctx, http.MethodGet, "/board?id="+id, id, nil, &board) == outcomeOK
	if ok && board.Request != id {
		ok = false
		w.recorder.update(func(s *Summary) { s.MismatchedResponses++ })
	}
	w.recorder.update(func(s *Summary) {
		if ok {
			s.BoardsOK++
		} else {
			s.BoardsFailed++
		}
	})
}

// sendReport sends a report once and records the outcome. It never retries, since
// a report must not run twice.
func (w *worker) sendReport(ctx context.Context, id string) {
	w.recorder.reportStarted(id)
	var response endpoint.ReportResponse
	result := w.doJSON(ctx, http.MethodPost, "/report/"+id, id, strings.NewReader("finished"), &response)
	if result == outcomeOK && response.Report != id {
		result = outcomeUnknown
		w.recorder.update(func(s *Summary) { s.MismatchedResponses++ })
	}
	if result == outcomeOK && response.Runs > 1 {
		w.recorder.update(func(s *Summary) { s.ReportsDoubleRun++ })
	}
	w.recorder.reportEnded(id, result)
}

// doJSON sends a request and decodes the JSON response into value. The outcome is
// outcomeRefused if the flow could not be opened or the endpoint refused the
// request; in both cases the request was not run.
func (w *worker) doJSON(ctx context.Context, method, path, id string, body io.Reader, value any) outcome {
	result := outcomeUnknown
	err := w.do(ctx, method, path, id, body, func(x *exchange) {
		result = w.decodeJSON(x, value)
	})
	if errors.Is(err, errFlowNotOpened) {
		return outcomeRefused
	}
	return result
}

func (w *worker) decodeJSON(x *exchange, value any) outcome {
	data, err := io.ReadAll(io.LimitReader(x, maxResponseBytes))
	if x.refused() {
		return outcomeRefused
	}
	if err != nil {
		return outcomeUnknown
	}
	if x.response.StatusCode != http.StatusOK || json.Unmarshal(data, value) != nil {
		w.recordWrongResponse(x)
		return outcomeUnknown
	}
	return outcomeOK
}
