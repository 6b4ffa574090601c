package loadgen

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sandcourse/internal/audit"
)

// maxFirstToken is the longest time to the first token that a histogram is guaranteed to hold.
const maxFirstToken = 10 * time.Minute

// Summary is the result of a run. Values are sums of priority weights.
type Summary struct {
	Offered     float64 // value of all requests
	InTime      float64 // value of the completed requests whose first token arrived within the objective
	Outcomes    map[audit.Outcome]int
	FirstTokens map[string]*hdrhistogram.Histogram // time to the first token in microseconds, by route
	Attempts    int
}

// Summarize aggregates the records of clients. The time to the first token of a retried request starts at the first attempt.
func Summarize(records []audit.ClientRecord, routes []Route) Summary {
	s := Summary{Outcomes: map[audit.Outcome]int{}, FirstTokens: map[string]*hdrhistogram.Histogram{}, Attempts: len(records)}
	firstSent, countedInTime := map[string]time.Time{}, map[string]bool{}
	slices.SortStableFunc(records, func(a, b audit.ClientRecord) int { return a.Sent.Compare(b.Sent) })
	for _, record := range records {
		i := slices.IndexFunc(routes, func(r Route) bool { return r.Name == record.Route })
		if i < 0 {
			continue
		}
		route := routes[i]
		if _, ok := firstSent[record.ClientRequestID]; !ok {
			firstSent[record.ClientRequestID] = record.Sent
			s.Offered += route.PriorityWeight
		}
		s.Outcomes[record.Outcome]++
		if record.FirstToken > 0 {
			s.recordFirstToken(route.Name, record.FirstToken)
		}
		inTime := record.Sent.Sub(firstSent[record.ClientRequestID])+record.FirstToken <= route.FirstTokenTarget
		if record.Outcome == audit.OutcomeCompleted && record.FirstToken > 0 && inTime && !countedInTime[record.ClientRequestID] {
			countedInTime[record.ClientRequestID] = true
			s.InTime += route.PriorityWeight
		}
	}
	return s
}

func (s Summary) recordFirstToken(route string, after time.Duration) {
	if s.FirstTokens[route] == nil {
		s.FirstTokens[route] = hdrhistogram.New(1, maxFirstToken.Microseconds(), 3)
	}
	_ = s.FirstTokens[route].RecordValue(after.Microseconds()) // Values out of range are not counted.
}

// Print writes the summary as a table.
func (s Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "value completed in time: %.1f of %.1f (%.3f), %d attempts\n", s.InTime, s.Offered, s.InTime/cmp.Or(s.Offered, 1),
		s.Attempts)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, outcome := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(t, "%s\t%d\n", outcome, s.Outcomes[outcome])
	}
	t.Flush()
	fmt.Fprintln(t, "model route\tfirst tokens\tp50 ms\tp90 ms\tp99 ms")
	for _, name := range slices.Sorted(maps.Keys(s.FirstTokens)) {
		histogram := s.FirstTokens[name]
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, histogram.TotalCount(), quantileMillis(histogram, 50),
			quantileMillis(histogram, 90), quantileMillis(histogram, 99))
	}
	t.Flush()
}

func quantileMillis(microseconds *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(microseconds.ValueAtQuantile(quantile)) / 1000
}
