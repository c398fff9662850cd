package caller

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"github.com/silverdeck/silverdeck/standalone/dispatch"
	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/standalone/ticket"
	"github.com/silverdeck/silverdeck/verdict"
)

// Estimates of a request's work.
const (
	// bytesPerToken is the usual length of a token of English text.
	bytesPerToken = 4
	// defaultMaxTokens stands for a request that bounds its answer by nothing.
	defaultMaxTokens = 256
	// prefixBytes is how much of a prompt names its prefix.
	prefixBytes = 256
)

// modelRequest is what routing needs of an OpenAI-style request.
type modelRequest struct {
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	Input     json.RawMessage `json:"input"`
}

func (m modelRequest) text() []byte {
	for _, b := range [][]byte{m.Messages, m.Prompt, m.Input} {
		if len(b) > 0 {
			return b
		}
	}
	return nil
}

// cost estimates the work in tokens.
func (m modelRequest) cost() float64 {
	n := m.MaxTokens
	if n <= 0 {
		n = defaultMaxTokens
	}
	return float64(n + len(m.text())/bytesPerToken)
}

// model serves a request of the OpenAI API.
func (h *Handler) model(c *gin.Context) {
	h.handle(c, func(r *dispatch.Request) error {
		var m modelRequest
		if err := json.Unmarshal(r.Body, &m); err != nil {
			return verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "the body is no JSON request: %v", err)
		}
		text := m.text()
		r.Cost = m.cost()
		r.Prefix = xxhash.Sum64(text[:min(len(text), prefixBytes)])
		r.Path = c.Request.URL.RequestURI()
		if err := h.resolve(r, m.Model, true); err != nil {
			return err
		}
		return renameModel(r)
	})
}

// renameModel puts the name that engines know in place of the service's.
func renameModel(r *dispatch.Request) error {
	spec := r.Service.Spec.(*object.ServiceSpec)
	name := spec.Model
	if spec.Adapter != "" {
		name = spec.Adapter
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "the body is no JSON object: %v", err)
	}
	fields["model"], _ = json.Marshal(name)
	var err error
	r.Body, err = json.Marshal(fields)
	return err
}

// plain serves a request to a plain service.
func (h *Handler) plain(c *gin.Context) {
	h.handle(c, func(r *dispatch.Request) error {
		r.Cost = 1
		r.Path = c.Param("path")
		if q := c.Request.URL.RawQuery; q != "" {
			r.Path += "?" + q
		}
		return h.resolve(r, c.Param("service"), false)
	})
}

// resolve finds the service that the request names. For the OpenAI API a
// model's name stands for the first service on it that the account may call.
func (h *Handler) resolve(r *dispatch.Request, name string, model bool) error {
	s := h.Holder.Current()
	if o := s.Find(object.Ref{Kind: object.KindService, Name: name}); o != nil && fits(*o, model, r.AccountLabels) {
		r.Service = *o
		return nil
	}
	for _, o := range s.OfKind(object.KindService) {
		if model && o.Spec.(*object.ServiceSpec).Model == name && fits(o, model, r.AccountLabels) {
			r.Service = o
			return nil
		}
	}
	return verdict.NewError(verdict.Unsent{}, verdict.CodeNotFound, "no service %q for this client account", name)
}

func fits(o object.Object, model bool, account map[string]string) bool {
	spec := o.Spec.(*object.ServiceSpec)
	return (spec.Model != "") == model && object.Selects(spec.Accounts, account)
}

// handle does what all requests have in common. resolve completes the request.
func (h *Handler) handle(c *gin.Context, resolve func(*dispatch.Request) error) {
	r, err := h.read(c)
	if err == nil {
		err = resolve(r)
	}
	if err != nil {
		hop.WriteError(c.Writer, beforeTicket(c, verdict.From(err)))
		return
	}
	spec := r.Service.Spec.(*object.ServiceSpec)
	repeat := c.GetHeader(HeaderRepeat)
	r.Repeatable = repeat == RepeatAllowed || (spec.Repeatable && repeat != RepeatNever)
	h.serve(c, r, spec)
}

// beforeTicket returns e for a request that was turned away before its ticket
// was looked at. An earlier submission with the same ticket may have run.
func beforeTicket(c *gin.Context, e *verdict.Error) *verdict.Error {
	if c.GetHeader(ticket.Header) != "" {
		e.Evidence = verdict.Unknown{}
	}
	return e
}

func (h *Handler) read(c *gin.Context) (*dispatch.Request, error) {
	account, err := h.account(c.Request)
	if err != nil {
		return nil, err
	}
	body, err := h.readBody(c)
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	hop.CopyHeader(header, c.Request.Header)
	header.Del("Authorization")
	return &dispatch.Request{
		ID:            requestID(c.Request),
		Account:       account,
		AccountLabels: snapshot.AccountLabels(account),
		Method:        c.Request.Method,
		Header:        header,
		Body:          body,
	}, nil
}
