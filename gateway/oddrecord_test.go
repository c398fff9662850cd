package gateway_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// oddRecords are records of endpoints, and of other kinds, as another program may write them.
var oddRecords = []any{
	standin.Nested,
	map[string]any{"service": standin.Nested},
	oddRecord("note", standin.Nested),
	oddRecord("models", standin.Nested),
	oddRecord("models", []any{standin.Nested}),
	oddRecord("slots", json.Number("99999999999999999999")),
	oddRecord("slots", json.Number("1e400")),
	oddRecord("slots", json.Number("9223372036854775807")),
	oddRecord("sequence", json.Number("9223372036854775808")),
	oddRecord("sequence", json.Number("9223372036854775807")),
	oddRecord("born", json.Number("9223372036854775807")),
	oddRecord("born", json.Number("-1")),
	oddRecord("cold_remaining_ms", json.Number("1e308")),
	oddRecord("cold_remaining_ms", json.Number("1e309")),
	oddRecord("version", json.Number("1e999")),
	oddRecord("models", json.RawMessage(`[{"name":"m","version":99999999999999999999}]`)),
	oddRecord("models", json.RawMessage(`[{"name":"m","version":9223372036854775807}]`)),
	oddRecord("address", "127.0.0.1:65536"),
	oddRecord("address", "127.0.0.1:0"),
	oddRecord("address", "127.0.0.1:-1"),
	oddRecord("address", "127.0.0.1:99999999999999999999"),
	oddRecord("address", "[::1%eth0]:80"),
	oddRecord("address", json.RawMessage(`{"port":80}`)),
	oddRecord("state", json.RawMessage(`[]`)),
	nil, 7, "text", []int{}, true, map[string]any{},
}

// oddRecord returns the record of an endpoint that is sound but for one field.
func oddRecord(field string, value any) map[string]any {
	out := map[string]any{"service": "odd", "address": "127.0.0.1:9", "zone": "a", "slots": 4, "state": "ready"}
	out[field] = value
	return out
}

// oddKinds are the kinds to whose objects the records are added.
var oddKinds = []string{platform.KindEndpoints, platform.KindVersions, platform.KindEvacuations, platform.KindMembers, platform.KindQuarantine, platform.KindConfig}

// putOddRecords adds the records to each kind, with names that end with suffix.
func putOddRecords(store *standin.Store, suffix string) {
	for _, kind := range oddKinds {
		for i, r := range oddRecords {
			store.Put(kind, fmt.Sprintf("odd-%d-%s", i, suffix), r)
		}
	}
}

// TestOddRecordsDecideOverNoOthers guards against gateways that end, stop following a list or don't start because of a record.
func TestOddRecordsDecideOverNoOthers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore()
	putOddRecords(store, "first")
	cfg := startZones(t, store, 95) // the list holds them
	putOddRecords(store, "later")   // and the history
	store.Put(platform.KindEvacuations, "a", json.RawMessage(`{}`))
	g.Eventually(func() map[string]bool { return servedBy(g, cfg) }, eventuallyTimeout).Should(Equal(map[string]bool{"200b": true}))

	addr, _ := startEndpointWithHeaders(t, map[string]string{"Zone": "new"})
	store.Put(platform.KindEndpoints, "new", json.RawMessage(fmt.Sprintf(`{"service":"new","address":%q,"zone":"b","slots":4,"state":"ready"}`, addr)))
	store.Put(platform.KindConfig, platform.ConfigName, json.RawMessage(`{"version":4,"routes":[{"name":"r","hostname":"h",
		"path_prefix":"/","kind":"safe","timeout_ms":1000,"service":"new"}],"services":[{"name":"new"}]}`))
	g.Eventually(func() map[string]bool { return servedBy(g, cfg) }, eventuallyTimeout).Should(Equal(map[string]bool{"200new": true}))

	another := startGatewayWithStore(t, store, 96, func(c *platform.Settings) { c.EvacuationLimit = 5 * time.Second })
	g.Eventually(func() map[string]bool { return servedBy(g, another) }, eventuallyTimeout).Should(Equal(map[string]bool{"200new": true}))
}
