package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/golden"
)

// startGoldenEdge starts an edge that uses the platform protocol and serves metrics.
func startGoldenEdge(t *testing.T) *edge.Edge {
	t.Helper()
	prefill := newScriptedEngine(t, "127.0.0.21", func(int, *http.Request) (string, bool) { return prefillDone, false })
	decode := newScriptedEngine(t, "127.0.0.22", func(int, *http.Request) (string, bool) { return completeStream, false })
	e := startPlatformEdge(t, 1024, func(d *config.Deployment) { d.MetricsAddress = "127.0.0.1:0" }, prefill, decode)
	t.Cleanup(e.Stop)
	return e
}

// fetchPage reads one page from the metrics address.
func fetchPage(t *testing.T, e *edge.Edge, path string) (status int, body string) {
	t.Helper()
	r, err := http.Get("http://" + e.MetricsAddr() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, string(data)
}

var metricDescription = regexp.MustCompile(`fqName: ("[^"]*"), help: ("[^"]*"), unit: "", constLabels: \{(.*?)\}, variableLabels: \{(.*?)\}`)

// TestGoldenMetricNames checks names, label names and help texts of all metrics, including those without a value.
func TestGoldenMetricNames(t *testing.T) {
	e := startGoldenEdge(t)
	descs := make(chan *prometheus.Desc, 256)
	e.MetricsCollector().Describe(descs)
	close(descs)
	var descriptions []string
	for d := range descs {
		m := metricDescription.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("unexpected metric description: %s", d)
		}
		descriptions = append(descriptions, fmt.Sprintf("%s labels {%s} constant {%s} help %s\n", m[1], m[4], m[3], m[2]))
	}
	slices.Sort(descriptions)
	golden.Check(t, "metric-names.golden", strings.Join(descriptions, ""))
}

// shownSeries returns the metrics page without the values of the series. Client connections closed by the edge are omitted,
// because their presence depends on how long the test took.
func shownSeries(t *testing.T, e *edge.Edge) string {
	t.Helper()
	_, body := fetchPage(t, e, "/metrics")
	var series []string
	for line := range strings.Lines(body) {
		if strings.Contains(line, "sandcourse_client_closes_total") {
			continue
		}
		if !strings.HasPrefix(line, "#") {
			line = line[:strings.LastIndexByte(line, ' ')] + "\n"
		}
		series = append(series, line)
	}
	return strings.Join(series, "")
}

// TestGoldenMetricSeries checks the exported series after one served request and one that was rejected for its name.
func TestGoldenMetricSeries(t *testing.T) {
	e := startGoldenEdge(t)
	for _, name := range []string{"a1", "a1"} {
		if _, _, err := postChat(t, e, name, "chat"); err != nil {
			t.Fatal(err)
		}
	}
	var got string
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		got = shownSeries(t, e)
		if strings.Contains(got, `sandcourse_holding{what="lines"}`) && strings.Contains(got, "sandcourse_refused_total{") &&
			strings.Contains(got, `sandcourse_finals_total{final="completed"`) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("series of usage, rejections and final responses not exported within 5 s:\n%s", got)
		}
	}
	golden.Check(t, "metric-series.golden", got)
}

// dateHeader matches the only header that differs between runs.
var dateHeader = regexp.MustCompile(`Date: [^\r]*`)

// TestGoldenPages checks the other pages at the metrics address, and those at the address for clients, byte for byte.
func TestGoldenPages(t *testing.T) {
	e := startGoldenEdge(t)
	var out strings.Builder
	for _, page := range []struct{ what, address, method, path string }{
		{"metrics", e.MetricsAddr(), "GET", "/"}, {"metrics", e.MetricsAddr(), "GET", "/healthz"},
		{"metrics", e.MetricsAddr(), "HEAD", "/metrics/x"},
		{"clients", e.Addr(), "GET", "/_health"}, {"clients", e.Addr(), "GET", "/"}, {"clients", e.Addr(), "GET", "/metrics"},
		{"clients", e.Addr(), "PUT", "/_health"}, {"clients", e.Addr(), "GET", "/v1/chat/completions"},
	} {
		c, err := net.Dial("tcp", page.address)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", page.method, page.path)
		data, err := io.ReadAll(bufio.NewReader(c))
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		fmt.Fprintf(&out, "%s %s at the address of %s\n", page.method, page.path, page.what)
		for line := range strings.SplitAfterSeq(dateHeader.ReplaceAllString(string(data), "Date: DATE"), "\n") {
			if line != "" {
				fmt.Fprintf(&out, "    %q\n", line)
			}
		}
	}
	golden.Check(t, "pages.golden", out.String())
}
