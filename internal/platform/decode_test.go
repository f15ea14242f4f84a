package platform

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against one object of another program, nested more deeply than encoding/json goes or
// with a number that is too large, that makes a collection unreadable: no release and no drain
// is seen any more.
func TestForeignObjectLeavesCollectionReadable(t *testing.T) {
	deep := strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)
	for _, foreign := range []string{
		`"spec":` + deep, `"status":` + deep, `"spec":{"address":1e400}`, `"spec":{"number":NaN}`, `"note":` + deep,
	} {
		object := `{"metadata":{"name":"b","resourceVersion":"11","labels":` + deep + `},` + foreign + `}`
		client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("watch") == "" {
				fmt.Fprintf(w, `{"metadata":{"resourceVersion":"10"},"items":[{"metadata":{"name":"a"}},%s,{"metadata":{"name":"c"}}]}`, object)
				return
			}
			fmt.Fprintf(w, `{"type":"MODIFIED","object":%s}`+"\n", object)
			<-r.Context().Done()
		})
		list, err := client.List(t.Context(), Instances)
		if err != nil || len(list.Items) != 3 || list.Items[1].Metadata.Name != "b" {
			t.Errorf("%.40s: list %.80v, error %v", foreign, list, err)
		}
		r := &recorder{done: make(chan struct{}), expected: 2}
		ctx, cancel := context.WithCancel(t.Context())
		go client.Watch(ctx, Instances, r)
		select {
		case <-r.done:
		case <-time.After(10 * time.Second):
		}
		cancel()
		r.mu.Lock()
		if got, want := fmt.Sprint(r.events), "[list 10 MODIFIED b]"; got != want {
			t.Errorf("%.40s: events %s, want %s", foreign, got, want)
		}
		r.mu.Unlock()
	}
}
