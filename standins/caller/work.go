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
	// sizeSpread varies the size of downloads, so that they do not all end at
	// the same time.
	sizeSpread = 0.5
)

// worker repeats one kind of request.
type worker struct {
	*client
	settings *Settings
	name     string
	random   *rand.Rand
	number   int
}

// repeat runs the request with pauses until the context for new work ends.
// Requests under way continue until the context of the whole run ends.
func (w *worker) repeat(newWork, whole context.Context, request func(context.Context, string)) {
	defer w.closeFlow()
	for w.pause(newWork) {
		w.number++
		request(whole, fmt.Sprintf("%s-%d", w.name, w.number))
		if w.settings.RequestsPerFlow > 0 && w.number%w.settings.RequestsPerFlow == 0 {
			w.closeFlow()
		}
	}
}

// pause waits for a random time with the set mean and reports whether new work
// may start.
func (w *worker) pause(newWork context.Context) bool {
	timer := time.NewTimer(time.Duration(w.random.ExpFloat64() * float64(w.settings.Pause)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return newWork.Err() == nil
	case <-newWork.Done():
		return false
	}
}

// download fetches a drawing on its own flow and compares every byte.
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

func (w *worker) fetchDrawing(ctx context.Context, id string) bool {
	factor := 1 - sizeSpread/2 + sizeSpread*w.random.Float64()
	size := int64(float64(w.settings.DownloadSize) * factor)
	path := fmt.Sprintf("/drawing/%d?id=%s", size, id)
	if w.settings.DownloadRate > 0 {
		path += fmt.Sprintf("&rate=%d", w.settings.DownloadRate)
	}
	complete := false
	// The error has been counted with the flow.
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

// compare reads the whole body and compares it with the wanted bytes.
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

// checkEnd checks that no wanted byte is missing.
func (w *worker) checkEnd(x *exchange, wanted io.Reader) bool {
	if n, _ := io.CopyN(io.Discard, wanted, 1); n != 0 {
		w.recordWrongResponse(x)
		return false
	}
	return true
}

// recordWrongResponse counts a response with other content than was asked for.
func (w *worker) recordWrongResponse(x *exchange) {
	w.recorder.update(func(s *Summary) { s.WrongResponses++ })
	if used := x.flow.Load(); used != nil {
		used.markBroken(reasonWrongBytes)
	}
}

// fetchBoard fetches the order board on a kept flow.
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

// sendReport sends a sendReport once and never repeats it.
func (w *worker) sendReport(ctx context.Context, id string) {
	w.recorder.reportStarted(id)
	var answer endpoint.ReportResponse
	result := w.doJSON(ctx, http.MethodPost, "/report/"+id, id, strings.NewReader("finished"), &answer)
	if result == outcomeOK && answer.Report != id {
		result = outcomeUnknown
		w.recorder.update(func(s *Summary) { s.MismatchedResponses++ })
	}
	if result == outcomeOK && answer.Runs > 1 {
		w.recorder.update(func(s *Summary) { s.ReportsDoubleRun++ })
	}
	w.recorder.reportEnded(id, result)
}

// doJSON sends a request and decodes a JSON response. A flow that could not be
// opened and a refusal both mean that the request was not run.
func (w *worker) doJSON(ctx context.Context, method, path, id string, body io.Reader, answer any) outcome {
	result := outcomeUnknown
	err := w.do(ctx, method, path, id, body, func(x *exchange) {
		result = w.decodeJSON(x, answer)
	})
	if errors.Is(err, errFlowNotOpened) {
		return outcomeRefused
	}
	return result
}

func (w *worker) decodeJSON(x *exchange, answer any) outcome {
	data, err := io.ReadAll(io.LimitReader(x, maxResponseBytes))
	if x.refused() {
		return outcomeRefused
	}
	if err != nil {
		return outcomeUnknown
	}
	if x.response.StatusCode != http.StatusOK || json.Unmarshal(data, answer) != nil {
		w.recordWrongResponse(x)
		return outcomeUnknown
	}
	return outcomeOK
}
