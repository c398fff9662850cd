package operator

import (
	"sync"
	"time"
)

// Event is something that operators may want to know of.
type Event struct {
	At   time.Time `json:"at"`
	Kind string    `json:"kind"`
	By   string    `json:"by,omitempty"`
	Text string    `json:"text"`
}

// maxEvents is how many events an entry keeps.
const maxEvents = 256

// Events keeps the last events. It is safe for concurrent use.
type Events struct {
	mu   sync.Mutex
	list []Event
}

// NewEvents returns an empty Events.
func NewEvents() *Events {
	return &Events{}
}

// Add keeps an event.
func (e *Events) Add(kind, by, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, Event{At: time.Now().UTC(), Kind: kind, By: by, Text: text})
	if extra := len(e.list) - maxEvents; extra > 0 {
		e.list = e.list[extra:]
	}
}

// List returns the events, oldest first.
func (e *Events) List() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event(nil), e.list...)
}
