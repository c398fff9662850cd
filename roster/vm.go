package roster

import "net"

// VM returns the VM of an address: its host, or all of one without a port. The process
// beside an endpoint may reach it by another port than callers do.
func VM(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
