package roster

import "github.com/silverdeck/silverdeck/mirror"

// DropReplaced removes the endpoints at whose address another one has started since, and returns their
// IDs. since holds by ID the position at which the record of each endpoint appeared; endpoints without
// one count as the oldest. The record of an endpoint that ended without notice stays until it lapses,
// and requests for it are refused by the endpoint that has its address now.
func DropReplaced(list *List, since map[string]mirror.Position) []string {
	last := make(map[string]mirror.Position, len(list.Endpoints))
	for id, e := range list.Endpoints {
		if since[id].After(last[e.Addr]) {
			last[e.Addr] = since[id]
		}
	}
	var dropped []string
	for id, e := range list.Endpoints {
		if last[e.Addr].After(since[id]) {
			delete(list.Endpoints, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}
