package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

// maxAnswer limits an entry's answer, in bytes.
const maxAnswer = 64 << 20

// errLongAnswer tells that an answer has more than maxAnswer bytes.
var errLongAnswer = errors.New("operator: the entry's answer is too long")

// Client talks to an entry's operators' port.
type Client struct {
	Base     string
	Operator string
	Token    string
	HTTP     *http.Client
}

// AnswerError is an answer that is no success.
type AnswerError struct {
	Status int
	ErrorAnswer
}

// Error returns the code and the message.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Snapshot returns the configuration in force at the entry.
func (c *Client) Snapshot(ctx context.Context) (*snapshot.Snapshot, error) {
	s := &snapshot.Snapshot{}
	return s, c.call(ctx, http.MethodGet, pathSnapshot, nil, s)
}

// Status returns how the fleet matches the configuration.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	s := &Status{}
	return s, c.call(ctx, http.MethodGet, pathStatus, nil, s)
}

// Apply asks for a batch of changes.
func (c *Client) Apply(ctx context.Context, q ApplyRequest) (*ApplyResult, error) {
	r := &ApplyResult{}
	return r, c.call(ctx, http.MethodPost, pathApply, q, r)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderOperator, c.Operator)
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return err
	}
	if len(answer) > maxAnswer {
		return errLongAnswer
	}
	if resp.StatusCode != http.StatusOK {
		e := &AnswerError{Status: resp.StatusCode}
		if json.Unmarshal(answer, &e.ErrorAnswer) != nil {
			e.Message = string(answer)
		}
		return e
	}
	return json.Unmarshal(answer, out)
}
