package peer

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"

	"tarragongw/core/fault"
	"tarragongw/reqctx"
)

// maxHeaderBytes bounds the header of a forwarded request.
const maxHeaderBytes = 256 << 10

// streamListener is the net.Listener through which net/http's Server receives
// data streams.
type streamListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func newStreamListener(addr net.Addr) *streamListener {
	return &streamListener{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
}

func (l *streamListener) offer(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return l.addr }

// newServer has no timeout of its own: the entry router closes streams that it no
// longer uses, and a stream closed by this side could be one on which the next
// request is already under way.
func (n *Node) newServer() *http.Server {
	return &http.Server{
		Handler:        http.HandlerFunc(n.serveRequest),
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(debugWriter{n}, "", 0),
		BaseContext:    func(net.Listener) context.Context { return n.ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// debugWriter hands the server's own lines to the logger.
type debugWriter struct{ node *Node }

func (w debugWriter) Write(p []byte) (int, error) {
	w.node.cfg.Logger.Debug("peer server", "line", string(p))
	return len(p), nil
}

type connKey struct{}

func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	answer := &answerWriter{ResponseWriter: w}
	if hasBody(r) {
		answer.body = &requestBody{ReadCloser: r.Body}
		r.Body = answer.body
	}
	e, err := envelopeOf(r.Header)
	if err != nil {
		WriteFault(answer, fault.Wrap(fault.BadRequest, err, "envelope of a forwarded request"))
		return
	}
	conn := r.Context().Value(connKey{}).(*serverConn)
	if conn.session.barred() {
		WriteFault(answer, errBarred)
		return
	}
	delete(r.Header, HeaderEnvelope)
	n.count.served.Add(1)
	// The end of the stream is told by its reads, and that of the session by giveUpAll.
	ctx := &requestContext{Context: reqctx.NewDetached(r.Context()), envelope: e}
	defer ctx.End()
	conn.begin(ctx.Cancel)
	defer conn.end()
	n.handler.ServeHTTP(answer, r.WithContext(ctx))
}
