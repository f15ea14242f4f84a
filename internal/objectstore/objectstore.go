// Package objectstore defines the interface of a store of named objects with a single
// revision counter, conditional updates and watches, and has helpers for its clients.
package objectstore

import (
	"context"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Object is one object with its encoded content.
type Object struct {
	Kind string
	// Name is empty for an object of a list whose name or revision the response does not
	// show.
	Name string
	// Revision is the store revision of the object's last change, in the era in which
	// the object was read.
	Revision common.Revision
	Content  []byte
}

// Page is one page of the list of objects of a kind.
type Page struct {
	Objects []Object
	// Revision is the store revision at which the page was read.
	Revision common.Revision
	// More is set if there are objects after the last one of this page.
	More bool
}

// ListAll reads all pages of a list. The function list returns the page after a name.
// The list is complete at the revision of the first page, which ListAll returns in at. If
// the store is restored between two pages, it returns an error with code PlatformExpired.
func ListAll(list func(after string) (Page, error)) (objects []Object, at common.Revision, err error) {
	after := ""
	for {
		page, err := list(after)
		if err != nil {
			return nil, common.Revision{}, err
		}
		if at.IsZero() {
			at = page.Revision
		}
		if page.Revision.Era != at.Era {
			return nil, common.Revision{}, RestoredError(at, page.Revision)
		}
		objects = append(objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return objects, at, nil
		}
		if after = page.lastName(); after == "" {
			return nil, common.Revision{}, resultcode.Errorf(resultcode.PlatformBadAnswer, "a page without a name at which the list continues")
		}
	}
}

// lastName returns the name of the last object that has one, empty if there is none.
func (p *Page) lastName() string {
	for i := len(p.Objects) - 1; i >= 0; i-- {
		if p.Objects[i].Name != "" {
			return p.Objects[i].Name
		}
	}
	return ""
}

// RestoredError returns the error of a read of several parts during which the store was
// restored from a copy, so that the parts do not belong together.
func RestoredError(first, later common.Revision) error {
	return resultcode.Errorf(resultcode.PlatformExpired, "the store was restored between revisions %v and %v", first, later)
}

// Event is one change or deletion of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Changes are the events of one kind of objects after a revision.
type Changes struct {
	Events []Event
	// Revision is the revision after which the next watch continues.
	Revision common.Revision
}

// Store is a client of an object store. Its errors have the result codes of the
// platform (4000 to 4099).
type Store interface {
	// List returns a page of the objects of a kind whose names sort after the given
	// name.
	List(ctx context.Context, kind, after string) (Page, error)
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes a new object. If the object exists already, it returns the
	// existing one and an error with code PlatformExists.
	Create(ctx context.Context, object Object) (Object, error)
	// Update replaces an object if the stored one still has the revision of the given
	// one. The zero revision replaces unconditionally.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes an object if it still has the revision. The zero revision removes
	// unconditionally.
	Delete(ctx context.Context, kind, name string, revision common.Revision) error
	// Watch returns the changes after a revision. If there are none, it waits for
	// them at most for the duration wait. If the revision is of an earlier era, it
	// returns an error with code PlatformExpired.
	Watch(ctx context.Context, kind string, after common.Revision, wait time.Duration) (Changes, error)
}
