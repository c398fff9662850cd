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
	// List returns all objects and the store's position.
	List(ctx context.Context) ([]Object, Position, error)
	// Watch waits for changes after p and returns them with the position from which to
	// continue. timeout is how long the store may wait; if nothing has changed by then,
	// there are no events. If the store no longer has the changes, or is in another era, the
	// error is a *HistoryGoneError.
	Watch(ctx context.Context, p Position, timeout time.Duration) ([]Event, Position, error)
}

// HistoryGoneError is returned when the store no longer has the changes after Revision, in the era
// of that revision. The objects must be listed instead.
type HistoryGoneError struct {
	Revision int64
	// Era is the era of the store.
	Era int64
}

// Error implements error.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("mirror: the store no longer has the changes after revision %d", e.Revision)
}
