package swarm

import "time"

// congestionFactor is how many times longer than on a free link a chunk may
// take before the link counts as congested.
const congestionFactor = 4

// congestion tells whether this VM's own link is narrower than it should be.
// What else the link carries, such as requests, waits behind the chunks then.
type congestion struct {
	// free is the time of a chunk on a free link; 0 means unknown.
	free time.Duration
	// usual is the time of a chunk, shared out among those under way together.
	usual time.Duration
}

func newCongestion(cfg *Config, chunkSize int64) congestion {
	if cfg.LinkRate <= 0 {
		return congestion{}
	}
	return congestion{free: time.Duration(float64(chunkSize) / cfg.LinkRate * float64(time.Second))}
}

// took takes in that a chunk took d, or was given up after d, while together
// chunks were under way.
func (c *congestion) took(d time.Duration, together int) {
	share := d / time.Duration(max(together, 1))
	if c.usual == 0 {
		c.usual = share
	}
	c.usual += time.Duration(smoothing * float64(share-c.usual))
}

// congested returns whether chunks should come one at a time.
func (c *congestion) congested() bool {
	return c.free > 0 && c.usual > congestionFactor*c.free
}
