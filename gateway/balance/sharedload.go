package balance

// The load, in requests per slot, up to which a gateway uses endpoints that other gateways
// prefer. Its view of them is out of date: when almost all endpoints are full, all gateways
// would send to the few that appear not to be, which would then refuse requests or respond
// late.
const (
	// sharedLoadNormal applies if the gateway can use all endpoints that it prefers: when
	// these are full, most endpoints preferred by other gateways are full as well. It is
	// above one half, so that no request is refused while half of the slots are free.
	sharedLoadNormal = 0.65
	// sharedLoadDegraded applies if it cannot, for example while weights change or after
	// endpoints were lost: other gateways' endpoints may then have capacity for the excess.
	sharedLoadDegraded = 0.8
)

// SharedLoad returns the load up to which a gateway uses endpoints that other gateways
// prefer. preferred is the number of endpoints that the gateway prefers itself, and usable
// is how many of them it can use for the request. The limit protects against lasting
// overload.
func SharedLoad(usable, preferred int) float64 {
	if usable < preferred {
		return sharedLoadDegraded
	}
	return sharedLoadNormal
}
