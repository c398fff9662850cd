package mirror

import (
	"context"
	"time"
)

// Object is one object of the store.
type Object struct {
	Name     string
	Revision int64
	// Data is the object as the store sent it.
	Data []byte
}

// Event is a change of one object.
type Event struct {
	Object Object
	// Gone is set when the object was removed.
	Gone bool
}

// Source reads one kind of objects.
type Source interface {
	// List returns all objects and the store's revision.
	List(ctx context.Context) ([]Object, int64, error)
	// Watch returns the changes after revision as soon as there are some, or
	// none after a while, and the revision to go on from. It returns
	// *HistoryGoneError when the store no longer has these changes. timeout is how
	// long the store may wait for changes.
	Watch(ctx context.Context, revision int64, timeout time.Duration) ([]Event, int64, error)
}

// HistoryGoneError tells that changes can't be had any more; a list can.
type HistoryGoneError struct {
	Revision int64
}

// Error says so.
func (e *HistoryGoneError) Error() string {
	return "mirror: the store's history is gone"
}
