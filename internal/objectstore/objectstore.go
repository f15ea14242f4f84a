// Package objectstore is the interface of a store of named objects that has one
// revision counter, conditional updates and watches.
package objectstore

import (
	"context"
	"time"
)

// Object is one object with its content still encoded.
type Object struct {
	Kind string
	Name string
	// Revision is the store's revision of the object's last change.
	Revision uint64
	Content  []byte
}

// Page is a part of the objects of a kind.
type Page struct {
	Objects []Object
	// Revision is the store's revision when the list was made.
	Revision uint64
	// More is set when the list goes on behind the last name.
	More bool
}

// ListAll returns all objects of a list that part gives piece by piece, each behind a
// name, and the revision that the list is complete at: that of the first part.
func ListAll(part func(after string) (Page, error)) (objects []Object, at uint64, err error) {
	after := ""
	for {
		listing, err := part(after)
		if err != nil {
			return nil, 0, err
		}
		if at == 0 {
			at = listing.Revision
		}
		objects = append(objects, listing.Objects...)
		if !listing.More || len(listing.Objects) == 0 {
			return objects, at, nil
		}
		after = objects[len(objects)-1].Name
	}
}

// Event is one change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Changes are the events of a kind after a revision.
type Changes struct {
	Events []Event
	// Revision is where the next watch continues.
	Revision uint64
}

// Store is a store of objects. Errors carry the result codes of the platform
// (4000 to 4099).
type Store interface {
	// List returns the objects of a kind whose names are after a name.
	List(ctx context.Context, kind, after string) (Page, error)
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes a new object. When there is one already it returns that, with
	// an error of the code PlatformExists.
	Create(ctx context.Context, object Object) (Object, error)
	// Update replaces an object that still has its revision; 0 replaces any.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes an object that still has the revision; 0 removes any.
	Delete(ctx context.Context, kind, name string, revision uint64) error
	// Watch waits for changes after a revision for at most a time.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
}
