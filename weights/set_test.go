package weights_test

import (
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silverdeck/silverdeck/weights"
)

const chunkSize = weights.MinChunkSize

func manifest(data []byte) *weights.Manifest {
	m, err := weights.NewManifest(bytes.NewReader(data), chunkSize)
	Expect(err).NotTo(HaveOccurred())
	return m
}

var _ = Describe("Set", func() {
	data := bytes.Repeat([]byte("0123456789abcdef"), 700)

	It("accepts the chunks of its version in any order and no others", func() {
		m := manifest(data)
		s := weights.NewSet(m)
		for i := len(m.Chunks) - 1; i >= 0; i-- {
			Expect(s.Complete()).To(BeFalse())
			_, err := s.WriteTo(io.Discard)
			Expect(err).To(HaveOccurred(), "an incomplete set must not be written")
			off, n := m.Range(i)
			wrong := bytes.Clone(data[off : off+n])
			wrong[0] ^= 1
			_, err = s.Put(i, wrong)
			Expect(err).To(BeAssignableToTypeOf(&weights.ChunkError{}))
			isNew, err := s.Put(i, bytes.Clone(data[off:off+n]))
			Expect(err).NotTo(HaveOccurred())
			Expect(isNew).To(BeTrue())
		}
		Expect(s.Complete()).To(BeTrue())
		Expect(s.VerifyWhole()).To(Succeed())
	})

	It("rejects an inconsistent manifest", func() {
		for _, text := range []string{`{}`, `{"size":1,"chunkSize":4096,"whole":"00","chunks":[]}`, `{"size":-1}`, `[]`, `{"sise":1}`} {
			_, err := weights.ParseManifest([]byte(text))
			Expect(err).To(HaveOccurred(), text)
		}
	})
})

// Guards against weights that mix two versions, which happens if a set accepts a chunk of
// another version than its own. The inline put of spec/chunks.pml models this step.
func TestSetNeverMixesVersions(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.SliceOfN(rapid.Byte(), 3*chunkSize, 4*chunkSize).Draw(t, "a")
		b := bytes.Clone(a)
		for i := 0; i < len(b); i += chunkSize {
			b[i] ^= rapid.Byte().Draw(t, "change")
		}
		m := manifest(a)
		s := weights.NewSet(m)
		for range 20 {
			i := rapid.IntRange(0, len(m.Chunks)-1).Draw(t, "chunk")
			off, n := m.Range(i)
			from := a
			if rapid.Bool().Draw(t, "other") {
				from = b
			}
			_, _ = s.Put(i, bytes.Clone(from[off:off+n]))
		}
		var out bytes.Buffer
		if _, err := s.WriteTo(&out); err == nil && !bytes.Equal(out.Bytes(), a) {
			t.Fatal("the set was written with chunks of another version")
		}
	})
}

func FuzzParseManifest(f *testing.F) {
	f.Add([]byte(`{"size":1,"chunkSize":4096,"whole":"","chunks":[""]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := weights.ParseManifest(b)
		if err != nil {
			return
		}
		for i := range m.Chunks {
			if off, n := m.Range(i); off < 0 || n <= 0 || off+n > m.Size {
				t.Fatalf("chunk %d has %d bytes at offset %d of %d", i, n, off, m.Size)
			}
		}
	})
}
