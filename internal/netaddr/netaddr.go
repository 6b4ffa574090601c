// Package netaddr validates the addresses in configurations and endpoint lists. It does no I/O.
package netaddr

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrNotAddressPort means that a text is not an IP address with a port, such as 127.0.0.1:8080 or [::1]:8080.
var ErrNotAddressPort = errors.New("is not address:port")

// Check returns an error unless text is an address to connect to: an IP address with a port other than 0. The error quotes
// the text and wraps ErrNotAddressPort.
func Check(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return notAddressPort(text)
	}
	return nil
}

// CheckListen returns an error unless text is an address to listen on: an IP address with a port, where port 0 lets the
// system choose the port.
func CheckListen(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return notAddressPort(text)
	}
	return nil
}

func notAddressPort(text string) error { return fmt.Errorf("%q %w", text, ErrNotAddressPort) }
