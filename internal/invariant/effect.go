package invariant

// Effect states what a second run of a request would do.
type Effect uint8

// The effects.
const (
	Retriable    Effect = iota // nothing: it may run again
	Deduplicated               // nothing, while engines remember the first run
	NonRetriable               // harm: it must never run twice
)

var effectNames = [...]string{Retriable: "retriable", Deduplicated: "deduped", NonRetriable: "non-retriable"}

// String returns the effect's name; for Retriable and Deduplicated that of the settings.
func (e Effect) String() string { return effectNames[e] }

// ParseEffect returns the effect that a setting names. An unknown name is NonRetriable, the strictest.
func ParseEffect(name string) Effect {
	switch name {
	case Retriable.String():
		return Retriable
	case Deduplicated.String():
		return Deduplicated
	}
	return NonRetriable
}
