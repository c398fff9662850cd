package entry

import (
	"sync"
	"sync/atomic"

	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/plan"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

// planner keeps the plan for the current configuration and list of VMs.
type planner struct {
	holder *snapshot.Holder
	list   *atomic.Pointer[objectstore.VMList]

	mu      sync.Mutex
	current atomic.Pointer[plan.Plan]
}

// Plan returns the plan in force.
func (p *planner) Plan() *plan.Plan {
	s, l := p.holder.Current(), p.list.Load()
	if c := p.current.Load(); c != nil && c.Revision == s.Revision && c.ListVersion == l.Version {
		return c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.current.Load(); c != nil && c.Revision == s.Revision && c.ListVersion == l.Version {
		return c
	}
	c := plan.Make(s, l)
	p.current.Store(c)
	return c
}
