package resultcode

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against a code that is not found after callers wrapped the error.
func TestOfFindsCodeInWrappedError(t *testing.T) {
	wrapped := fmt.Errorf("publish: %w", Errorf(PublishConflict, "release %d was published in the meantime", 7))
	code, ok := Of(wrapped)
	if !ok || code != PublishConflict {
		t.Fatalf("Of(%v) = %d, %v", wrapped, code, ok)
	}
	if _, ok := Of(errors.New("plain")); ok {
		t.Fatal("Of reported a code for an error without one")
	}
}
