// Package engine talks to the model engine or the plain service beside an agent.
//
// Published protocol: the OpenAI HTTP API for requests; POST /v1/orders for
// fenced orders; GET /v1/state for what is loaded; GET /v1/load for a lagging
// load report.
//
// It owns nothing. What an engine may be told, and when, is package loader's.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/silverdeck/silverdeck/limitread"
)

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderUnload      OrderKind = "unload"
)

// Order is a fenced order to an engine.
type Order struct {
	// Epoch must not be lower than that of any order the engine has taken.
	Epoch   int64     `json:"epoch"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Adapter string    `json:"adapter,omitempty"`
	Weights string    `json:"weights,omitempty"`
	// Source is the URL from which the engine reads the complete weights.
	Source string `json:"source,omitempty"`
	// Digest is the BLAKE3 digest of the complete weights, in hex.
	Digest string `json:"digest,omitempty"`
	Size   int64  `json:"size,omitempty"`
}

// Loaded is a version that the engine serves.
type Loaded struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Weights string `json:"weights"`
	Digest  string `json:"digest"`
}

// State is what an engine says of itself.
type State struct {
	// Epoch is the highest that the engine has taken an order of.
	Epoch  int64    `json:"epoch"`
	Loaded []Loaded `json:"loaded"`
}

// Engine takes orders and tells what it has loaded.
type Engine interface {
	// Order gives an order and waits until it is carried out. An order of a
	// lower epoch than the engine's fails with *StaleError.
	Order(ctx context.Context, o Order) error
	// State returns what the engine has loaded.
	State(ctx context.Context) (State, error)
}

// StaleError tells that the engine has taken an order of a higher epoch.
type StaleError struct {
	Epoch int64
}

// Error names the engine's epoch.
func (e *StaleError) Error() string {
	return fmt.Sprintf("engine: order is stale, the engine is at epoch %d", e.Epoch)
}

// OrderError tells that the engine could not carry out an order.
type OrderError struct {
	Status int
	Text   string
}

// Error has the engine's own words.
func (e *OrderError) Error() string {
	return fmt.Sprintf("engine: order failed with status %d: %s", e.Status, e.Text)
}

// maxAnswer bounds an answer, in bytes. A longer one may have no end.
const maxAnswer = 1 << 20

type client struct {
	base string
	http *http.Client
}

// NewClient returns an Engine at base.
func NewClient(base string, c *http.Client) Engine {
	return &client{base: base, http: c}
}

// Order implements Engine.
func (c *client) Order(ctx context.Context, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return err
	}
	status, answer, err := c.do(ctx, http.MethodPost, "/v1/orders", b)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		s := State{}
		// An engine that refuses an order as stale and does not say its epoch raises the
		// fence by nothing; its state is asked for before the next order.
		_ = json.Unmarshal(answer, &s)
		return &StaleError{Epoch: s.Epoch}
	}
	return &OrderError{Status: status, Text: string(bytes.TrimSpace(answer))}
}

// State implements Engine.
func (c *client) State(ctx context.Context) (State, error) {
	s := State{}
	status, answer, err := c.do(ctx, http.MethodGet, "/v1/state", nil)
	if err != nil {
		return s, err
	}
	if status != http.StatusOK {
		return s, &OrderError{Status: status, Text: string(bytes.TrimSpace(answer))}
	}
	return s, json.Unmarshal(answer, &s)
}

func (c *client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := limitread.ReadAll(resp.Body, maxAnswer)
	return resp.StatusCode, b, err
}
