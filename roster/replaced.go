package roster

// DropReplaced removes the endpoints at whose address another one has started since, and returns their
// IDs. since holds by ID the revision at which the record of each endpoint appeared; endpoints without
// one count as the oldest. The record of an endpoint that ended without notice stays until it lapses,
// and requests for it are refused by the endpoint that has its address now.
func DropReplaced(list *List, since map[string]int64) []string {
	last := make(map[string]int64, len(list.Endpoints))
	for id, e := range list.Endpoints {
		last[e.Addr] = max(last[e.Addr], since[id])
	}
	var dropped []string
	for id, e := range list.Endpoints {
		if since[id] < last[e.Addr] {
			delete(list.Endpoints, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}
