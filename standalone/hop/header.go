// Package hop defines what travels with a request from an entry to an agent
// and back: who it is for, how long it may take, and an end mark that tells a
// whole answer from a cut one.
//
// It owns nothing; names of headers are on the wire.
package hop

import (
	"fmt"
	"hash"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/hopbyhop"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/verdict"
)

// Headers of a request between an entry and an agent.
const (
	HeaderRequest  = "Silverdeck-Request"
	HeaderAttempt  = "Silverdeck-Attempt"
	HeaderDeadline = "Silverdeck-Deadline-Millis"
	HeaderClass    = "Silverdeck-Class"
	HeaderAccount  = "Silverdeck-Account"
	HeaderShare    = "Silverdeck-Share"
	HeaderCost     = "Silverdeck-Cost"
	HeaderModel    = "Silverdeck-Model"
	HeaderAdapter  = "Silverdeck-Adapter"
	HeaderRoot     = "Silverdeck-Root"
)

// Headers and trailers of the answer.
const (
	HeaderLoad = "Silverdeck-Load"
	// HeaderUnmarked is set if the engine did not mark the end of its answer. The end mark then
	// tells only that the agent passed on all that it got. Older programs omit and ignore it.
	HeaderUnmarked = "Silverdeck-Unmarked"
	TrailerLength  = "Silverdeck-Length"
	TrailerDigest  = "Silverdeck-Digest"
)

// RunPrefix stands before the path of a request on an agent's peer port.
const RunPrefix = "/run"

// Meta is what an entry says of a request.
type Meta struct {
	// Request names the caller's request, Attempt this try of it.
	Request, Attempt string
	// Budget is how long the answer may take from now.
	Budget  time.Duration
	Class   object.Class
	Account string
	Share   int
	// Cost is the expected work, in tokens.
	Cost float64
	// Model, Adapter and Root pin the version that must answer; all are empty
	// for a plain service.
	Model, Adapter, Root string
}

// Set writes m into h.
func (m Meta) Set(h http.Header) {
	h.Set(HeaderRequest, m.Request)
	h.Set(HeaderAttempt, m.Attempt)
	h.Set(HeaderDeadline, strconv.FormatInt(m.Budget.Milliseconds(), 10))
	h.Set(HeaderClass, string(m.Class))
	h.Set(HeaderAccount, m.Account)
	h.Set(HeaderShare, strconv.Itoa(m.Share))
	h.Set(HeaderCost, strconv.FormatFloat(m.Cost, 'f', 0, 64))
	if m.Model != "" {
		h.Set(HeaderModel, m.Model)
		h.Set(HeaderAdapter, m.Adapter)
		h.Set(HeaderRoot, m.Root)
	}
}

// ParseMeta reads a Meta from h.
func ParseMeta(h http.Header) (Meta, error) {
	m := Meta{
		Request: h.Get(HeaderRequest),
		Attempt: h.Get(HeaderAttempt),
		Class:   object.Class(h.Get(HeaderClass)),
		Account: h.Get(HeaderAccount),
		Model:   h.Get(HeaderModel),
		Adapter: h.Get(HeaderAdapter),
		Root:    h.Get(HeaderRoot),
	}
	if m.Request == "" || m.Attempt == "" {
		return m, verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "no request or attempt id")
	}
	millis, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	if err != nil || millis <= 0 {
		return m, verdict.NewError(verdict.Unsent{}, verdict.CodeDeadline, "deadline %q has passed", h.Get(HeaderDeadline))
	}
	m.Budget = time.Duration(millis) * time.Millisecond
	// Entries always send both; without them a request has the least share and weight,
	// which delays it and harms no other.
	m.Share, _ = strconv.Atoi(h.Get(HeaderShare))
	m.Cost, _ = strconv.ParseFloat(h.Get(HeaderCost), 64)
	return m, nil
}

// FormatLoad returns l as it stands in HeaderLoad.
func FormatLoad(l peer.Load) string {
	return fmt.Sprintf("%d/%d/%d", l.Running, l.Queued, l.Slots)
}

// ParseLoad reads a load from HeaderLoad.
func ParseLoad(s string) (peer.Load, bool) {
	var l peer.Load
	n, err := fmt.Sscanf(s, "%d/%d/%d", &l.Running, &l.Queued, &l.Slots)
	return l, err == nil && n == 3
}

// EndMark sums up an answer as it passes, for the trailers.
type EndMark struct {
	n int64
	h hash.Hash64
}

// NewEndMark returns the EndMark of the empty answer.
func NewEndMark() *EndMark {
	return &EndMark{h: xxhash.New()}
}

// Write takes in the next bytes of the answer. It never fails.
func (m *EndMark) Write(b []byte) (int, error) {
	m.n += int64(len(b))
	return m.h.Write(b)
}

// Declare announces the trailers before the answer begins.
func Declare(h http.Header) {
	h.Set("Trailer", TrailerLength+", "+TrailerDigest)
}

// SetTrailers writes the end mark. Only a whole answer gets one.
func (m *EndMark) SetTrailers(h http.Header) {
	h.Set(TrailerLength, strconv.FormatInt(m.n, 10))
	h.Set(TrailerDigest, strconv.FormatUint(m.h.Sum64(), 16))
}

// Matches returns whether the trailers in h mark the end of just this answer.
func (m *EndMark) Matches(h http.Header) bool {
	return h.Get(TrailerLength) == strconv.FormatInt(m.n, 10) &&
		h.Get(TrailerDigest) == strconv.FormatUint(m.h.Sum64(), 16)
}

// prefix is what all headers of our own begin with.
const prefix = "Silverdeck-"

// CopyHeader copies the end-to-end headers of src to dst, without our own.
//
// Idempotency-Key stays behind: net/http would take it as leave to send a
// request again by itself.
func CopyHeader(dst, src http.Header) {
	for k, v := range src {
		if strings.HasPrefix(k, prefix) || strings.HasSuffix(k, "Idempotency-Key") {
			continue
		}
		dst[k] = v
	}
	hopbyhop.Remove(dst)
}
