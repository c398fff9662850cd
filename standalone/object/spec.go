package object

// Spec is what an object declares. It is sealed: the types in this file are
// all there are, and code that varies by kind switches over them.
type Spec interface {
	spec()
}

// ModelSpec declares a base model and where the origin keeps its versions.
type ModelSpec struct {
	// Source is the path at the origin below which each version stands.
	Source string `json:"source"`
}

// AdapterSpec declares an adapter of a base model.
type AdapterSpec struct {
	// Model names the base model that must be loaded first.
	Model string `json:"model"`
	// Source is the path at the origin below which each version stands.
	Source string `json:"source"`
}

// RolloutSpec declares which version of a model or adapter reaches which VMs
// and which client accounts.
type RolloutSpec struct {
	// Model or Adapter names what is rolled out; exactly one of them is set.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Weights is the version of the weights.
	Weights string `json:"weights"`
	// VMs and Accounts select what the version should reach. Empty selects all.
	VMs      string `json:"vms"`
	Accounts string `json:"accounts,omitempty"`
	// Priority decides between two rollouts that claim one endpoint; the
	// higher wins, then the one changed last.
	Priority int `json:"priority,omitempty"`
	// Root pins the content: the digest of the manifest, filled in when the
	// rollout is accepted.
	Root string `json:"root,omitempty"`
	// Previous is what the rollout had before, for an undo; filled in when it
	// is accepted.
	Previous *Pin     `json:"previous,omitempty"`
	Strategy Strategy `json:"strategy,omitzero"`
	Budget   Budget   `json:"budget,omitzero"`
}

// Pin names one version of weights and its content.
type Pin struct {
	Weights string `json:"weights"`
	Root    string `json:"root"`
}

// Strategy says in which steps a rollout activates new weights.
type Strategy struct {
	// Batch is how many VMs may activate at once; 0 means all.
	Batch int `json:"batch,omitempty"`
	// MaxFailed is how many VMs may fail to load before the rollout halts.
	MaxFailed int `json:"maxFailed,omitempty"`
	// Paused stops further activation; the weights still travel.
	Paused bool `json:"paused,omitempty"`
}

// Budget limits what a rollout may take from the origin.
type Budget struct {
	// BytesPerSecond is the ceiling on the origin's link; 0 means no ceiling.
	BytesPerSecond int64 `json:"bytesPerSecond,omitempty"`
	// Copies is the ceiling on bytes read, in copies of the weights. More
	// copies let VMs that wait read from the origin sooner. 0 means 1.25.
	Copies float64 `json:"copies,omitempty"`
}

// ServiceSpec declares what callers can reach.
type ServiceSpec struct {
	// Model is the base model that serves, or empty for a plain service.
	Model string `json:"model,omitempty"`
	// Adapter is the adapter that serves, or empty.
	Adapter string `json:"adapter,omitempty"`
	// VMs selects the endpoints; Accounts selects who may call.
	VMs      string `json:"vms,omitempty"`
	Accounts string `json:"accounts,omitempty"`
	// Class is the priority class of requests: urgent, normal or bulk.
	Class Class `json:"class,omitempty"`
	// Repeatable says that a request may run twice without harm.
	Repeatable bool `json:"repeatable,omitempty"`
	// TimeoutMillis is the longest a request may take; 0 means 60,000.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
}

// Class is a priority class.
type Class string

// The priority classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBulk   Class = "bulk"
)

// AccountSpec declares a client account.
type AccountSpec struct {
	// KeyDigests are hex BLAKE3 digests of the account's API keys.
	KeyDigests []string `json:"keyDigests"`
	// Share weighs the account against others when there is not enough; 0 means 1.
	Share int `json:"share,omitempty"`
}

// DrainSpec takes the selected VMs out of service for new work.
type DrainSpec struct {
	VMs    string `json:"vms"`
	Reason string `json:"reason,omitempty"`
}

func (*ModelSpec) spec()   {}
func (*AdapterSpec) spec() {}
func (*RolloutSpec) spec() {}
func (*ServiceSpec) spec() {}
func (*AccountSpec) spec() {}
func (*DrainSpec) spec()   {}

func newSpec(k Kind) Spec {
	switch k {
	case KindModel:
		return &ModelSpec{}
	case KindAdapter:
		return &AdapterSpec{}
	case KindRollout:
		return &RolloutSpec{}
	case KindService:
		return &ServiceSpec{}
	case KindAccount:
		return &AccountSpec{}
	case KindDrain:
		return &DrainSpec{}
	}
	return nil
}
