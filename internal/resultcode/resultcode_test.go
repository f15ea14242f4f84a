package resultcode

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against a code that is lost when an error is wrapped by callers.
func TestOfFindsCodeInWrappedError(t *testing.T) {
	wrapped := fmt.Errorf("publish: %w", Errorf(PublishConflict, "release %d came between", 7))
	code, ok := Of(wrapped)
	if !ok || code != PublishConflict {
		t.Fatalf("Of(%v) = %d, %v", wrapped, code, ok)
	}
	if _, ok := Of(errors.New("plain")); ok {
		t.Fatal("an error without code reported one")
	}
}
