package mirror

import (
	"context"
	"fmt"
	"time"
)

// Object is an object in the store.
type Object struct {
	Name     string
	Revision int64
	// Data is the object as encoded by the store.
	Data []byte
}

// Event is a change to one object.
type Event struct {
	Object Object
	// Gone is set if the object was removed.
	Gone bool
}

// Source reads objects of one kind.
type Source interface {
	// List returns all objects and the store's revision.
	List(ctx context.Context) ([]Object, int64, error)
	// Watch waits for changes after revision and returns them with the revision from which
	// to continue. timeout is how long the store may wait; if nothing has changed by then,
	// there are no events. If the store no longer has the changes, the error is a
	// *HistoryGoneError.
	Watch(ctx context.Context, revision int64, timeout time.Duration) ([]Event, int64, error)
}

// HistoryGoneError is returned when the store no longer has the changes after Revision. The
// objects must be listed instead.
type HistoryGoneError struct {
	Revision int64
}

// Error implements error.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("mirror: the store no longer has the changes after revision %d", e.Revision)
}
