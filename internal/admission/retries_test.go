package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any ten seconds no more retries are taken than the share of calls, or the few that always are; first
// tries are always taken.
func TestRetriesStayInTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		r := NewRetries(share)
		now := int64(1000 * time.Second)
		type taken struct {
			second int64
			again  bool
		}
		var row []taken
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "time")
			again := rapid.Bool().Draw(t, "again")
			ok := r.Take(now, again)
			if !again && !ok {
				t.Fatal("a first try is refused")
			}
			if ok {
				row = append(row, taken{now / int64(time.Second), again})
			}
			calls, agains := 0.0, 0.0
			for _, x := range row {
				if x.second > now/int64(time.Second)-budgetSeconds {
					calls++
					if x.again {
						agains++
					}
				}
			}
			if ok && again && agains > max(always, share*calls)+1 {
				t.Fatalf("%v retries of %v calls, share %v", agains, calls, share)
			}
			if !ok && agains < always {
				t.Fatalf("refused with %v retries taken", agains)
			}
		}
		if !NewRetries(0).Take(now, true) {
			t.Fatal("no budget refuses")
		}
	})
}
