// Package commit gets changes of the configuration accepted by the platform.
//
// It owns nothing: each call reads what was accepted last, and writes on top of just
// that. It relies on the store's conditional writes.
package commit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/verdict"
	"github.com/silverdeck/silverdeck/wait"
)

// UnknownError tells that a batch may have been accepted: the platform took
// the write or did not, and could not be asked before the time was over.
type UnknownError struct {
	Mark string
	Err  error
}

// Error names the mark to look for.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("commit: the change may have been accepted; look for mark %s: %v", e.Mark, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}

// Verdict says that the change may have been accepted.
func (e *UnknownError) Verdict() verdict.Verdict {
	return verdict.MayHaveRun
}

// Backoff between tries while the platform does not answer.
const (
	// firstPause is the first pause; it doubles.
	firstPause = 50 * time.Millisecond
	// maxPause is the longest pause.
	maxPause = 2 * time.Second
)

// Committer writes snapshots. It is safe for concurrent use.
type Committer struct {
	store  objectstore.Store
	holder *snapshot.Holder
	jitter func() float64
}

// New returns a Committer that writes to store and advances holder. jitter
// returns numbers from 0 to 1 that spread the tries of many writers.
func New(store objectstore.Store, holder *snapshot.Holder, jitter func() float64) *Committer {
	return &Committer{store: store, holder: holder, jitter: jitter}
}

// Read returns the accepted snapshot from the platform, and its version there.
func (c *Committer) Read(ctx context.Context) (*snapshot.Snapshot, int64, error) {
	v, err := c.store.Get(ctx, snapshot.Key)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return &snapshot.Snapshot{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	s, err := snapshot.Decode(v.Data)
	if err != nil {
		return nil, 0, err
	}
	c.holder.Advance(s)
	return s, v.Version, nil
}

// Commit gets b accepted and returns the snapshot that has it. It fails with
// *snapshot.ConflictError or *object.FieldError when b can't be accepted, with
// *objectstore.UnavailableError when it certainly was not, and with *UnknownError
// when that could not be found out.
//
// A write whose answer was lost is never sent again blindly: the committer
// reads back and looks for the batch's mark first. Trying again is safe
// because every try is conditional on the version that was read.
//
// Spec step: config.pml, "accept" and "readback".
func (c *Committer) Commit(ctx context.Context, b snapshot.Batch) (*snapshot.Snapshot, error) {
	taken := false
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		s, err := c.try(ctx, b, &taken)
		if err == nil || !retryable(err) {
			return s, err
		}
		if !c.wait(ctx, err, pause) {
			if taken {
				return nil, &UnknownError{Mark: b.Mark, Err: err}
			}
			return nil, err
		}
	}
}

// try makes one attempt. It sets taken once a write may have been taken.
func (c *Committer) try(ctx context.Context, b snapshot.Batch, taken *bool) (*snapshot.Snapshot, error) {
	current, version, err := c.Read(ctx)
	if err != nil {
		return nil, err
	}
	if current.HasMark(b.Mark) {
		return current, nil
	}
	next, err := snapshot.Next(current, b)
	if err != nil {
		return nil, err
	}
	data, err := snapshot.Encode(next)
	if err != nil {
		return nil, err
	}
	_, err = c.store.Put(ctx, snapshot.Key, data, version)
	var down *objectstore.UnavailableError
	if errors.As(err, &down) && down.Taken {
		*taken = true
	}
	if err != nil {
		return nil, err
	}
	c.holder.Advance(next)
	return next, nil
}

func retryable(err error) bool {
	var conflict *objectstore.ConflictError
	var down *objectstore.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &down)
}

// wait pauses before the next try and returns false when ctx ends first. A
// lost race needs no long pause.
func (c *Committer) wait(ctx context.Context, cause error, pause time.Duration) bool {
	var conflict *objectstore.ConflictError
	if errors.As(cause, &conflict) {
		pause = firstPause
	}
	return wait.For(ctx, time.Duration((0.5+c.jitter()/2)*float64(pause)))
}
