package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel/attribute"

	"github.com/silverdeck/silverdeck/standalone/dispatch"
	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/ticket"
	"github.com/silverdeck/silverdeck/verdict"
)

// serve runs a resolved request, by its ticket if it has or needs one.
func (h *Handler) serve(c *gin.Context, r *dispatch.Request, spec *object.ServiceSpec) {
	once := c.GetHeader(ticket.Header) != "" || c.GetHeader(HeaderRepeat) == RepeatNever
	c.Header(HeaderRequestID, r.ID)
	if !once {
		_ = h.respond(c, r, spec, c.Writer)
		return
	}
	t, err := h.ticketOf(c, r)
	if err != nil {
		hop.WriteError(c.Writer, verdict.From(err))
		return
	}
	c.Header(ticket.Header, t.String())
	if !h.Ledger.Owns(t) && t.Addr != h.Ledger.Addr() && c.GetHeader(HeaderRelayed) == "" {
		h.Relay.pass(c.Request.Context(), c.Writer, c.Request, r.Body, t.Addr, &h.held)
		return
	}
	h.serveOnce(c, r, spec, t)
}

// ticketOf returns the ticket by which a marked request may run: its own, the
// one that its key stands for, or a new one.
func (h *Handler) ticketOf(c *gin.Context, r *dispatch.Request) (ticket.Ticket, error) {
	if text := c.GetHeader(ticket.Header); text != "" {
		return ticket.Parse(text)
	}
	mint := func() string { return h.Ledger.Mint(r.Account.Name).String() }
	key := c.GetHeader(HeaderKey)
	if key == "" {
		return ticket.Parse(mint())
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), claimLimit)
	defer cancel()
	text, err := h.Claimer.Take(ctx, r.Account.Name, key, mint)
	if err != nil {
		return ticket.Ticket{}, err
	}
	return ticket.Parse(text)
}

// serveOnce runs a request with a ticket, or tells what became of it.
func (h *Handler) serveOnce(c *gin.Context, r *dispatch.Request, spec *object.ServiceSpec, t ticket.Ticket) {
	run, isNew, err := h.Ledger.Begin(t, r.Account.Name)
	if err != nil {
		hop.WriteError(c.Writer, verdict.From(err))
		return
	}
	if isNew {
		r.Repeatable = false
		rec := &recorder{ResponseWriter: c.Writer}
		outcome := &ticket.Outcome{Err: verdict.NewError(verdict.Unknown{}, verdict.CodeCut, "the run ended early")}
		defer func() { h.Ledger.Finish(run, outcome) }()
		outcome = rec.outcome(h.respond(c, r, spec, rec))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), timeout(spec))
	defer cancel()
	outcome, err := run.Wait(ctx)
	if err != nil {
		hop.WriteError(c.Writer, verdict.From(err))
		return
	}
	replay(c.Writer, outcome)
}

// replay answers with what became of an earlier run.
func replay(w http.ResponseWriter, o *ticket.Outcome) {
	if o.Err != nil {
		hop.WriteError(w, o.Err)
		return
	}
	for k, v := range o.Header {
		w.Header()[k] = v
	}
	w.Header().Set(verdict.Header, verdict.Ran.String())
	hop.SetLength(w.Header(), len(o.Body))
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}

// respond dispatches r and answers on w. It returns the failure, if any.
func (h *Handler) respond(c *gin.Context, r *dispatch.Request, spec *object.ServiceSpec, w http.ResponseWriter) *verdict.Error {
	began := time.Now()
	ctx, cancel := runContext(c, spec, w != http.ResponseWriter(c.Writer))
	defer cancel()
	ctx, span := h.Tracer.StartServerSpan(ctx, c.Request.Header, "entry.request",
		attribute.String("request", r.ID), attribute.String("service", r.Service.Name), attribute.String("account", r.Account.Name))
	defer span.End()
	result, err := h.Dispatcher.Do(ctx, *r)
	if err != nil {
		e := verdict.From(err)
		h.note(r, nil, e, began)
		hop.WriteError(w, e)
		return e
	}
	span.SetAttributes(attribute.String("endpoint", result.Choice.Endpoint.VM), attribute.String("why", result.Choice.Reason),
		attribute.Int("candidates", result.Choice.Candidates), attribute.Int("attempts", result.Attempts))
	recorded := w != http.ResponseWriter(c.Writer)
	if recorded {
		result.Body = newRecordedBody(result.Body)
	}
	if recorded || !hop.IsStream(result.Header) {
		result.Body = h.held.body(result.Body)
	}
	err = h.answer(w, result)
	_ = result.Body.Close()
	result.Done(err)
	var e *verdict.Error
	if err != nil {
		e = verdict.From(err)
	}
	h.note(r, result, e, began)
	return e
}

// answer passes the answer on, whole or marked as cut.
func (h *Handler) answer(w http.ResponseWriter, result *dispatch.Result) error {
	header := w.Header()
	for k, v := range result.Header {
		header[k] = v
	}
	header.Set(HeaderEndpoint, result.Choice.Endpoint.VM)
	header.Set(HeaderWhy, fmt.Sprintf("%s, of %d, attempt %d", result.Choice.Reason, result.Choice.Candidates, result.Attempts))
	if hop.IsStream(result.Header) {
		w.WriteHeader(result.Status)
		return stream(w, result.Body)
	}
	b, err := io.ReadAll(io.LimitReader(result.Body, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		err = errTooLarge()
	}
	if err != nil {
		header.Del("Content-Type")
		hop.WriteError(w, verdict.From(err))
		return err
	}
	header.Set(verdict.Header, verdict.Ran.String())
	if result.Unmarked {
		hop.LeaveUnmarked(header)
	}
	hop.SetLength(header, len(b))
	w.WriteHeader(result.Status)
	_, _ = w.Write(b)
	return nil
}

// stream passes server-sent events on, each as it comes. The last event is
// held back until the end mark has been checked; a cut stream ends in an
// error event instead.
func stream(w http.ResponseWriter, src io.Reader) error {
	c := http.NewResponseController(w)
	lines := hop.NewLineReader(src)
	var held []byte
	for {
		line, err := lines.ReadLine()
		if hop.IsDone(line) || held != nil {
			held = append(held, line...)
			line = nil
		}
		if err == nil && len(held) > hop.MaxLine {
			err = hop.ErrLongLine
		}
		_, _ = w.Write(line)
		if len(bytes.TrimSpace(line)) == 0 || err != nil {
			_ = c.Flush()
		}
		if errors.Is(err, io.EOF) {
			_, _ = w.Write(held)
			return nil
		}
		if err != nil {
			_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", hop.ErrorJSON(verdict.From(err)))
			return err
		}
	}
}

// note logs and counts a request.
func (h *Handler) note(r *dispatch.Request, result *dispatch.Result, e *verdict.Error, began time.Time) {
	took := time.Since(began)
	fields := []any{"request", r.ID, "service", r.Service.Name, "account", r.Account.Name, "ms", took.Milliseconds()}
	if result != nil {
		fields = append(fields, "endpoint", result.Choice.Endpoint.VM, "version", result.Choice.Loaded.Weights,
			"attempts", result.Attempts, "why", result.Choice.Reason)
	}
	h.histogram("request.micros").Update(took.Microseconds())
	if e == nil {
		h.count("requests.ok")
		h.Log.Debug("request", fields...)
		return
	}
	h.count("requests." + string(e.Code))
	h.Log.Info("request failed", append(fields, "code", e.Code, "verdict", e.Verdict(), "err", e)...)
}
