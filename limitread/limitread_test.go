package limitread_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/limitread"
)

func TestReadAll(t *testing.T) {
	for _, text := range []string{"", "abc", "abcd"} {
		t.Run(text, func(t *testing.T) {
			NewWithT(t).Expect(limitread.ReadAll(strings.NewReader(text), 4)).To(BeEquivalentTo(text))
		})
	}
}

func TestWhatIsTooLongIsNotCut(t *testing.T) {
	g := NewWithT(t)
	r := strings.NewReader("abcdefgh")
	b, err := limitread.ReadAll(r, 4)
	g.Expect(b).To(BeEmpty())
	var e *limitread.TooLongError
	g.Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
	g.Expect(e.Limit).To(BeEquivalentTo(4))
	g.Expect(r.Len()).To(Equal(3))
}

func TestAnErrorIsReturned(t *testing.T) {
	_, err := limitread.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 4)
	NewWithT(t).Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}
