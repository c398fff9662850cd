package mirror

import (
	"time"

	"github.com/charmbracelet/log"
)

// Config holds a Mirror's settings.
type Config struct {
	// Kind names the objects in logs.
	Kind   string
	Source Source
	Random func() float64
	// PollTimeout returns for how long a watch may stay unanswered. A store that lost
	// a watch without a word is found out after that time.
	PollTimeout func() time.Duration
	// Coalesce is for how long changes are coalesced before they are asked for once
	// more, so that many changes cost few calls.
	Coalesce time.Duration
	// Reach hears when the store stops answering and when it answers again; nil
	// means nobody does.
	Reach func(lost bool)
	// HistoryGone hears when the store no longer has the changes that a watch asked
	// for; nil means nobody does. Watches of other kinds may be lost then as well.
	HistoryGone func()
	// Active returns whether this mirror asks the store by itself; one that does
	// not is at rest and takes copies from elsewhere. Nil means always.
	Active func() bool
	Log    *log.Logger
}
