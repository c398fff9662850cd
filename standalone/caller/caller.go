// Package caller is the side of an entry that callers talk to: the usual
// OpenAI HTTP API, plain services, the list of addresses and tickets.
//
// It owns nothing that lasts: requests belong to their goroutines, tickets to
// package ticket, keys to package claim. It relies on package dispatch for answers.
package caller

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/blake3"

	"github.com/silverdeck/silverdeck/standalone/claim"
	"github.com/silverdeck/silverdeck/standalone/dispatch"
	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/standalone/ticket"
	"github.com/silverdeck/silverdeck/telemetry"
	"github.com/silverdeck/silverdeck/verdict"
)

// Headers that callers may set, and that answers carry.
const (
	// HeaderRepeat with RepeatNever marks a request as not to be repeated, and
	// with RepeatAllowed as harmless to repeat.
	HeaderRepeat  = "Silverdeck-Repeat"
	RepeatNever   = "never"
	RepeatAllowed = "allowed"
	// HeaderRequestID names the request in answers, logs and traces.
	HeaderRequestID = "X-Request-Id"
	// HeaderEndpoint and HeaderWhy tell where a request went, and why.
	HeaderEndpoint = "Silverdeck-Endpoint"
	HeaderWhy      = "Silverdeck-Why"
	// HeaderAddresses tells where else to go when an entry is leaving.
	HeaderAddresses = "Silverdeck-Addresses"
	// HeaderKey names a marked request by the caller's own key, for callers that
	// ask for no ticket first.
	HeaderKey = "Idempotency-Key"
	// HeaderRelayed marks a request that another entry passed on.
	HeaderRelayed = "Silverdeck-Relayed"
)

// defaultTimeout is how long a request may take where its service says nothing.
const defaultTimeout = time.Minute

// claimLimit is how long the platform may take to tell what a key stands for.
const claimLimit = 2 * time.Second

// maxAnswer bounds an answer that is not streamed, or is kept to be repeated, in bytes.
const maxAnswer = 64 << 20

// Config is what a Handler needs from its entry.
type Config struct {
	Holder     *snapshot.Holder
	Dispatcher *dispatch.Dispatcher
	Ledger     *ticket.Ledger
	Claimer    *claim.Claimer
	Relay      *Relay
	// Addresses returns where callers can go, and how long they may keep that.
	Addresses func() ([]string, time.Duration)
	// Leaving returns whether the entry takes no new requests.
	Leaving func() bool
	MaxBody int64
	// MaxHeld bounds the answers that are held at the same time, in bytes.
	MaxHeld  int64
	Tracer   *telemetry.Tracer
	Log      *log.Logger
	Registry metrics.Registry
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Config
	engine *gin.Engine
	held   heldAnswers
}

// NewHandler returns a Handler.
func NewHandler(cfg Config) *Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &Handler{Config: cfg, engine: gin.New(), held: heldAnswers{limit: cfg.MaxHeld}}
	h.engine.Use(h.leaving)
	h.engine.GET("/v1/addresses", h.addresses)
	h.engine.GET("/v1/models", h.models)
	h.engine.POST("/v1/tickets", h.tickets)
	for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/v1/embeddings"} {
		h.engine.POST(path, h.model)
	}
	h.engine.Any("/services/:service/*path", h.plain)
	h.engine.NoRoute(func(c *gin.Context) {
		hop.WriteError(c.Writer, verdict.NewError(verdict.Unsent{}, verdict.CodeNotFound, "no such path: %s", c.Request.URL.Path))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.engine.ServeHTTP(w, r)
}

// leaving turns new requests away while the entry is leaving. One with a
// ticket is let in: only its own entry can tell whether it was run.
func (h *Handler) leaving(c *gin.Context) {
	if !h.Leaving() || c.Request.URL.Path == "/v1/addresses" || c.GetHeader(ticket.Header) != "" {
		return
	}
	list, _ := h.Addresses()
	c.Header(HeaderAddresses, strings.Join(list, ","))
	hop.WriteError(c.Writer, verdict.NewError(verdict.Unsent{}, verdict.CodeLeaving,
		"this entry is leaving; go to one of %s", strings.Join(list, ", ")).WithRetryAfter(time.Second))
	c.Abort()
}

type addressList struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds int      `json:"ttl_seconds"`
}

func (h *Handler) addresses(c *gin.Context) {
	list, ttl := h.Addresses()
	c.JSON(http.StatusOK, addressList{Addresses: list, TTLSeconds: int(ttl / time.Second)})
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelName `json:"data"`
}

type modelName struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models lists the services that the client account can call by the OpenAI API.
func (h *Handler) models(c *gin.Context) {
	account, err := h.account(c.Request)
	if err != nil {
		hop.WriteError(c.Writer, verdict.From(err))
		return
	}
	out := modelList{Object: "list", Data: []modelName{}}
	for _, o := range h.Holder.Current().OfKind(object.KindService) {
		spec := o.Spec.(*object.ServiceSpec)
		if spec.Model != "" && object.Selects(spec.Accounts, snapshot.AccountLabels(account)) {
			out.Data = append(out.Data, modelName{ID: o.Name, Object: "model"})
		}
	}
	c.JSON(http.StatusOK, out)
}

type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

func (h *Handler) tickets(c *gin.Context) {
	account, err := h.account(c.Request)
	if err != nil {
		hop.WriteError(c.Writer, verdict.From(err))
		return
	}
	c.JSON(http.StatusOK, ticketAnswer{Ticket: h.Ledger.Mint(account.Name).String()})
}

// account returns the client account whose key the request shows. Where no
// accounts are declared, everybody is the account "anonymous".
func (h *Handler) account(r *http.Request) (object.Object, error) {
	accounts := h.Holder.Current().OfKind(object.KindAccount)
	if len(accounts) == 0 {
		return object.Object{Kind: object.KindAccount, Name: "anonymous", Spec: &object.AccountSpec{}}, nil
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := blake3.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	for _, o := range accounts {
		for _, d := range o.Spec.(*object.AccountSpec).KeyDigests {
			if d == digest {
				return o, nil
			}
		}
	}
	return object.Object{}, verdict.NewError(verdict.Unsent{}, verdict.CodeUnauthorized, "the API key belongs to no client account")
}

// readBody returns the whole body of a request.
func (h *Handler) readBody(c *gin.Context) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, h.MaxBody))
	if err != nil {
		return nil, verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest,
			"the body did not arrive whole, or is larger than %d bytes", h.MaxBody).WithCause(err)
	}
	return b, nil
}

// requestID returns the caller's own name for the request, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= 128 {
		return id + "-" + uuid.NewString()[:8]
	}
	return uuid.NewString()
}

func timeout(s *object.ServiceSpec) time.Duration {
	if s.TimeoutMillis == 0 {
		return defaultTimeout
	}
	return time.Duration(s.TimeoutMillis) * time.Millisecond
}

// runContext returns the context in which a request runs. One that must not be
// repeated goes on when its caller goes away, so that the answer can be had
// by the ticket later.
func runContext(c *gin.Context, s *object.ServiceSpec, once bool) (context.Context, context.CancelFunc) {
	ctx := c.Request.Context()
	if once {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout(s))
}
