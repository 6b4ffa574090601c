// Package netaddr checks the addresses that configurations and endpoint lists name. It does no I/O.
package netaddr

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrNotAddressPort says that a text is not an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080.
var ErrNotAddressPort = errors.New("is not address:port")

// Check accepts an address that others can connect to: an IP address and a port other than 0. The error quotes the text
// and wraps ErrNotAddressPort.
func Check(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return notAddressPort(text)
	}
	return nil
}

// CheckListen accepts an address to listen on, where port 0 leaves the choice of the port to the system.
func CheckListen(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return notAddressPort(text)
	}
	return nil
}

func notAddressPort(text string) error { return fmt.Errorf("%q %w", text, ErrNotAddressPort) }
