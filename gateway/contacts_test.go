package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// putContacts writes contacts of a large fleet that name one gateway.
func putContacts(store *standin.Store, name, peer string) {
	store.Put(platform.KindContacts, "main", json.RawMessage(fmt.Sprintf(
		`{"size":100,"gateways":[{"name":%q,"peer":%q,"zone":"a","region":"east","relays":true}]}`, name, peer)))
}

// Guards against a gateway that waits for contacts that are gone: startGatewayWithStore waits until
// it is ready.
func TestAGatewayStartsAlthoughItsContactsAreGone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore()
	putContacts(store, "gone", "127.0.0.1:9")
	began := time.Now()
	cfg := startGatewayWithStore(t, store, 62)
	g.Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second))
	status, _ := get(g, "http://"+cfg.Ready+platform.ReadyPath, "")
	g.Expect(status).To(Equal(http.StatusOK))
}

// Guards against gateways of a large fleet that do not find each other at a restart of all: one that
// is named in the contacts, and one that knows it from there.
func TestGatewaysFindEachOtherByContacts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore()
	putContacts(store, "gw63", gatewayIP(63)+":7003")
	first, second := startGatewayWithStore(t, store, 63), startGatewayWithStore(t, store, 64)
	for _, cfg := range []*platform.Settings{first, second} {
		g.Eventually(func() string {
			_, body := get(g, "http://"+cfg.Directory+platform.ResolvePath+"?zone=a", "")
			return body
		}, eventuallyTimeout).Should(And(ContainSubstring(first.Callers), ContainSubstring(second.Callers)))
	}
}
