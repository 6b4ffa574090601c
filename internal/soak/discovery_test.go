package soak

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestWatchReturnsOnlyChanges(t *testing.T) {
	d, err := newDiscovery(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		d.update(&instance{id: id, state: instanceServing, hosts: []string{"127.0.0.1:1"}})
	}
	known := d.generation
	d.update(&instance{id: "b", state: instanceDeleted, hosts: []string{"127.0.0.1:1"}})
	states := func(since int64) string {
		var l wireList
		if err := json.Unmarshal(d.encodeList(0, since), &l); err != nil {
			t.Fatal(err)
		}
		var entries []string
		for _, i := range l.Instances {
			entries = append(entries, i.ID+" "+string(i.State))
		}
		return strings.Join(entries, ", ")
	}
	if got := states(0); got != "a SERVING" {
		t.Errorf("the complete list is %s", got)
	}
	if got := states(known); got != "b DELETED" {
		t.Errorf("the changes are %s", got)
	}
}
