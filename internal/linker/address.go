package linker

import (
	"fmt"
	"net"
	"strconv"
)

// CheckAddress returns an error unless a process can be reached at the address: a host
// and a port from 1 to 65535.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("linker: address %q: %w", address, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("linker: address %q needs a host and a port from 1 to 65535", address)
	}
	return nil
}
