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

// startGoldenEdge is a node on the platform that shows its metrics.
func startGoldenEdge(t *testing.T) *edge.Edge {
	t.Helper()
	prefill := newScriptedEngine(t, "127.0.0.21", func(int, *http.Request) (string, bool) { return prefillDone, false })
	decode := newScriptedEngine(t, "127.0.0.22", func(int, *http.Request) (string, bool) { return completeStream, false })
	n := startPlatformEdge(t, 1024, func(d *config.Deployment) { d.MetricsAddress = "127.0.0.1:0" }, prefill, decode)
	t.Cleanup(n.Stop)
	return n
}

// fetchPage reads one page of the metrics' address.
func fetchPage(t *testing.T, n *edge.Edge, path string) (status int, body string) {
	t.Helper()
	r, err := http.Get("http://" + n.MetricsAddr() + path)
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

// Names, label names and help texts of all metrics, also of those that have no value yet.
func TestGoldenMetricNames(t *testing.T) {
	n := startGoldenEdge(t)
	descs := make(chan *prometheus.Desc, 256)
	n.MetricsCollector().Describe(descs)
	close(descs)
	var row []string
	for d := range descs {
		m := metricDescription.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("a metric that is described in another way: %s", d)
		}
		row = append(row, fmt.Sprintf("%s labels {%s} constant {%s} help %s\n", m[1], m[4], m[3], m[2]))
	}
	slices.Sort(row)
	golden.Check(t, "metric-names.golden", strings.Join(row, ""))
}

// shownSeries are the series that the page of metrics shows, without their values, and its lines on names and types. Clients'
// connections that the node closed are left out: whether one shows depends on how long the test took.
func shownSeries(t *testing.T, n *edge.Edge) string {
	t.Helper()
	_, body := fetchPage(t, n, "/metrics")
	var row []string
	for line := range strings.Lines(body) {
		if strings.Contains(line, "sandcourse_client_closes_total") {
			continue
		}
		if !strings.HasPrefix(line, "#") {
			line = line[:strings.LastIndexByte(line, ' ')] + "\n"
		}
		row = append(row, line)
	}
	return strings.Join(row, "")
}

// The series that are shown after one request that was served and one that was refused for its name.
func TestGoldenMetricSeries(t *testing.T) {
	n := startGoldenEdge(t)
	for _, name := range []string{"a1", "a1"} {
		if _, _, err := postChat(t, n, name, "chat"); err != nil {
			t.Fatal(err)
		}
	}
	var got string
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		got = shownSeries(t, n)
		if strings.Contains(got, `sandcourse_holding{what="lines"}`) && strings.Contains(got, "sandcourse_refused_total{") &&
			strings.Contains(got, `sandcourse_finals_total{final="completed"`) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("not shown within 5 s: what is held, refused and answered:\n%s", got)
		}
	}
	golden.Check(t, "metric-series.golden", got)
}

// dateHeader is the one field of a head that is not the same each time.
var dateHeader = regexp.MustCompile(`Date: [^\r]*`)

// The pages beside the metrics, and those of the address of clients, to the byte.
func TestGoldenPages(t *testing.T) {
	n := startGoldenEdge(t)
	var out strings.Builder
	for _, at := range []struct{ what, address, method, path string }{
		{"metrics", n.MetricsAddr(), "GET", "/"}, {"metrics", n.MetricsAddr(), "GET", "/healthz"},
		{"metrics", n.MetricsAddr(), "HEAD", "/metrics/x"},
		{"clients", n.Addr(), "GET", "/_health"}, {"clients", n.Addr(), "GET", "/"}, {"clients", n.Addr(), "GET", "/metrics"},
		{"clients", n.Addr(), "PUT", "/_health"}, {"clients", n.Addr(), "GET", "/v1/chat/completions"},
	} {
		c, err := net.Dial("tcp", at.address)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", at.method, at.path)
		data, err := io.ReadAll(bufio.NewReader(c))
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		fmt.Fprintf(&out, "%s %s at the address of %s\n", at.method, at.path, at.what)
		for line := range strings.SplitAfterSeq(dateHeader.ReplaceAllString(string(data), "Date: DATE"), "\n") {
			if line != "" {
				fmt.Fprintf(&out, "    %q\n", line)
			}
		}
	}
	golden.Check(t, "pages.golden", out.String())
}
