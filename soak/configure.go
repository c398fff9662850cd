package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// configure writes a new version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion++
	sent := time.Now()
	w.writeConfiguration()
	w.changes = append(w.changes, Change{Sent: sent, Acked: time.Now()})
}

// writeConfiguration writes the current version. The caller holds the lock.
func (w *world) writeConfiguration() {
	w.store.Configure(standin.Configuration{
		Version: w.configVersion,
		Routes: append([]standin.Route{
			{Name: "stream", Host: streamHost, Service: modelService, Stream: true, Timeout: streamLimit, LatencyTarget: 400 * time.Millisecond, Priority: w.streamRank(), AllowedRegions: w.streamRegions},
			{Name: "plain", Host: plainHost, Service: plainService, Timeout: 2 * time.Second, LatencyTarget: plainTarget, Priority: standin.DefaultRank},
		}, slices.Concat(w.overloadRoutes(), w.versionRoutes(), w.spoiledRoutes(), w.otherRoutes())...),
		Model: model, ModelService: modelService, PlainService: plainService,
		Origin:  w.addr(251, portOrigin),
		Account: accountName, Key: apiKey, OtherAccounts: w.otherAccounts(),
		MaxBody:   w.maxBody(),
		Engine:    w.engine(),
		ColdStart: coldTime, ColdPerSecond: w.coldPerSecond(), LoadTime: w.starts.loadTime,
	})
	w.restores.noteConfiguration(w.configVersion, time.Now())
}

// coldPerSecond returns the limit on requests to cold runners, or 0 if they have none.
func (w *world) coldPerSecond() float64 {
	if w.cfg.Mix == MixPlaces {
		return coldPerSecond
	}
	return 0
}

// otherRoutes returns routes that nobody asks for. Some come, go and change from one
// version to the next.
func (w *world) otherRoutes() []standin.Route {
	var out []standin.Route
	for i := range w.cfg.Routes {
		if (i+int(w.configVersion))%20 == 0 {
			continue
		}
		out = append(out, standin.Route{Name: fmt.Sprintf("other-%d", i), Host: plainHost, Prefix: fmt.Sprintf("/other/%d/", i),
			Service: plainService, Timeout: time.Duration(1+w.configVersion%5) * time.Second, LatencyTarget: 200 * time.Millisecond, Priority: standin.DefaultRank})
	}
	return out
}
