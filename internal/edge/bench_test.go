package edge_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
	"sandcourse/settings"
)

// The engines of the benchmarks do as little as possible, so that the edge is measured: a prefill engine that responds at
// once, and a decode engine that sends tokens at a fixed rate, each with the time at which it was sent. Clients parse no
// more than necessary.

func startBenchEngine(b *testing.B, decodes bool, tokens int, interval time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveBenchConnection(c, l.Addr().String(), decodes, tokens, interval)
		}
	}()
	return l.Addr().String()
}

// benchEngine defines the responses of an engine of the benchmarks.
type benchEngine struct {
	decodes  bool
	tokens   int
	interval time.Duration
	load     string // header of a load report
	prefill  string // body of a prefill response
}

func serveBenchConnection(c net.Conn, addr string, decodes bool, tokens int, interval time.Duration) {
	defer c.Close()
	host, port, _ := strings.Cut(addr, ":")
	engine := benchEngine{decodes: decodes, tokens: tokens, interval: interval,
		load: fmt.Sprintf("%s: 0.1\r\n%s: 0\r\n%s: 1\r\n", engineapi.HeaderMemoryShare, engineapi.HeaderWaitingTokens, engineapi.HeaderOpenRequests),
		prefill: `{"usage":{"prompt_tokens_details":{"cached_tokens":0}},"kv_transfer_params":{"do_remote_prefill":true,` +
			`"remote_engine_id":"x","remote_host":"` + host + `","remote_port":` + port + `}}`}
	in := bufio.NewReaderSize(c, 4096)
	for {
		isChat, err := readBenchRequest(in)
		switch {
		case err != nil:
			return
		case isChat && decodes:
			if engine.writeStream(c) != nil {
				return
			}
		case isChat:
			engine.writeBody(c, engine.prefill)
		default:
			engine.writeBody(c, "{}")
		}
	}
}

// readBenchRequest reads a request and discards its body.
func readBenchRequest(in *bufio.Reader) (isChat bool, err error) {
	length := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return false, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(v)
		}
		isChat = isChat || strings.HasPrefix(line, "POST "+engineapi.ChatPath)
	}
	_, err = io.CopyN(io.Discard, in, int64(length))
	return isChat, err
}

func (e benchEngine) writeBody(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", e.load, len(body), body)
}

// writeStream sends the head with the first token, and the other tokens at the configured interval.
func (e benchEngine) writeStream(c net.Conn) error {
	out := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + e.load + "Transfer-Encoding: chunked\r\n\r\n")
	for i := range e.tokens {
		event := chat.AppendEvent(nil, fmt.Appendf(nil, `{"at":%d}`, time.Now().UnixNano()))
		out = append(append(fmt.Appendf(out, "%x\r\n", len(event)), event...), "\r\n"...)
		if _, err := c.Write(out); err != nil {
			return err
		}
		out = out[:0]
		if i < e.tokens-1 {
			time.Sleep(e.interval)
		}
	}
	done := chat.AppendEvent(nil, []byte(chat.Done))
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(done), done)
	return err
}

func startBenchEdge(b *testing.B, prefillEngines, decodeEngines []string) *edge.Edge {
	d, err := config.Read("demo", []byte(settings.Demo))
	if err != nil {
		b.Fatal(err)
	}
	d.EndpointFile, d.ChatAddress, d.Connections.PerEngine, d.Connections.ConcurrentDials = "", "127.0.0.1:0", 8000, 8000
	d.Limits.OpenRequests, d.Limits.Connections = 20000, 20000
	// The policy limits the streams of a decode engine by the size of its memory; with an unknown size, thousands of streams
	// need only a few engines.
	for i := range d.Kinds {
		d.Kinds[i].MemoryTokens = 0
	}
	for i := range d.Routes {
		d.Routes[i].Timeout, d.Routes[i].FirstTokenObjective = 60*time.Second, 30*time.Second
	}
	for _, r := range prefillEngines {
		d.Engines = append(d.Engines, endpoint.Entry{ID: r, Kind: "prefill", Weight: 1, State: endpoint.Ready})
	}
	for _, w := range decodeEngines {
		d.Engines = append(d.Engines, endpoint.Entry{ID: w, Kind: "decode", Weight: 1, State: endpoint.Ready})
	}
	e := edge.New(d, zap.NewNop(), nil, 1)
	if err := e.Start(); err != nil {
		b.Fatal(err)
	}
	return e
}

