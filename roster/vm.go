package roster

import "net"

// VM returns the host part of addr, which identifies the VM, or addr itself if it has no port.
// A sidecar may use another port of its endpoint than callers do.
func VM(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
