package exchange

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/silverdeck/silverdeck/weights"
)

// defaultQueue is how many requests may wait for each upload slot.
const defaultQueue = 4

// Server answers other agents, and the engine beside this one.
type Server struct {
	held  Holdings
	slots chan struct{}
	queue chan struct{}
	// waiting is how many requests may wait for each upload slot; queue has room for these
	// and for those that are sent.
	waiting int
	// coalesce is how long news is coalesced before it is told.
	coalesce time.Duration
	// pace bounds the bytes that are sent; nil means no bound.
	pace *rate.Limiter
}

// ServerOption changes a Server.
type ServerOption func(*Server)

// WithCoalescing sets how long news of chunks is coalesced before it is told.
func WithCoalescing(d time.Duration) ServerOption {
	return func(s *Server) { s.coalesce = d }
}

// WithQueue sets how many requests may wait for each upload slot. More are refused.
func WithQueue(waiting int) ServerOption {
	return func(s *Server) { s.waiting = waiting }
}

// paceSlice is how many bytes are sent at once under a pace: little enough not
// to hold up what else the link carries.
const paceSlice = 4 << 10

// WithPace bounds what is sent to bytesPerSecond.
func WithPace(bytesPerSecond float64) ServerOption {
	return func(s *Server) { s.pace = rate.NewLimiter(rate.Limit(bytesPerSecond), paceSlice) }
}

// NewServer returns a Server of what held has, that sends slots chunks at once.
func NewServer(held Holdings, slots int, opts ...ServerOption) *Server {
	s := &Server{
		held:     held,
		slots:    make(chan struct{}, slots),
		waiting:  defaultQueue,
		coalesce: haveCoalesce,
	}
	for _, o := range opts {
		o(s)
	}
	s.queue = make(chan struct{}, slots*(s.waiting+1))
	return s
}

// Register adds the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+chunkPath+"{root}/{chunk}", s.serveChunk)
	mux.HandleFunc("GET "+WeightsPath+"{root}", s.serveWeights)
}

// Have is the net/rpc method behind Client.Have.
func (s *Server) Have(q HaveRequest, reply *HaveReply) error {
	set := s.held.Set(q.Root)
	if set == nil {
		time.Sleep(haveWait / 4)
		return nil
	}
	chunks, more := set.Since(q.Since)
	if len(chunks) == 0 && !set.Complete() {
		t := time.NewTimer(haveWait)
		defer t.Stop()
		select {
		case <-more:
			time.Sleep(s.coalesce)
		case <-t.C:
		}
		chunks, _ = set.Since(q.Since)
	}
	if len(chunks) == 0 && set.Complete() {
		time.Sleep(haveWait)
	}
	reply.Chunks = chunks
	return nil
}

// Manifest is the net/rpc method behind Client.Manifest.
func (s *Server) Manifest(q ManifestRequest, reply *ManifestReply) error {
	set := s.held.Set(q.Root)
	if set == nil {
		return nil
	}
	b, err := json.Marshal(set.Manifest())
	reply.Manifest = b
	return err
}

func (s *Server) serveChunk(w http.ResponseWriter, r *http.Request) {
	root, err := weights.ParseDigest(r.PathValue("root"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i, err := strconv.Atoi(r.PathValue("chunk"))
	if err != nil {
		http.Error(w, "bad chunk number", http.StatusBadRequest)
		return
	}
	b := s.find(root, i)
	if b == nil {
		http.Error(w, "absent", s.absentStatus(root, i))
		return
	}
	if !s.enter(r) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	// Where the other side is gone, this and what follows fail; it asks elsewhere.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeLimit))
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	s.send(w, r, b)
}

// send writes b at the server's pace.
func (s *Server) send(w http.ResponseWriter, r *http.Request, b []byte) {
	if s.pace == nil {
		_, _ = w.Write(b)
		return
	}
	out := http.NewResponseController(w)
	for slice := range slices.Chunk(b, paceSlice) {
		if err := s.pace.WaitN(r.Context(), len(slice)); err != nil {
			return
		}
		if _, err := w.Write(slice); err != nil {
			return
		}
		_ = out.Flush()
	}
}

func (s *Server) find(root weights.Digest, i int) []byte {
	set := s.held.Set(root)
	if set == nil {
		return nil
	}
	return set.Get(i)
}

func (s *Server) absentStatus(root weights.Digest, i int) int {
	if s.held.Reading(root, i) {
		return http.StatusTooEarly
	}
	return http.StatusNotFound
}

// enter waits for an upload slot, or returns false when too many wait already.
func (s *Server) enter(r *http.Request) bool {
	select {
	case s.queue <- struct{}{}:
	default:
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		<-s.queue
		return false
	}
}

func (s *Server) leave() {
	<-s.slots
	<-s.queue
}

// serveWeights gives the complete weights to the engine on this VM.
func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	root, err := weights.ParseDigest(r.PathValue("root"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set := s.held.Set(root)
	if set == nil || !set.Complete() {
		http.Error(w, "not complete", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(set.Manifest().Size, 10))
	_, _ = set.WriteTo(w) // an engine that is gone asks again
}
