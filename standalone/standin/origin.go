package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/blake3"
	"golang.org/x/time/rate"

	"github.com/silverdeck/silverdeck/weights"
)

// Weights returns n bytes that stand for the weights named name. The same name
// gives the same bytes.
func Weights(name string, n int) []byte {
	b := make([]byte, n)
	_, _ = blake3.NewDeriveKey(name).Digest().Read(b)
	return b
}

// OriginFaults says how the origin misbehaves.
type OriginFaults struct {
	// CorruptPercent of the ranges have a wrong byte.
	CorruptPercent float64 `json:"corruptPercent"`
	// Down refuses every call.
	Down bool `json:"down"`
}

// originBurst is how much passes before the link's rate holds, in bytes.
const originBurst = 64 << 10

// file is one version of something at the origin.
type file struct {
	data []byte
	etag string
}

// Origin is the stand-in of the origin of weights.
type Origin struct {
	mux  *http.ServeMux
	link *rate.Limiter
	read atomic.Int64

	mu     sync.Mutex
	files  map[string]file
	faults OriginFaults
}

// NewOrigin returns an empty Origin behind a link of bytesPerSecond; 0 means
// no limit.
func NewOrigin(bytesPerSecond float64) *Origin {
	o := &Origin{mux: http.NewServeMux(), files: map[string]file{}}
	if bytesPerSecond > 0 {
		o.link = rate.NewLimiter(rate.Limit(bytesPerSecond), originBurst)
	}
	o.mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "{\"bytes\":%d}\n", o.BytesRead())
	})
	o.mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f OriginFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		o.SetFaults(f)
	})
	o.mux.HandleFunc("GET /", o.get)
	return o
}

// Put publishes data at path with its manifest, in place of what was there.
func (o *Origin) Put(path string, data []byte, chunkSize int64) (*weights.Manifest, error) {
	m, err := weights.NewManifest(bytes.NewReader(data), chunkSize)
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.files[path] = file{data: data, etag: strconv.Quote(m.Whole.Short())}
	o.files[path+weights.ManifestSuffix] = file{data: b, etag: strconv.Quote(m.Root().Short())}
	return m, nil
}

// SetFaults changes how the origin misbehaves from now on.
func (o *Origin) SetFaults(f OriginFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// BytesRead returns how many bytes of weights and manifests were sent.
func (o *Origin) BytesRead() int64 {
	return o.read.Load()
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mux.ServeHTTP(w, r)
}

func (o *Origin) get(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	f, ok := o.files[strings.TrimPrefix(r.URL.Path, "/")]
	faults := o.faults
	o.mu.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.NotFound(w, r)
		return
	}
	data := f.data
	if faults.CorruptPercent > 0 && !strings.HasSuffix(r.URL.Path, weights.ManifestSuffix) && rand.Float64()*100 < faults.CorruptPercent {
		data = corrupted(data, r.Header.Get("Range"))
	}
	w.Header().Set("ETag", f.etag)
	w.Header().Set("Content-Type", "application/octet-stream")
	out := &linkWriter{ResponseWriter: w, ctx: r.Context(), link: o.link, count: &o.read}
	http.ServeContent(out, r, "", time.Time{}, bytes.NewReader(data))
}

// corrupted returns data with one byte wrong at the beginning of the range.
func corrupted(data []byte, ranges string) []byte {
	var off int
	_, _ = fmt.Sscanf(ranges, "bytes=%d-", &off)
	out := bytes.Clone(data)
	if off < len(out) {
		out[off] ^= 0xff
	}
	return out
}

// linkWriter sends at the rate of a link.
type linkWriter struct {
	http.ResponseWriter
	ctx   context.Context
	link  *rate.Limiter
	count *atomic.Int64
}

// linkStep is how much is sent at once, in bytes.
const linkStep = 16 << 10

// Write implements io.Writer.
func (w *linkWriter) Write(b []byte) (int, error) {
	total := 0
	for len(b) > 0 {
		step := b[:min(len(b), linkStep)]
		if w.link != nil {
			if err := w.link.WaitN(w.ctx, len(step)); err != nil {
				return total, err
			}
		}
		n, err := w.ResponseWriter.Write(step)
		w.count.Add(int64(n))
		total += n
		if err != nil {
			return total, err
		}
		b = b[n:]
	}
	return total, nil
}

// ReadFrom keeps net/http from going around Write.
func (w *linkWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}
