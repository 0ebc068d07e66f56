package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// benchTransport returns a transport that keeps its connections open, so that both proxies
// have the same costs towards the target.
func benchTransport() *http.Transport {
	return &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 256, DisableCompression: true}
}

// roundTrips returns a forwarder that uses transport.
func roundTrips(transport *http.Transport, target *url.URL) forwardFunc {
	return func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		u := *r.URL
		u.Scheme, u.Host = target.Scheme, target.Host
		r.URL, r.RequestURI = &u, ""
		resp, err := transport.RoundTrip(r)
		if err != nil {
			return fault.Wrap(fault.TargetLost, err, "")
		}
		return CopyAnswer(w, resp)
	}
}

// benchProxy measures this package and, as the baseline, the reverse proxy of
// net/http/httputil, each as a server in front of the same target.
func benchProxy(b *testing.B, size int) {
	payload := strings.Repeat("x", size)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, payload)
	}))
	defer target.Close()
	u, err := url.Parse(target.URL)
	assert.NilError(b, err)
	handler := NewHandler(Config{}, roundTrips(benchTransport(), u), nil)
	handler.SetModel(testModel())
	baseline := &httputil.ReverseProxy{Transport: benchTransport(), Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(u)
		r.SetXForwarded()
	}}
	for major, name := range []string{1: "http1", 2: "http2"} {
		if major == 0 {
			continue
		}
		server := &http.Server{Handler: baseline, Protocols: new(http.Protocols)}
		server.Protocols.SetHTTP1(true)
		server.Protocols.SetUnencryptedHTTP2(true)
		b.Run(name+"/caller", func(b *testing.B) { benchServer(b, NewServer(handler, nil).Serve, major, size) })
		b.Run(name+"/reverseproxy", func(b *testing.B) { benchServer(b, server.Serve, major, size) })
	}
}

func benchServer(b *testing.B, serve func(net.Listener) error, major, size int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	go func() { _ = serve(listener) }()
	transport := benchTransport()
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP1(major == 1)
	transport.Protocols.SetUnencryptedHTTP2(major == 2)
	c := &http.Client{Transport: transport}
	defer c.CloseIdleConnections()
	address := "http://" + listener.Addr().String() + "/faq/stall-7"
	b.SetBytes(int64(size))
	b.ReportAllocs()
	defer reportCPU(b, cpuTime())
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := c.Get(address)
			if err != nil {
				b.Error(err)
				return
			}
			n, err := io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if err != nil || n != int64(size) {
				b.Error(n, err)
				return
			}
		}
	})
}

// cpuTime returns the CPU time used by the process. On a busy machine it is more meaningful
// than elapsed time.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func reportCPU(b *testing.B, before time.Duration) {
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
}

func BenchmarkProxy1K(b *testing.B)   { benchProxy(b, kibibyte) }
func BenchmarkProxy256K(b *testing.B) { benchProxy(b, 256*kibibyte) }

// BenchmarkHandler measures this package alone: no connection, no target.
func BenchmarkHandler(b *testing.B) {
	handler := NewHandler(Config{}, forwardFunc(answerWhole), nil)
	handler.SetModel(testModel())
	benchHandler(b, handler)
}

// BenchmarkHandlerReverseProxy is the baseline for BenchmarkHandler.
func BenchmarkHandlerReverseProxy(b *testing.B) {
	u, _ := url.Parse("http://127.0.0.1")
	benchHandler(b, &httputil.ReverseProxy{Transport: cannedTransport{}, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(u)
		r.SetXForwarded()
	}})
}

type cannedTransport struct{}

func (cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 200, ContentLength: 5, Body: &endBody{data: "whole"}, Request: r}, nil
}

// discardWriter is a ResponseWriter that does not allocate.
type discardWriter struct{ header http.Header }

func (s *discardWriter) Header() http.Header         { return s.header }
func (s *discardWriter) WriteHeader(int)             {}
func (s *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func benchHandler(b *testing.B, handler http.Handler) {
	r := httptest.NewRequest("GET", "/faq/stall-7", nil)
	template := http.Header{
		"Accept": {"*/*"}, "User-Agent": {"bench"}, "X-Caller": {"ramen-kai"}, "Accept-Encoding": {"gzip"},
	}
	r.Header = template.Clone()
	w := &discardWriter{header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		for _, made := range []string{headerForwarded, headerRequestID, headerTraceparent} {
			delete(r.Header, made)
		}
		handler.ServeHTTP(w, r)
		clear(w.header)
	}
}

func BenchmarkExtract(b *testing.B) {
	set := compile(testModel(), false)
	u, _ := url.ParseRequestURI("/faq/stall-7/answers?repeat=true")
	header := http.Header{"X-Caller": {"ramen-kai"}, "X-Class": {"batch"}, "X-Deadline": {"1500"}}
	b.ReportAllocs()
	for b.Loop() {
		rule, rest := set.find("shiretoko.example:8080", u)
		src := source{header: header, rest: rest, query: u.RawQuery}
		var m request.Meta
		if rule.identify(&src, "POST", kibibyte, &m) != nil {
			b.Fatal("refused")
		}
		if _, f := src.timeLeft(&rule.deadline, rule.service.Timeout); f != nil {
			b.Fatal(f)
		}
	}
}

func BenchmarkFault(b *testing.B) {
	w := &discardWriter{header: http.Header{}}
	f := fault.New(fault.QueueFull, "the queue of target-3 is full")
	b.ReportAllocs()
	for b.Loop() {
		WriteFault(w, "GET", "0123456789abcdef", f)
		clear(w.header)
	}
}

// BenchmarkUpload streams 1 MiB to a forwarder that discards it; "plain" is a bare handler
// that does the same.
func BenchmarkUpload(b *testing.B) {
	handler := NewHandler(Config{}, forwardFunc(consumeBody), nil)
	handler.SetModel(testModel())
	plain := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "whole")
	})
	for name, h := range map[string]http.Handler{"caller": handler, "plain": plain} {
		for _, major := range []int{1, 2} {
			b.Run(name+"/http"+strconv.Itoa(major), func(b *testing.B) { benchUpload(b, h, major) })
		}
	}
}

func benchUpload(b *testing.B, h http.Handler, major int) {
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	c := newClient(b, major)
	b.SetBytes(mebibyte)
	b.ReportAllocs()
	for b.Loop() {
		resp := do(b, c, "PUT", server.URL+"/x", io.LimitReader(zeros{}, mebibyte))
		if readBody(b, resp) != "whole" {
			b.Fatal("short")
		}
	}
}
