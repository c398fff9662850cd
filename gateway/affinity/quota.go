package affinity

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// gateway is a gateway that endpoints are assigned to.
type gateway struct {
	name string
	// rate is the rate of requests that it receives relative to others.
	rate float64
}

// quotas returns how many of n endpoints each gateway prefers, in proportion to its rate. Their
// sum is at least n.
func quotas(gateways []gateway, n int) []int {
	wanted, rates := max(n, min(minPreferred, n)*len(gateways)), 0.0
	for _, g := range gateways {
		rates += g.rate
	}
	out, rest := make([]int, len(gateways)), wanted
	order := make([]rounding, 0, len(gateways))
	for i, g := range gateways {
		exact := float64(wanted) * g.rate / rates
		out[i] = min(max(int(exact+roundingError), min(fewestPreferred, n)), n)
		rest -= out[i]
		if out[i] < n {
			order = append(order, rounding{gateway: i, key: exact - math.Floor(exact+roundingError) + unitHash(g.name)})
		}
	}
	slices.SortFunc(order, func(a, b rounding) int { return cmp.Compare(b.key, a.key) })
	for _, r := range order[:min(max(rest, 0), len(order))] {
		out[r.gateway]++
	}
	return out
}

// roundingError is more than the error of a few floating point operations.
const roundingError = 1e-9

// rounding is the position of a gateway among those whose quota is rounded up, highest key first.
// It depends on the gateway's hash, so that a small change of all rates changes few quotas.
type rounding struct {
	gateway int
	key     float64
}

// unitHash returns a hash of key in [0, 1).
func unitHash(key string) float64 {
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}
