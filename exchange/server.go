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

// defaultQueueLength is the default number of requests that may wait for each upload slot.
const defaultQueueLength = 4

// Server serves chunks and manifests to peers, and complete weights to the engine on the same
// VM.
type Server struct {
	holdings Holdings
	slots    *Slots
	// waiting is the number of requests that may wait for each upload slot.
	waiting int
	// coalescing is how long announcements of new chunks are coalesced before they are sent.
	coalescing time.Duration
	// limiter limits the bytes sent per second. It is nil if there is no limit.
	limiter *rate.Limiter
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithCoalescing sets how long announcements of new chunks are coalesced before they are sent.
func WithCoalescing(d time.Duration) ServerOption {
	return func(s *Server) { s.coalescing = d }
}

// WithQueue sets the number of requests that may wait for each upload slot. Further requests
// are rejected.
func WithQueue(waiting int) ServerOption {
	return func(s *Server) { s.waiting = waiting }
}

// paceBurst is the number of bytes written at a time when the rate is limited. It is small so
// that other traffic on the link is not delayed.
const paceBurst = 4 << 10

// WithPace limits the rate at which chunks are sent to bytesPerSecond.
func WithPace(bytesPerSecond float64) ServerOption {
	return func(s *Server) { s.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), paceBurst) }
}

// NewServer returns a Server that sends chunks from holdings, at most slots of them
// concurrently.
func NewServer(holdings Holdings, slots int, opts ...ServerOption) *Server {
	s := &Server{
		holdings:   holdings,
		waiting:    defaultQueueLength,
		coalescing: defaultCoalescing,
	}
	for _, o := range opts {
		o(s)
	}
	s.slots = NewSlots(slots, s.waiting)
	return s
}

// Register adds the HTTP handlers of the server to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+chunkPath+"{root}/{chunk}", s.serveChunk)
	mux.HandleFunc("GET "+WeightsPath+"{root}", s.serveWeights)
}

// Have is the net/rpc method called by Client.Have. It waits for new chunks if there are none.
// Replies without chunks are delayed because clients repeat the call immediately.
func (s *Server) Have(req HaveRequest, reply *HaveReply) error {
	set := s.holdings.Set(req.Root)
	if set == nil {
		time.Sleep(havePollTimeout / 4)
		return nil
	}
	chunks, arrived := set.Since(req.Since)
	if len(chunks) == 0 && !set.Complete() {
		t := time.NewTimer(havePollTimeout)
		defer t.Stop()
		select {
		case <-arrived:
			time.Sleep(s.coalescing)
		case <-t.C:
		}
		chunks, _ = set.Since(req.Since)
	}
	if len(chunks) == 0 && set.Complete() {
		time.Sleep(havePollTimeout)
	}
	reply.Chunks = chunks
	return nil
}

// Manifest is the net/rpc method called by Client.Manifest.
func (s *Server) Manifest(req ManifestRequest, reply *ManifestReply) error {
	set := s.holdings.Set(req.Root)
	if set == nil {
		return nil
	}
	b, err := json.Marshal(set.Manifest())
	reply.Manifest = b
	return err
}

// serveChunk sends a chunk to a peer.
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
	first := r.URL.Query().Has(firstCopyParam)
	b := s.chunk(root, i)
	if b == nil {
		http.Error(w, "absent", s.absentStatus(root, i))
		return
	}
	if !s.slots.Acquire(r.Context(), first) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer s.slots.Release()
	// If the peer is gone, this and the following calls fail. The errors are ignored because the
	// peer requests the chunk elsewhere.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(chunkWriteTimeout))
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	s.send(w, r, b)
}

// send writes b to w at no more than the configured rate.
func (s *Server) send(w http.ResponseWriter, r *http.Request, b []byte) {
	if s.limiter == nil {
		_, _ = w.Write(b)
		return
	}
	controller := http.NewResponseController(w)
	for part := range slices.Chunk(b, paceBurst) {
		if err := s.limiter.WaitN(r.Context(), len(part)); err != nil {
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

// chunk returns chunk i of root, or nil if it is not held.
func (s *Server) chunk(root weights.Digest, i int) []byte {
	set := s.holdings.Set(root)
	if set == nil {
		return nil
	}
	return set.Get(i)
}

// absentStatus returns the HTTP status for a chunk that is not held. The status tells the peer
// whether the chunk is being read from the origin here.
func (s *Server) absentStatus(root weights.Digest, i int) int {
	if s.holdings.Reading(root, i) {
		return http.StatusTooEarly
	}
	return http.StatusNotFound
}

// serveWeights sends the complete weights to the engine on this VM.
func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	root, err := weights.ParseDigest(r.PathValue("root"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set := s.holdings.Set(root)
	if set == nil || !set.Complete() {
		http.Error(w, "not complete", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(set.Manifest().Size, 10))
	_, _ = set.WriteTo(w) // an engine that lost the connection repeats the request
}
