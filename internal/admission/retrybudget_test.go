package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any window the allowed retries do not exceed their share of the requests, or the minimum; first tries are always
// allowed.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		budget := NewRetryBudget(share)
		now := int64(1000 * time.Second)
		type request struct {
			second  int64
			isRetry bool
		}
		var admitted []request
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "time")
			isRetry := rapid.Bool().Draw(t, "is retry")
			ok := budget.Allow(now, isRetry)
			if !isRetry && !ok {
				t.Fatal("a first try is rejected")
			}
			if ok {
				admitted = append(admitted, request{now / int64(time.Second), isRetry})
			}
			requests, retries := 0.0, 0.0
			for _, counted := range admitted {
				if counted.second > now/int64(time.Second)-windowSeconds {
					requests++
					if counted.isRetry {
						retries++
					}
				}
			}
			if ok && isRetry && retries > max(minRetries, share*requests)+1 {
				t.Fatalf("%v retries of %v requests, share %v", retries, requests, share)
			}
			if !ok && retries < minRetries {
				t.Fatalf("rejected after %v retries", retries)
			}
		}
		if !NewRetryBudget(0).Allow(now, true) {
			t.Fatal("a budget without a limit rejects")
		}
	})
}
