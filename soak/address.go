package soak

import "fmt"

// entryAddr is where callers find an entry.
type entryAddr struct {
	callers, directory, ready string
}

// Ports of the stand-ins and of our programs; each has an address of its own.
const (
	// portCallers takes callers' requests at a gateway.
	portCallers = 8005
	// portReady answers readiness checks at a gateway.
	portReady = 8002
	// portDirectory answers questions for addresses at a gateway.
	portDirectory = 8009
	// portPeer takes calls of our own processes, and portObserve those of operators.
	portPeer = 7700
	// portObserve is described at portPeer.
	portObserve = portPeer + 1
	// portRunner is where an endpoint is reached, through a proxy that injects faults.
	portRunner = 8001
	// portDirect is where it is reached without the proxy.
	portDirect = 8101
	// portStore is the store's.
	portStore = 8007
	// portOrigin is that of the origin of weights.
	portOrigin = 8006
)

// firstEntry is the last part of the first gateway's address.
const firstEntry = 1

func (w *world) addr(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.net, host, port)
}
