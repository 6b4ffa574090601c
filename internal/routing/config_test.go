package routing

import (
	"errors"
	"testing"
)

func TestSettingNamesRoundTrip(t *testing.T) {
	for i := range effectNames {
		if effect, err := ParseEffect(Effect(i).String()); err != nil || effect != Effect(i) {
			t.Errorf("%q is parsed as %q: %v", Effect(i), effect, err)
		}
	}
	for i := range dedupGroupNames {
		if group, err := ParseDedupGroup(DedupGroup(i).String()); err != nil || group != DedupGroup(i) {
			t.Errorf("%q is parsed as %q: %v", DedupGroup(i), group, err)
		}
	}
	for i := range roleNames {
		if role, err := ParseRole(Role(i).String()); err != nil || role != Role(i) {
			t.Errorf("%q is parsed as %q: %v", Role(i), role, err)
		}
	}
}

func TestUnknownNameGivesTheStrictestValueAndAnError(t *testing.T) {
	effect, err := ParseEffect("Retriable")
	unknown, ok := errors.AsType[*UnknownValueError](err)
	if effect != NonRetriable || !ok || unknown.Value != "Retriable" || len(unknown.Allowed) != len(effectNames) {
		t.Errorf("unknown effect gives %v and the error %v", effect, err)
	}
	if group, err := ParseDedupGroup("town"); group != DedupNone || err == nil {
		t.Errorf("unknown dedup group gives %v and the error %v", group, err)
	}
}

// Routes and kinds that the settings do not list have the same values as with empty settings.
func TestUnlistedRoutesAndKindsHaveDefaults(t *testing.T) {
	c := DefaultConfig()
	if c.route(0) != DefaultRoute() || c.route(-1) != DefaultRoute() || c.kind(3) != (EngineKind{}) {
		t.Errorf("unlisted route is %+v, unlisted kind is %+v", c.route(0), c.kind(3))
	}
}
