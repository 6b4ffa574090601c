package endpoint

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"sandcourse/internal/netaddr"
)

func TestInvalidListsAreRejected(t *testing.T) {
	var size *SizeError
	if _, err := Parse(make([]byte, MaxListBytes+1)); !errors.As(err, &size) || size.Bytes != MaxListBytes+1 {
		t.Errorf("a list over the limit: %v", err)
	}
	const entry = `{"engine":"1.1.1.1:1","kind":"k","state":"ready"}`
	for text, want := range map[string]struct {
		err  error
		text string
	}{
		`{}`:                   {ErrNoEngines, "list has no engines field; an empty list is written as []"},
		`{"engines":null}`:     {ErrNoEngines, "list has no engines field; an empty list is written as []"},
		`{"engines":[]} {}`:    {ErrTrailingData, "list is followed by other data"},
		`{"engines":[],"x":1}`: {ErrMalformed, `list is truncated or malformed: json: unknown field "x"`},
		`{"engines":[{"engine":"a","kind":"k","state":"ready"}]}`:      {netaddr.ErrNotAddressPort, `engines[0].engine: "a" is not address:port`},
		`{"engines":[{"engine":"1.1.1.1:1","kind":"k","state":"up"}]}`: {ErrUnknownState, `engines[0].state: "up" is not ready or draining`},
		`{"engines":[{"engine":"1.1.1.1:1","state":"ready"}]}`:         {ErrMissing, "engines[0].kind is missing"},
		`{"engines":[{"engine":"1.1.1.1:1","kind":"k","state":"ready","weight":-1}]}`: {ErrNegative,
			"engines[0]: weight, up_since_ms and epoch must not be negative"},
		`{"engines":[` + entry + `,` + entry + `]}`: {ErrDuplicateEngine, "engines[1].engine: 1.1.1.1:1 is listed twice"},
	} {
		if _, err := Parse([]byte(text)); !errors.Is(err, want.err) || err.Error() != want.text {
			t.Errorf("%s: rejected with %q, want %q", text, err, want.text)
		}
	}
	rapid.Check(t, func(t *rapid.T) { Parse([]byte(rapid.String().Draw(t, "text"))) })
}
