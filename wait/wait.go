// Package wait pauses for a time or until a context ends. It owns nothing.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true, or false when ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
