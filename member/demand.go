package member

// ZoneDemand returns the work that callers ask for of a service, in slots of its endpoints, by the
// availability zone of the gateways that received the requests. It includes this gateway, and is
// nil if nothing is known.
func (t *Table) ZoneDemand(service string) map[string]float64 {
	return nil
}
