package gateway_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// versionState is what a gateway shows of a model's newest version.
type versionState struct {
	Version  int64
	AgeMS    int64
	Found    bool
	Required int64
}

// newestVersion returns what the gateway shows of its only model, or nothing before it
// has read of one.
func newestVersion(g *WithT, cfg *platform.Settings) versionState {
	_, body := get(g, "http://"+cfg.Observe+"/debug/state", "")
	var shown struct{ Versions []versionState }
	g.Expect(json.Unmarshal([]byte(body), &shown)).To(Succeed())
	if len(shown.Versions) == 0 {
		return versionState{}
	}
	return shown.Versions[0]
}

// newStore returns a store with version 2 of a model named and endpoints that hold
// versions.
func newStore(held ...int) *standin.Store {
	store := standin.NewStore()
	for _, s := range specs {
		store.Put(s.kind, s.name, json.RawMessage(strings.Replace(s.spec, "%s", "", 1)))
	}
	for i, version := range held {
		store.Put(platform.KindEndpoints, fmt.Sprintf("h%d", i), json.RawMessage(fmt.Sprintf(
			`{"service":"llm","address":"10.0.1.%d:80","zone":"a","slots":4,"state":"ready","models":[{"name":"m","version":%d}]}`, i, version)))
	}
	return store
}

// What users saw: after all processes had been killed, answers came from weights that had
// been replaced long before. Each gateway that started gave the version that it found the
// whole limit once more, and sent requests to endpoints that lagged.
func TestAFoundVersionIsRequiredOnceMostEndpointsHoldIt(t *testing.T) {
	t.Parallel()
	t.Run("most", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		cfg := startGatewayBefore(t, newStore(2, 2, 1), 1)
		g.Eventually(func() int64 { return newestVersion(g, cfg).Required }, 4*time.Second).Should(Equal(int64(2)), "well before the limit of 8 s")
	})
	t.Run("few", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		cfg := startGatewayBefore(t, newStore(2, 1, 1), 2)
		g.Eventually(func() int64 { return newestVersion(g, cfg).Version }, patience).Should(Equal(int64(2)))
		g.Consistently(func() int64 { return newestVersion(g, cfg).Required }, time.Second).Should(BeZero())
	})
}

// A gateway that starts, or that was cut off, hears late that a version was named. Its
// limit counts from when others heard.
func TestAGatewayAsksOthersWhenAVersionWasNamed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore(2, 1, 1)
	first := startGatewayBefore(t, store, 3)
	// Ready does not wait for the versions: one that is named before they were read first is
	// found there, and then nobody knows when it was named.
	g.Eventually(func() int64 { return newestVersion(g, first).Version }, patience).Should(Equal(int64(2)))
	store.Put(platform.KindVersions, "m", json.RawMessage(`{"model":"m","version":3}`))
	g.Eventually(func() versionState { return newestVersion(g, first) }, patience).Should(HaveField("Version", int64(3)))
	g.Eventually(func() int64 { return newestVersion(g, first).AgeMS }, patience).Should(BeNumerically(">", 1000))
	second := startGatewayBefore(t, store, 4)
	g.Eventually(func() versionState { return newestVersion(g, second) }, patience).Should(
		And(HaveField("Version", int64(3)), HaveField("Found", false), HaveField("AgeMS", BeNumerically(">", 1000))))
}
