// Package peer holds what entries and agents tell each other over net/rpc: reports
// and directives, and the exchanges between entries. The names of types, of fields
// and of this package are on the wire, since gob sends them.
package peer

import (
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// State is what an endpoint says of itself.
type State string

// The states of an endpoint.
const (
	StateServing State = "serving"
	StateLeaving State = "leaving"
)

// Loaded is a complete version that an engine serves.
type Loaded struct {
	Rollout string
	Model   string
	Adapter string
	Weights string
	Root    weights.Digest
	// Epoch is the revision of the order that loaded it.
	Epoch int64
}

// Progress is how far a VM has come with an assignment.
type Progress struct {
	Rollout string
	Root    weights.Digest
	Stats   swarm.Stats
	// Live is set once the engine serves the version.
	Live bool
	// Failed says why the engine could not load it, or is empty.
	Failed string
}

// Load is what an endpoint has to do. Slots are those for requests that are not
// urgent.
type Load struct {
	Running, Queued, Slots int
}

// Report is what an agent tells its home entries.
type Report struct {
	VM, Addr, Zone, Region string
	// Incarnation orders the lives of the agent on this VM, Seq its reports.
	Incarnation, Seq uint64
	State            State
	// Revision is the configuration that the agent has in force.
	Revision int64
	Loaded   []Loaded
	Progress []Progress
	Load     Load
	// DirectiveHash names the directive that the agent has.
	DirectiveHash uint64
}

// Assignment is what an agent shall fetch and load.
type Assignment struct {
	Rollout string
	Model   string
	Adapter string
	Weights string
	// Path is where the origin keeps the weights.
	Path string
	Root weights.Digest
	// Epoch is the revision of the configuration that says so. Engines refuse
	// orders of a lower epoch.
	Epoch int64
	// Activate allows the load; until then the weights only travel.
	Activate bool
	Budget   object.Budget
	// MembersHash names Members.
	MembersHash uint64
	Members     []swarm.Member
}

// Directive is an entry's answer to a Report.
type Directive struct {
	// Revision is the configuration that the directive follows from.
	Revision int64
	// Hash names the directive; Unchanged says that it is the one that the
	// agent has, and everything below is left out.
	Hash        uint64
	Unchanged   bool
	Homes       []string
	Assignments []Assignment
	// Waits says that an assignment waits for its batch.
	Waits bool
	// Drained takes the endpoint out of service for new work.
	Drained bool
	// Incarnation is the highest known for the VM.
	Incarnation uint64
}

// EndpointRecord is what entries tell each other about an endpoint.
type EndpointRecord struct {
	VM, Addr, Zone, Region string
	Incarnation, Seq       uint64
	State                  State
	Revision               int64
	Loaded                 []Loaded
	Progress               []Progress
	// Suspect is set by a home entry that no longer hears the endpoint.
	Suspect bool
}

// RecordKey names one state of an endpoint.
type RecordKey struct {
	Incarnation, Seq uint64
	Suspect          bool
}

// ExchangeRequest is one half of an exchange between entries.
type ExchangeRequest struct {
	From        string
	Revision    int64
	ListVersion int64
	// TableHash names the caller's endpoint records; Keys lists them when the
	// callee asked for more than the hash.
	TableHash uint64
	Keys      map[string]RecordKey
	// Records are newer than what the callee had.
	Records []EndpointRecord
	// Snapshot and List are set when the callee's are older.
	Snapshot []byte
	List     *objectstore.VMList
}

// ExchangeReply is the other half.
type ExchangeReply struct {
	Revision    int64
	ListVersion int64
	// Snapshot and List are set when the callee's are newer.
	Snapshot []byte
	List     *objectstore.VMList
	// WantKeys asks the caller to exchange again with Keys.
	WantKeys bool
	Records  []EndpointRecord
	// WantRecords names endpoints of which the caller knows more.
	WantRecords []string
}
