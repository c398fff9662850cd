package mirror

import (
	"time"

	"github.com/charmbracelet/log"
)

// Config configures a Mirror.
type Config struct {
	// Kind is the kind of the objects, for log lines.
	Kind   string
	Source Source
	Random func() float64
	// PollTimeout returns how long a watch may remain unanswered. A watch that the store
	// dropped without an error is detected after that time.
	PollTimeout func() time.Duration
	// Coalesce is how long to wait after a change before the next watch, so that many changes
	// take few calls.
	Coalesce time.Duration
	// OnReachability is called when the store becomes unreachable and when it becomes
	// reachable again. It may be nil.
	OnReachability func(lost bool)
	// OnHistoryGone is called when the store no longer has the changes that a watch asked for.
	// Watches of other kinds may have been dropped at the same time. It may be nil.
	OnHistoryGone func()
	// Active reports whether the mirror reads the store itself. An inactive mirror only
	// receives copies through ReplaceIfNewer, or lists once after NoteNewer. If Active
	// is nil, the mirror is always active.
	Active func() bool
	Log    *log.Logger
}
