package netaddr

import (
	"errors"
	"testing"
)

func TestCheckAndCheckListen(t *testing.T) {
	for text, want := range map[string]struct{ connect, listen bool }{
		"127.0.0.1:8080": {true, true}, "[::1]:8080": {true, true}, "[fe80::1%eth0]:1": {true, true},
		"127.0.0.1:0": {false, true}, "[::]:0": {false, true},
		"": {}, "127.0.0.1": {}, ":8080": {}, "localhost:8080": {}, "127.0.0.1:": {}, "127.0.0.1:65536": {}, "::1:8080": {},
		"127.0.0.1:80 ": {}, "300.0.0.1:80": {},
	} {
		for name, check := range map[string]struct {
			err  error
			want bool
		}{"Check": {Check(text), want.connect}, "CheckListen": {CheckListen(text), want.listen}} {
			if (check.err == nil) != check.want || check.err != nil && !errors.Is(check.err, ErrNotAddressPort) {
				t.Errorf("%s(%q): %v, want accepted: %v", name, text, check.err, check.want)
			}
		}
	}
	if got, want := Check("nowhere").Error(), `"nowhere" is not address:port`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
