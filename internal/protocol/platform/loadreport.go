package platform

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"sandcourse/internal/config/params"
	"sandcourse/internal/routing"
)

// Limits of a load report.
const (
	maxReportBytes = 1024
	maxReportValue = 1e9
)

// ParseLoadReport implements protocol.EngineCodec. The header takes precedence over the body.
func (c *Codec) ParseLoadReport(head *http.Response, body []byte) *routing.LoadReport {
	if report := c.parseReportText(head.Header.Get(HeaderLoadReport)); report != nil {
		return report
	}
	return c.parseReportText(string(body))
}

// ParseLoadComment implements protocol.EngineCodec. A load report in a comment has the form of the header field.
func (c *Codec) ParseLoadComment(line []byte) *routing.LoadReport {
	name, value, _ := strings.Cut(string(line), ":")
	if !strings.EqualFold(strings.TrimSpace(name), HeaderLoadReport) {
		return nil
	}
	return c.parseReportText(value)
}

// parseReportText decodes a load report such as "TEXT x0=0.5, x1=2". It returns nil if a required field is missing or a value
// is out of range.
func (c *Codec) parseReportText(text string) *routing.LoadReport {
	text = strings.TrimSpace(text)
	if len(c.reportFields) == 0 || text == "" || len(text) > maxReportBytes {
		return nil
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		number, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(number) || number < 0 || number > maxReportValue {
			return nil
		}
		values[name] = number
	}
	if slices.ContainsFunc(c.reportFields, func(name string) bool { _, ok := values[name]; return !ok }) {
		return nil
	}
	return params.LoadReport(values)
}
