package invariant

// Effect states whether a second run of a request does harm.
type Effect uint8

// The effects.
const (
	Retriable    Effect = iota // a second run does no harm
	Deduped                    // a second run does no harm while engines remember the first one
	NonRetriable               // a second run does harm: the request must never run twice
)

var effectNames = [...]string{Retriable: "retriable", Deduped: "deduped", NonRetriable: "non-retriable"}

// String returns the effect's name; for Retriable and Deduped it is the name in the settings.
func (e Effect) String() string { return effectNames[e] }

// ParseEffect returns the effect that a setting names. An unknown name is NonRetriable, the strictest.
func ParseEffect(name string) Effect {
	switch name {
	case Retriable.String():
		return Retriable
	case Deduped.String():
		return Deduped
	}
	return NonRetriable
}
