package operator

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/zeebo/blake3"

	"github.com/silverdeck/silverdeck/standalone/commit"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/verdict"
)

// HeaderOperator names the operator where no tokens are set up.
const HeaderOperator = "Silverdeck-Operator"

// maxBatch is the largest batch that is taken, in bytes.
const maxBatch = 16 << 20

// Paths of the operators' API.
const (
	pathApply    = "/v1/apply"
	pathSnapshot = "/v1/snapshot"
	pathStatus   = "/v1/status"
)

// ApplyRequest asks for a batch of changes.
type ApplyRequest struct {
	Changes []snapshot.Change `json:"changes"`
	Base    int64             `json:"base,omitempty"`
	DryRun  bool              `json:"dryRun,omitempty"`
}

// ErrorAnswer is the body of every answer that is no success.
type ErrorAnswer struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Verdict says whether the change may have been accepted.
	Verdict  string                  `json:"verdict"`
	Conflict *snapshot.ConflictError `json:"conflict,omitempty"`
}

// Codes of ErrorAnswer.
const (
	CodeConflict     = "conflict"
	CodeInvalid      = "invalid"
	CodeUnavailable  = "unavailable"
	CodeUnknown      = "unknown_outcome"
	CodeUnauthorized = "unauthorized"
)

type handler struct {
	backend Backend
	tokens  map[string]string
	log     *log.Logger
}

// NewHandler returns the handler of the operators' port. tokens maps digests
// of bearer tokens to the names of operators; see settings.Entry.
func NewHandler(b Backend, tokens map[string]string, l *log.Logger) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &handler{backend: b, tokens: tokens, log: l}
	g := gin.New()
	g.GET(pathSnapshot, h.snapshot)
	g.GET(pathStatus, h.status)
	g.POST(pathApply, h.apply)
	return g
}

// operator returns who is asking.
func (h *handler) operator(c *gin.Context) (string, bool) {
	if len(h.tokens) == 0 {
		name := c.GetHeader(HeaderOperator)
		return name, name != ""
	}
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := blake3.Sum256([]byte(token))
	name, ok := h.tokens[hex.EncodeToString(sum[:])]
	return name, ok
}

func (h *handler) snapshot(c *gin.Context) {
	if _, ok := h.operator(c); !ok {
		unauthorized(c)
		return
	}
	c.JSON(http.StatusOK, h.backend.Snapshot())
}

func (h *handler) status(c *gin.Context) {
	if _, ok := h.operator(c); !ok {
		unauthorized(c)
		return
	}
	c.JSON(http.StatusOK, h.backend.Status())
}

func (h *handler) apply(c *gin.Context) {
	name, ok := h.operator(c)
	if !ok {
		unauthorized(c)
		return
	}
	var q ApplyRequest
	d := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxBatch))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		c.JSON(http.StatusBadRequest, ErrorAnswer{Code: CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun.String()})
		return
	}
	b := snapshot.Batch{Changes: q.Changes, Author: name, Mark: uuid.NewString(), Base: q.Base}
	result, err := h.backend.Apply(c.Request.Context(), b, q.DryRun)
	if err != nil {
		status, answer := describe(err)
		h.log.Info("change refused", "operator", name, "code", answer.Code, "err", err)
		c.JSON(status, answer)
		return
	}
	h.log.Info("change accepted", "operator", name, "revision", result.Revision, "changes", len(q.Changes), "dryRun", q.DryRun)
	c.JSON(http.StatusOK, result)
}

// describe returns how an error is told.
func describe(err error) (int, ErrorAnswer) {
	a := ErrorAnswer{Message: err.Error(), Verdict: verdict.NotRun.String()}
	var conflict *snapshot.ConflictError
	var unknown *commit.UnknownError
	var down *objectstore.UnavailableError
	var field *object.FieldError
	switch {
	case errors.As(err, &conflict):
		a.Code, a.Conflict = CodeConflict, conflict
		return http.StatusConflict, a
	case errors.As(err, &unknown):
		a.Code, a.Verdict = CodeUnknown, unknown.Verdict().String()
		return http.StatusGatewayTimeout, a
	case errors.As(err, &down):
		a.Code = CodeUnavailable
		return http.StatusServiceUnavailable, a
	case errors.As(err, &field):
		a.Code = CodeInvalid
		return http.StatusUnprocessableEntity, a
	}
	a.Code = CodeInvalid
	return http.StatusUnprocessableEntity, a
}

func unauthorized(c *gin.Context) {
	c.JSON(http.StatusUnauthorized, ErrorAnswer{
		Code: CodeUnauthorized, Message: "who are you? send a token, or your name in " + HeaderOperator,
		Verdict: verdict.NotRun.String(),
	})
}
