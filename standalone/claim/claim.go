// Package claim binds a caller's own idempotency key to the one ticket by
// which its request may run.
//
// A caller that lost the answer to its first submission holds no ticket; it
// has only its key. The first entry that claims a key in the platform decides
// the ticket, and every later submission, by any entry, gets the same. That
// costs the platform a read and a write for each key, so it is for callers that
// can't ask for a ticket first; while the platform is down they are refused and
// told that an earlier submission may have run.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/verdict"
	"github.com/silverdeck/silverdeck/wait"
)

// Limits of claims.
const (
	// ledgers is how many objects of the platform the claims are spread over.
	ledgers = 64
	// ledgerSize is how many claims a ledger remembers, the latest ones.
	ledgerSize = 2000
	// maxKey is the longest key, in bytes.
	maxKey = 256
	// retryPause is the pause after a lost race or a fault.
	retryPause = 50 * time.Millisecond
	// refusedRetry is when a caller may come back while the platform is down.
	refusedRetry = 5 * time.Second
)

// Claim is one key and the ticket that it stands for.
type Claim struct {
	Account string `json:"a"`
	Key     string `json:"k"`
	Ticket  string `json:"t"`
}

// Claimer claims keys. It is safe for concurrent use.
type Claimer struct {
	store objectstore.Store
}

// New returns a Claimer in store.
func New(store objectstore.Store) *Claimer {
	return &Claimer{store: store}
}

// Take returns the ticket that key stands for: the one that mint returns if
// nobody claimed the key before. This submission does not run the request when
// it fails; but an earlier one with the same key may have, so the error says
// that the request may have run.
func (c *Claimer) Take(ctx context.Context, account, key string, mint func() string) (string, error) {
	if len(key) > maxKey {
		return "", verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "the key is longer than %d bytes", maxKey)
	}
	mine := Claim{Account: account, Key: key, Ticket: mint()}
	for {
		ticket, err := c.try(ctx, mine)
		if err == nil {
			return ticket, nil
		}
		if !wait.For(ctx, retryPause) {
			return "", refused(err)
		}
	}
}

func refused(err error) error {
	e := verdict.NewError(verdict.Unknown{}, verdict.CodeNoEndpoint, "the key can't be looked up while the platform is down")
	return e.WithRetryAfter(refusedRetry).WithCause(err)
}

// try makes one attempt: it reads first, so that a claim whose answer was lost
// is found, and writes only on top of what it read.
func (c *Claimer) try(ctx context.Context, mine Claim) (string, error) {
	name := ledgerName(mine.Account, mine.Key)
	v, err := c.store.Get(ctx, name)
	var missing *objectstore.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return "", err
	}
	var list []Claim
	if v.Version > 0 {
		if err := json.Unmarshal(v.Data, &list); err != nil {
			return "", err
		}
	}
	for _, k := range list {
		if k.Account == mine.Account && k.Key == mine.Key {
			return k.Ticket, nil
		}
	}
	list = append(list, mine)
	if extra := len(list) - ledgerSize; extra > 0 {
		list = list[extra:]
	}
	b, err := json.Marshal(list)
	if err != nil {
		return "", err
	}
	if _, err := c.store.Put(ctx, name, b, v.Version); err != nil {
		return "", err
	}
	return mine.Ticket, nil
}

func ledgerName(account, key string) string {
	return fmt.Sprintf("silverdeck/once/%d", xxhash.Sum64String(account+"\x00"+key)%ledgers)
}
