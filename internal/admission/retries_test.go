package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any ten seconds no more retries are taken than the share of calls, or the few that always are; first
// tries are always taken.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		r := NewRetryBudget(share)
		now := int64(1000 * time.Second)
		type taken struct {
			second int64
			again  bool
		}
		var admitted []taken
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "time")
			isRetry := rapid.Bool().Draw(t, "again")
			ok := r.Allow(now, isRetry)
			if !isRetry && !ok {
				t.Fatal("a first try is refused")
			}
			if ok {
				admitted = append(admitted, taken{now / int64(time.Second), isRetry})
			}
			requests, retries := 0.0, 0.0
			for _, x := range admitted {
				if x.second > now/int64(time.Second)-windowSeconds {
					requests++
					if x.again {
						retries++
					}
				}
			}
			if ok && isRetry && retries > max(minRetries, share*requests)+1 {
				t.Fatalf("%v retries of %v calls, share %v", retries, requests, share)
			}
			if !ok && retries < minRetries {
				t.Fatalf("refused with %v retries taken", retries)
			}
		}
		if !NewRetryBudget(0).Allow(now, true) {
			t.Fatal("no budget refuses")
		}
	})
}
