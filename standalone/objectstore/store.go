// Package objectstore talks to the platform: its object API and its list of VMs.
//
// Published protocol, as far as it is used: GET and PUT /v1/objects/KEY with
// ETag, If-Match and If-None-Match; GET with watch=VERSION&wait=SECONDS waits
// for a newer version and answers 304 when there is none; GET /v1/vms in the
// same way lists the VMs.
//
// A Client owns this process's share of the platform's rates. What is kept under
// which key is its callers' affair.
package objectstore

import (
	"context"
	"fmt"
)

// Value is what the platform holds under a key.
type Value struct {
	Data []byte
	// Version grows with every write to the key.
	Version int64
}

// Store is the platform's object API.
type Store interface {
	// Get returns the value under key, or *NotFoundError.
	Get(ctx context.Context, key string) (Value, error)
	// Put replaces the value under key if it stands at version; version 0
	// creates it. It returns the new version, *ConflictError when the key
	// stands elsewhere, or *UnavailableError.
	Put(ctx context.Context, key string, data []byte, version int64) (int64, error)
	// Watch returns the value under key once it is newer than version, or
	// *UnchangedError when the platform stops waiting.
	Watch(ctx context.Context, key string, version int64) (Value, error)
}

// Lister is the platform's lagging list of VMs.
type Lister interface {
	// WatchVMs returns the list once it is newer than version, or
	// *UnchangedError when the platform stops waiting.
	WatchVMs(ctx context.Context, version int64) (VMList, error)
}

// Role is what a VM is for.
type Role string

// The roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleModel Role = "model"
	RolePlain Role = "plain"
)

// VM is one VM in the platform's list.
type VM struct {
	Name   string            `json:"name"`
	Addr   string            `json:"addr"`
	Caller string            `json:"caller,omitempty"`
	Role   Role              `json:"role"`
	Zone   string            `json:"zone"`
	Region string            `json:"region"`
	Labels map[string]string `json:"labels,omitempty"`
	// Leaving is set once the platform is about to take the VM away.
	Leaving bool `json:"leaving,omitempty"`
}

// LabelSet returns the labels by which selectors see the VM.
func (v VM) LabelSet() map[string]string {
	l := make(map[string]string, len(v.Labels)+4)
	for k, s := range v.Labels {
		l[k] = s
	}
	l["vm"] = v.Name
	l["zone"] = v.Zone
	l["region"] = v.Region
	l["role"] = string(v.Role)
	return l
}

// VMList is the platform's list of VMs at one version.
type VMList struct {
	Version int64 `json:"version"`
	VMs     []VM  `json:"vms"`
}

// NotFoundError tells that there is nothing under a key.
type NotFoundError struct {
	Key string
}

// Error names the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: nothing under %q", e.Key)
}

// ConflictError tells that a conditional write was certainly not taken.
type ConflictError struct {
	Key string
}

// Error names the key.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %q has another version", e.Key)
}

// UnchangedError tells that a watch ended without news.
type UnchangedError struct{}

// Error says so.
func (e *UnchangedError) Error() string {
	return "platform: unchanged"
}

// UnavailableError tells that the platform did not answer as it should.
type UnavailableError struct {
	// Taken is set when a write may have been taken all the same.
	Taken bool
	Err   error
}

// Error says what is known of the write.
func (e *UnavailableError) Error() string {
	if e.Taken {
		return fmt.Sprintf("platform: unavailable, the write may have been taken: %v", e.Err)
	}
	return fmt.Sprintf("platform: unavailable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}
