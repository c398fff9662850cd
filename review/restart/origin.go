package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The weights, as on the users' sheet.
const (
	layers     = 16
	pieces     = 48
	pieceBytes = 49152
	// originRate is the origin's link of 15 Mbit/s, in bytes per second.
	originRate = 15e6 / 8
)

// piece returns a piece of a version.
func piece(version int64, i int) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "%07d %07d ", version, i), pieceBytes/16)
}

// versionOf returns the version that a piece belongs to, or 0.
func versionOf(data []byte) int64 {
	text, _, _ := strings.Cut(string(data[:min(len(data), 16)]), " ")
	v, _ := strconv.ParseInt(text, 10, 64)
	return v
}

// origin is a stand-in of the origin of weights. While it is away, it refuses connections.
type origin struct {
	mu sync.Mutex
	// freeAt is when the link has sent what it has to send.
	freeAt time.Time
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	version, err := strconv.ParseInt(q.URL.Query().Get("version"), 10, 64)
	if err != nil || version < 1 {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	if strings.HasPrefix(q.URL.Path, "/piece/") {
		i, err := strconv.Atoi(q.URL.Query().Get("num"))
		if err != nil || i < 0 || i >= pieces {
			http.Error(w, "no such piece", http.StatusNotFound)
			return
		}
		o.await(pieceBytes)
		_, _ = w.Write(piece(version, i))
		return
	}
	digests := make([]string, pieces)
	for i := range digests {
		sum := sha256.Sum256(piece(version, i))
		digests[i] = hex.EncodeToString(sum[:])
	}
	answer(w, http.StatusOK, map[string]any{"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layers, "digests": digests})
}

// await waits until the link has sent n more bytes.
func (o *origin) await(n int) {
	o.mu.Lock()
	now := time.Now()
	if o.freeAt.Before(now) {
		o.freeAt = now
	}
	o.freeAt = o.freeAt.Add(time.Duration(float64(n) / originRate * float64(time.Second)))
	d := o.freeAt.Sub(now)
	o.mu.Unlock()
	time.Sleep(d)
}