// measureStream sends one request on a connection, and records the time until the first token and the age of later tokens.
func measureStream(c net.Conn, in *bufio.Reader, direct bool, firstTokens, tokenAges *hdrhistogram.Histogram, mu *sync.Mutex) error {
	body := `{"model":"clip-summary","stream":true,"messages":[{"role":"user","content":"measure"}]}`
	if direct {
		body = `{"kv_transfer_params":{"do_remote_prefill":true}}`
	}
	startedAt := time.Now()
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	tokens := 0
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if i := bytes.Index(line, []byte(`{"at":`)); i >= 0 {
			now := time.Now()
			sentAt, _ := strconv.ParseInt(string(line[i+6:bytes.IndexByte(line, '}')]), 10, 64)
			mu.Lock()
			if tokens == 0 {
				firstTokens.RecordValue(max(1, now.Sub(startedAt).Microseconds()))
			} else {
				tokenAges.RecordValue(max(1, (now.UnixNano()-sentAt)/1000))
			}
			mu.Unlock()
			tokens++
		}
		if bytes.Equal(line, []byte("0\r\n")) {
			in.ReadSlice('\n')
			return nil
		}
		if bytes.HasPrefix(line, []byte("HTTP/1.1 ")) && !bytes.Contains(line, []byte("200")) {
			return fmt.Errorf("%s", line)
		}
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// measureStreams keeps a number of streams open for a time: a stream that ends is replaced by another.
func measureStreams(addr string, direct bool, streams int, length time.Duration) (firstTokens, tokenAges *hdrhistogram.Histogram, done int, err error) {
	firstTokens, tokenAges = newHistogram(), newHistogram()
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(length)
	for i := range streams {
		all.Go(func() {
			time.Sleep(time.Duration(i) * length / 4 / time.Duration(streams))
			c, e := net.Dial("tcp", addr)
			if e == nil {
				defer c.Close()
				in := bufio.NewReaderSize(c, 512)
				for time.Now().Before(end) && e == nil {
					if e = measureStream(c, in, direct, firstTokens, tokenAges, &mu); e == nil {
						mu.Lock()
						done++
						mu.Unlock()
					}
				}
			}
			if e != nil {
				mu.Lock()
				err = e
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return firstTokens, tokenAges, done, err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAddedLatency compares, in one run, streams through the edge with streams directly from the decode engine.
func BenchmarkAddedLatency(b *testing.B) {
	for _, streams := range []int{100, 1000, 4500} { // Each stream needs four descriptors, and 20,000 are available.
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			// The rate is about 2,000 tokens a second in all cases, so that only the number of streams differs.
			interval := time.Duration(streams) * time.Second / 2000
			const tokens = 8
			prefillEngines, decodeEngines := []string{}, []string{}
			for range 4 {
				prefillEngines = append(prefillEngines, startBenchEngine(b, false, 0, 0))
				decodeEngines = append(decodeEngines, startBenchEngine(b, true, tokens, interval))
			}
			length := max(4*time.Second, time.Duration(tokens)*interval*2)
			for b.Loop() {
				directFirstEvents, directEvents, _, err := measureStreams(decodeEngines[0], true, streams, length)
				if err != nil {
					b.Fatal(err)
				}
				e := startBenchEdge(b, prefillEngines, decodeEngines)
				edgeFirstEvents, edgeEvents, done, err := measureStreams(e.Addr(), false, streams, length)
				e.Stop()
				if err != nil {
					b.Fatal(err)
				}
				for _, q := range []float64{50, 99} {
					b.ReportMetric(float64(edgeEvents.ValueAtQuantile(q)-directEvents.ValueAtQuantile(q))/1000, fmt.Sprintf("event-p%.0f-added-ms", q))
					b.ReportMetric(float64(edgeFirstEvents.ValueAtQuantile(q)-directFirstEvents.ValueAtQuantile(q))/1000, fmt.Sprintf("first-p%.0f-added-ms", q))
				}
				b.ReportMetric(float64(directEvents.ValueAtQuantile(99))/1000, "event-p99-direct-ms")
				b.ReportMetric(float64(done), "requests")
			}
		})
	}
}

// BenchmarkRequests runs complete requests of a few tokens as fast as possible.
func BenchmarkRequests(b *testing.B) {
	prefillEngines, decodeEngines := []string{startBenchEngine(b, false, 0, 0)}, []string{startBenchEngine(b, true, 4, 0)}
	e := startBenchEdge(b, prefillEngines, decodeEngines)
	defer e.Stop()
	for b.Loop() {
		before, startedAt := cpuTime(), time.Now()
		_, _, done, err := measureStreams(e.Addr(), false, 64, 4*time.Second)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(done)/time.Since(startedAt).Seconds(), "requests/s")
		b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(done), "cpu-us/request")
		b.ReportMetric(e.DecisionSeconds()*1e6/float64(done), "policy-us/request")
	}
}

// BenchmarkMemoryOfOpenStreams opens idle streams and measures the growth of heap and stacks and the number of goroutines.
func BenchmarkMemoryOfOpenStreams(b *testing.B) {
	const streams = 2000
	prefillEngines, decodeEngines := []string{startBenchEngine(b, false, 0, 0)}, []string{startBenchEngine(b, true, 2, 30*time.Second)}
	for b.Loop() {
		e := startBenchEdge(b, prefillEngines, decodeEngines)
		heap := func() uint64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapInuse + m.StackInuse
		}
		idleBytes, idleGoroutines := heap(), runtime.NumGoroutine()
		var connections []net.Conn
		for range streams {
			c, err := net.Dial("tcp", e.Addr())
			if err != nil {
				b.Fatal(err)
			}
			connections = append(connections, c)
			body := `{"model":"clip-summary","stream":true,"messages":[{"role":"user","content":"measure"}]}`
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		for _, c := range connections { // The first bytes of each response are read.
			if _, err := c.Read(make([]byte, 16)); err != nil {
				b.Fatal(err)
			}
		}
		// The figures include one goroutine and buffers per stream in the decode engines, which are not part of the edge.
		b.ReportMetric(float64(heap()-idleBytes)/streams, "bytes/stream")
		b.ReportMetric(float64(runtime.NumGoroutine()-idleGoroutines)/streams, "goroutines/stream-with-its-engine")
		for _, c := range connections {
			c.Close()
		}
		e.Stop()
	}
}
