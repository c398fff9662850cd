package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Size of the weights. It is small so that a soak test can load many versions.
const (
	// Chunks is the number of chunks of a version.
	Chunks = 16
	// ChunkBytes is the size of a chunk.
	ChunkBytes = 8 << 10
)

// Chunk returns the contents of chunk i of a version: a repetition of the version modulo 1000
// and i.
func Chunk(version int64, i int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%03d%05d", version%1000, i)), ChunkBytes/8)
}

// Origin is a fake weights origin. It serves manifests, and chunks under /piece/.
type Origin struct{}

// ServeHTTP implements http.Handler.
func (Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "missing or invalid version", http.StatusBadRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/piece/") {
		i, _ := strconv.Atoi(r.URL.Query().Get("num"))
		_, _ = w.Write(Chunk(version, i))
		return
	}
	digests := make([]string, Chunks)
	for i := range digests {
		sum := sha256.Sum256(Chunk(version, i))
		digests[i] = hex.EncodeToString(sum[:])
	}
	writeJSON(w, http.StatusOK, struct {
		ChunkBytes int      `json:"chunk_bytes"`
		Digests    []string `json:"digests"`
	}{ChunkBytes, digests})
}
