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

// goldenNode is a node on the platform that shows its metrics.
func goldenNode(t *testing.T) *edge.Node {
	t.Helper()
	reader := newBox(t, "127.0.0.21", func(int, *http.Request) (string, bool) { return heldWire, false })
	writer := newBox(t, "127.0.0.22", func(int, *http.Request) (string, bool) { return wholeStream, false })
	n := onPlatform(t, 1024, func(d *config.Deployment) { d.MetricsAddress = "127.0.0.1:0" }, reader, writer)
	t.Cleanup(n.Stop)
	return n
}

// page reads one page of the metrics' address.
func page(t *testing.T, n *edge.Node, path string) (status int, body string) {
	t.Helper()
	r, err := http.Get("http://" + n.PagesAddr() + path)
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

var described = regexp.MustCompile(`fqName: ("[^"]*"), help: ("[^"]*"), unit: "", constLabels: \{(.*?)\}, variableLabels: \{(.*?)\}`)

// Names, label names and help texts of all metrics, also of those that have no value yet.
func TestGoldenMetricNames(t *testing.T) {
	n := goldenNode(t)
	descs := make(chan *prometheus.Desc, 256)
	n.Meters().Describe(descs)
	close(descs)
	var row []string
	for d := range descs {
		m := described.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("a metric that is described in another way: %s", d)
		}
		row = append(row, fmt.Sprintf("%s labels {%s} constant {%s} help %s\n", m[1], m[4], m[3], m[2]))
	}
	slices.Sort(row)
	golden.Check(t, "metric-names.golden", strings.Join(row, ""))
}

// shown are the series that the page of metrics shows, without their values, and its lines on names and types. Clients'
// connections that the node closed are left out: whether one shows depends on how long the test took.
func shown(t *testing.T, n *edge.Node) string {
	t.Helper()
	_, body := page(t, n, "/metrics")
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
	n := goldenNode(t)
	for _, name := range []string{"a1", "a1"} {
		if _, _, err := call(t, n, name, "chat"); err != nil {
			t.Fatal(err)
		}
	}
	var got string
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		got = shown(t, n)
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

// date is the one field of a head that is not the same each time.
var date = regexp.MustCompile(`Date: [^\r]*`)

// The pages beside the metrics, and those of the address of clients, to the byte.
func TestGoldenPages(t *testing.T) {
	n := goldenNode(t)
	var out strings.Builder
	for _, at := range []struct{ what, address, method, path string }{
		{"metrics", n.PagesAddr(), "GET", "/"}, {"metrics", n.PagesAddr(), "GET", "/healthz"},
		{"metrics", n.PagesAddr(), "HEAD", "/metrics/x"},
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
		for line := range strings.SplitAfterSeq(date.ReplaceAllString(string(data), "Date: DATE"), "\n") {
			if line != "" {
				fmt.Fprintf(&out, "    %q\n", line)
			}
		}
	}
	golden.Check(t, "pages.golden", out.String())
}
