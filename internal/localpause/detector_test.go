package localpause

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = int64(time.Millisecond)

func TestObservedTimeIsHeldDuringCatchUp(t *testing.T) {
	var d Detector
	d.Update(1000*ms, 0)
	d.Update(1030*ms, 1025*ms) // The reading is 5 ms late after a wait.
	if got := d.ObservedUntil(1030 * ms); got != 1030*ms {
		t.Errorf("without a pause: observed until %d ms, want 1030", got/ms)
	}
	d.Update(1500*ms, 1055*ms)
	if got := d.ObservedUntil(1599 * ms); got != 1030*ms {
		t.Errorf("just after a pause: observed until %d ms, want 1030", got/ms)
	}
	if got := d.ObservedUntil(1600 * ms); got != 1600*ms {
		t.Errorf("after the catch-up time: observed until %d ms, want 1600", got/ms)
	}
}

func TestObservedTimeNeverExceedsNowAndCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		now, lastPause := ms, int64(0)
		for range rapid.IntRange(1, 100).Draw(t, "updates") {
			wait := rapid.Int64Range(0, 30*ms).Draw(t, "wait")
			late := rapid.Int64Range(0, 60*ms).Draw(t, "late")
			now += wait + late
			d.Update(now, now-late)
			if late >= int64(pauseThreshold) {
				lastPause = now
			}
			observed := d.ObservedUntil(now)
			if observed > now || now-lastPause >= int64(maxCatchUpTime) && observed != now {
				t.Fatalf("at %d, %d after the last pause, observed until %d", now, now-lastPause, observed)
			}
		}
	})
}
