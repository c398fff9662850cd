package mirror_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// restoredStore is a store with a mirror of its endpoints.
type restoredStore struct {
	*standin.Store
	m *mirror.Mirror
}

// put writes records with the given state and returns the revision of the last one.
func (r *restoredStore) put(state string, names ...string) int64 {
	var last int64
	for _, name := range names {
		last = r.Put(platform.KindEndpoints, name, map[string]string{"state": state})
	}
	return last
}

// states returns the states of the copied records by name.
func (r *restoredStore) states() map[string]string {
	out := map[string]string{}
	for name, o := range r.m.State().Objects {
		_, state, _ := strings.Cut(string(o.Data), `"state":"`)
		out[name], _, _ = strings.Cut(state, `"`)
	}
	return out
}

// TestWhatIsWrittenAfterAReturnFromACopyIsSeen guards against revisions that are taken for old news.
func TestWhatIsWrittenAfterAReturnFromACopyIsSeen(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lost writes after the copy was made, later after the return. Both return the last revision.
		lost, later func(r *restoredStore) int64
		// silent keeps the mirror from the store until later has written.
		silent bool
		want   map[string]string
	}{
		{name: "at a lower revision",
			lost:  func(r *restoredStore) int64 { return r.put("ready", "b", "c", "d") },
			later: func(r *restoredStore) int64 { return r.put("draining", "a") }, want: map[string]string{"a": "draining"}},
		{name: "at the same revision",
			lost:  func(r *restoredStore) int64 { return r.put("busy", "a") },
			later: func(r *restoredStore) int64 { return r.put("draining", "a") }, silent: true, want: map[string]string{"a": "draining"}},
		{name: "before the first read, at revisions that pass the old one",
			lost:  func(r *restoredStore) int64 { return r.put("ready", "b") },
			later: func(r *restoredStore) int64 { r.put("draining", "a"); return r.put("ready", "e", "f") }, silent: true,
			want: map[string]string{"a": "draining", "e": "ready", "f": "ready"}},
		{name: "nothing",
			lost:  func(r *restoredStore) int64 { return r.put("ready", "b") },
			later: func(*restoredStore) int64 { return 0 }, want: map[string]string{"a": "ready"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			r := &restoredStore{Store: standin.NewStore()}
			server := httptest.NewServer(r.Store)
			defer server.Close()
			r.m = mirror.New(mirror.Config{
				Kind: platform.KindEndpoints, Random: func() float64 { return 0 }, Log: log.New(io.Discard),
				Source:      platform.NewStore(strings.TrimPrefix(server.URL, "http://"), metrics.NewRegistry()).Source(platform.KindEndpoints),
				PollTimeout: func() time.Duration { return time.Second },
			}, func(*mirror.State) {})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r.put("ready", "a")
			go r.m.Run(ctx)
			c := r.Copy()
			lost := tc.lost(r)
			g.Eventually(func() int64 { return r.m.State().Changed }).Within(2 * time.Second).Should(Equal(lost))
			if tc.silent {
				r.SetFault(standin.StoreFault{Status: 503})
				server.CloseClientConnections()
			}
			r.Restore(c)
			tc.later(r)
			r.SetFault(standin.StoreFault{})
			g.Eventually(r.states).Within(2 * time.Second).Should(Equal(tc.want))
		})
	}
}
