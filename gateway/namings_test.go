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

// versionState is a model's newest version as shown at /debug/state.
type versionState struct {
	Version  int64
	AgeMS    int64
	Found    bool
	Required int64
}

// newestVersion returns the newest version of the only model, or the zero value before the
// gateway has read one.
func newestVersion(g *WithT, cfg *platform.Settings) versionState {
	_, body := get(g, "http://"+cfg.Observe+"/debug/state", "")
	var shown struct{ Versions []versionState }
	g.Expect(json.Unmarshal([]byte(body), &shown)).To(Succeed())
	if len(shown.Versions) == 0 {
		return versionState{}
	}
	return shown.Versions[0]
}

// newStore returns a store that names version 2 of a model and has one endpoint for each of
// the held versions.
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

// Guards against responses from outdated weights after a restart of all processes: a starting
// gateway that grants a found version the whole limit again sends requests to endpoints that
// lag behind.
func TestAFoundVersionIsRequiredOnceMostEndpointsHoldIt(t *testing.T) {
	t.Parallel()
	t.Run("most", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		cfg := startGatewayWithStore(t, newStore(2, 2, 1), 1)
		g.Eventually(func() int64 { return newestVersion(g, cfg).Required }, 4*time.Second).Should(Equal(int64(2)), "well before the limit of 8 s")
	})
	t.Run("few", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		cfg := startGatewayWithStore(t, newStore(2, 1, 1), 2)
		g.Eventually(func() int64 { return newestVersion(g, cfg).Version }, eventuallyTimeout).Should(Equal(int64(2)))
		g.Consistently(func() int64 { return newestVersion(g, cfg).Required }, time.Second).Should(BeZero())
	})
}

// A gateway that starts, or was partitioned, learns late that a version was named. Its limit
// must count from when other gateways learned of it.
func TestAGatewayAsksOthersWhenAVersionWasNamed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore(2, 1, 1)
	first := startGatewayWithStore(t, store, 3)
	// Readiness does not wait for the versions: one that is named before the first read counts
	// as found, with an unknown naming time.
	g.Eventually(func() int64 { return newestVersion(g, first).Version }, eventuallyTimeout).Should(Equal(int64(2)))
	store.Put(platform.KindVersions, "m", json.RawMessage(`{"model":"m","version":3}`))
	g.Eventually(func() versionState { return newestVersion(g, first) }, eventuallyTimeout).Should(HaveField("Version", int64(3)))
	g.Eventually(func() int64 { return newestVersion(g, first).AgeMS }, eventuallyTimeout).Should(BeNumerically(">", 1000))
	second := startGatewayWithStore(t, store, 4)
	g.Eventually(func() versionState { return newestVersion(g, second) }, eventuallyTimeout).Should(
		And(HaveField("Version", int64(3)), HaveField("Found", false), HaveField("AgeMS", BeNumerically(">", 1000))))
}
