package balance

// Up to which load, in requests for each slot, a gateway uses endpoints that others prefer.
// What it knows of them is some time old: when almost all are full, all gateways would send
// to the few that seem not to be, which then turn requests away or answer late.
const (
	// evenSharedLoad is that load where the gateway can use all that it prefers: when these
	// are full, so are most that others prefer. It is above half, so that nobody is
	// refused while half of the slots are free.
	evenSharedLoad = 0.65
	// unevenSharedLoad is that load where it can't, as while weights change or endpoints are
	// lost: then others may have room for what comes here.
	unevenSharedLoad = 0.8
)

// SharedLoad returns the load up to which endpoints are used that others prefer, by a gateway
// that prefers so many, of which it can use so many for a request. It answers lasting
// overload.
func SharedLoad(usable, preferred int) float64 {
	if usable < preferred {
		return unevenSharedLoad
	}
	return evenSharedLoad
}
