// Package operator is the side of an entry that operators talk to, and the
// client with which they do.
//
// It owns the last events, under a lock. It relies on a Backend, the entry.
package operator

import (
	"context"

	"github.com/silverdeck/silverdeck/standalone/plan"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

// Backend is what the handler needs from its entry.
type Backend interface {
	// Apply gets a batch accepted, or with dryRun only tells what would be.
	Apply(ctx context.Context, b snapshot.Batch, dryRun bool) (*ApplyResult, error)
	// Status tells how the fleet matches the configuration.
	Status() *Status
	// Snapshot returns the configuration in force at this entry.
	Snapshot() *snapshot.Snapshot
}

// ApplyResult is what an accepted batch led to.
type ApplyResult struct {
	Revision int64          `json:"revision"`
	Warnings []plan.Warning `json:"warnings,omitempty"`
}

// Status is how the fleet matches the configuration, as one entry knows it.
type Status struct {
	Entry       string           `json:"entry"`
	Revision    int64            `json:"revision"`
	ListVersion int64            `json:"listVersion"`
	InForce     InForce          `json:"inForce"`
	Rollouts    []RolloutStatus  `json:"rollouts"`
	Endpoints   []EndpointStatus `json:"endpoints"`
	Warnings    []plan.Warning   `json:"warnings,omitempty"`
	Events      []Event          `json:"events,omitempty"`
}

// InForce tells on how many endpoints the current revision is in force.
type InForce struct {
	On     int   `json:"on"`
	Of     int   `json:"of"`
	Oldest int64 `json:"oldest"`
}

// RolloutStatus tells how far a rollout is.
type RolloutStatus struct {
	Name     string `json:"name"`
	Subject  string `json:"subject"`
	Weights  string `json:"weights"`
	Root     string `json:"root"`
	Replicas int    `json:"replicas"`
	Live     int    `json:"live"`
	Failed   int    `json:"failed"`
	// Permitted is how many replicas may activate now; Halted says why no more.
	Permitted   int    `json:"permitted"`
	Halted      string `json:"halted,omitempty"`
	ChunksHave  int    `json:"chunksHave"`
	ChunksTotal int    `json:"chunksTotal"`
	OriginBytes int64  `json:"originBytes"`
	PeerBytes   int64  `json:"peerBytes"`
	// Behind has the VMs that are not live yet, and why.
	Behind []Behind `json:"behind,omitempty"`
}

// Behind is a VM that a rollout waits for.
type Behind struct {
	VM  string `json:"vm"`
	Why string `json:"why"`
}

// EndpointStatus is one endpoint.
type EndpointStatus struct {
	VM       string   `json:"vm"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"`
	Revision int64    `json:"revision"`
	Loaded   []string `json:"loaded"`
	Running  int      `json:"running"`
	Queued   int      `json:"queued"`
	Slots    int      `json:"slots"`
}
