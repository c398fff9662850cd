package soak

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// oddRecords are what another program leaves in the records of runners, by the name of the record.
var oddRecords = map[string]map[string]any{
	"odd-nested": {"note": standin.Nested},
	"odd-number": {"slots": json.Number("99999999999999999999")},
	"odd-port":   {"address": "127.0.0.1:65536"},
}

// putOddRecords writes records that are sound but for oddRecords. Each call changes them.
func (w *world) putOddRecords() {
	for name, odd := range oddRecords {
		record := map[string]any{"service": modelService, "address": "127.0.0.1:9", "zone": zone(0), "slots": 4, "state": "ready", "written": time.Now().UnixNano()}
		maps.Copy(record, odd)
		w.store.Put(platform.KindEndpoints, name, record)
	}
}
