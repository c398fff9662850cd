package telemetry

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are reported for each histogram and timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes all metrics of r to w in the Prometheus text format, sorted by name. Dots
// and hyphens in a name become underscores.
func WriteMetrics(w io.Writer, r metrics.Registry) error {
	all := map[string]any{}
	r.Each(func(name string, m any) { all[name] = m })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		writeMetric(&b, metricName(name), all[name])
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeMetric(b *strings.Builder, name string, m any) {
	switch x := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(b, "# TYPE %s_total counter\n%s_total %d\n", name, name, x.Count())
	case metrics.Gauge:
		fmt.Fprintf(b, "# TYPE %s gauge\n%s %d\n", name, name, x.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(b, "# TYPE %s gauge\n%s %g\n", name, name, x.Value())
	case metrics.Histogram:
		s := x.Snapshot()
		writeSummary(b, name, s.Percentiles(quantiles), s.Count(), float64(s.Sum()))
	case metrics.Timer:
		s := x.Snapshot()
		writeSummary(b, name+"_ns", s.Percentiles(quantiles), s.Count(), float64(s.Sum()))
	}
}

func writeSummary(b *strings.Builder, name string, values []float64, count int64, sum float64) {
	fmt.Fprintf(b, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(b, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(b, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}

func metricName(s string) string {
	return "silverdeck_" + strings.NewReplacer(".", "_", "-", "_").Replace(s)
}
