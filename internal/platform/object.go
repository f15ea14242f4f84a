// Package platform is the client of the platform, the operators' object API (see
// docs/design.md section 5.2).
package platform

import (
	"encoding/json"
	"time"
)

// Collections of the object API.
const (
	Releases         = "releases"
	Pointers         = "pointers"
	Drains           = "drains"
	Acknowledgements = "acknowledgements"
	Instances        = "instances"
)

// APIVersion is the API version of every object.
const APIVersion = "burdockrelay.example/v1"

const basePath = "/apis/" + APIVersion + "/"

// Metadata is the common part of objects and lists.
type Metadata struct {
	Name              string `json:"name,omitempty"`
	ResourceVersion   string `json:"resourceVersion,omitempty"`
	CreationTimestamp string `json:"creationTimestamp,omitempty"`
}

// Object is an object whose spec and status are still encoded as JSON.
type Object struct {
	Kind       string          `json:"kind"`
	APIVersion string          `json:"apiVersion"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
	// Era is the era in which the platform returned the object; see eraHeader.
	Era string `json:"-"`
}

// List is the response to a GET on a collection.
type List struct {
	Metadata Metadata `json:"metadata"`
	Items    []Object `json:"items"`
	// RequestedAt is when a watch requested the list. The list may lack objects that
	// were created since.
	RequestedAt time.Time `json:"-"`
	// Era is the era in which the platform responded; see eraHeader.
	Era string `json:"-"`
}

// eraHeader is a header of all responses. Its value changes when the platform is restored
// from a copy of its content. Resource versions are then assigned again, so those of two
// eras must not be compared. It is missing if the platform has no eras.
const eraHeader = "Storage-Era"

// Failure is the body of an unsuccessful response and of an error event.
type Failure struct {
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Event types of a watch.
const (
	Added      = "ADDED"
	Modified   = "MODIFIED"
	Deleted    = "DELETED"
	Bookmark   = "BOOKMARK"
	errorEvent = "ERROR"
)

// Event is one line of a watch response.
type Event struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// NewObject returns an object with the JSON encoding of spec.
func NewObject(kind, name, resourceVersion string, spec any) (*Object, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	return &Object{
		Kind:       kind,
		APIVersion: APIVersion,
		Metadata:   Metadata{Name: name, ResourceVersion: resourceVersion},
		Spec:       encoded,
	}, nil
}
