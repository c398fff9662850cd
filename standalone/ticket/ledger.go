package ticket

import (
	"context"
	"net/http"
	"sync"

	"github.com/bits-and-blooms/bitset"

	"github.com/silverdeck/silverdeck/verdict"
)

// Outcome is what became of a request with a ticket.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set when there is no whole answer.
	Err *verdict.Error
}

// size is what an outcome counts against the memory for kept answers.
func (o *Outcome) size() int {
	return len(o.Body) + outcomeOverhead
}

// outcomeOverhead is what a kept answer costs beside its body, in bytes.
const outcomeOverhead = 512

// Run is one use of a ticket.
type Run struct {
	seq  uint64
	done chan struct{}
	// outcome is set before done is closed.
	outcome *Outcome
}

// Ledger mints tickets and remembers which were used. That a ticket was used
// is never forgotten: it is one bit. Answers are kept within a bound, the
// latest ones. It is safe for concurrent use.
//
// Spec step: once.pml, "mint", "begin" and "finish".
type Ledger struct {
	mint  *mint
	limit int

	mu   sync.Mutex
	next uint64
	used *bitset.BitSet
	runs map[uint64]*Run
	kept []uint64
	held int
}

// NewLedger returns a Ledger of a new life of the entry at addr, that keeps
// limit bytes of answers.
func NewLedger(addr string, limit int) *Ledger {
	return &Ledger{mint: newMint(addr), limit: limit, used: bitset.New(0), runs: map[uint64]*Run{}}
}

// Mint returns a ticket that was never given out before.
func (l *Ledger) Mint(account string) Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.mint.ticket(l.next, account)
	l.next++
	return t
}

// Owns returns whether t is of this life. If it is not, another entry may own
// it, or nobody any longer.
func (l *Ledger) Owns(t Ticket) bool {
	return t.Addr == l.mint.addr && t.Life == l.mint.life
}

// Addr returns the address that tickets of this ledger name.
func (l *Ledger) Addr() string {
	return l.mint.addr
}

// Begin uses t. If the result is new, the caller must run the request and end
// it with Finish; nobody else ever will. Otherwise it was used before, and
// Wait tells what became of it.
func (l *Ledger) Begin(t Ticket, account string) (run *Run, isNew bool, err error) {
	if !l.Owns(t) {
		return nil, false, Stale()
	}
	if !l.mint.genuine(t) || t.Account != account {
		return nil, false, badTicket(nil)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[t.Seq]; r != nil {
		return r, false, nil
	}
	if l.used.Test(uint(t.Seq)) {
		return nil, false, verdict.NewError(verdict.Unknown{}, verdict.CodeDuplicate, "the ticket was used before; what became of it is no longer kept")
	}
	l.used.Set(uint(t.Seq))
	r := &Run{seq: t.Seq, done: make(chan struct{})}
	l.runs[t.Seq] = r
	return r, true, nil
}

// Stale returns the error for a ticket whose entry's life is over.
func Stale() *verdict.Error {
	return verdict.NewError(verdict.Unknown{}, verdict.CodeStaleTicket, "the entry that minted the ticket is gone; the request may have run")
}

// Finish ends a run. After an outcome that was certainly not run, the ticket
// can be used again.
func (l *Ledger) Finish(r *Run, o *Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.outcome = o
	close(r.done)
	if o.Err != nil && o.Err.Verdict() == verdict.NotRun {
		l.used.Clear(uint(r.seq))
		delete(l.runs, r.seq)
		return
	}
	l.kept = append(l.kept, r.seq)
	l.held += o.size()
	for l.held > l.limit && len(l.kept) > 0 {
		oldest := l.kept[0]
		l.kept = l.kept[1:]
		l.held -= l.runs[oldest].outcome.size()
		delete(l.runs, oldest)
	}
}

// Wait returns what became of the run.
func (r *Run) Wait(ctx context.Context) (*Outcome, error) {
	select {
	case <-r.done:
		return r.outcome, nil
	case <-ctx.Done():
		e := verdict.Classify(verdict.Written, ctx.Err())
		e.Detail = "the request is still running"
		return nil, e
	}
}
