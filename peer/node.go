package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// maxHandshakes bounds the accepted connections that are in their hello exchange.
const maxHandshakes = 128

// Node is one router's end of the traffic between routers. It implements Transport.
type Node struct {
	cfg     Config
	self    Identity
	handler Handler
	// asks says that this node only asks, see KnownIncarnation.
	asks     bool
	listener net.Listener
	server   *http.Server
	streams  *streamListener
	sweeper  *sweeper
	// datagrams carry what may be lost.
	datagrams *datagrams
	mailbox   chan received
	// pending counts the messages in the mailbox and the one that is taken from it, and
	// handling is held while the handler runs.
	pending  atomic.Int32
	handling sync.Mutex
	count    counters
	start    time.Time

	// replaceWithin and drainsFor are the constants, but for tests.
	replaceWithin, drainsFor time.Duration

	ctx    context.Context
	cancel context.CancelFunc

	// lock is taken before a link's lock, which is taken before a session's.
	lock     sync.Mutex
	links    map[string]*link
	stopping bool

	// life guards closed, so that no goroutine starts while Close waits for them. It
	// is the last lock taken.
	life   sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

var _ Transport = (*Node)(nil)

// New listens; nothing is accepted before Start.
func New(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	if cfg.Self.Name == "" {
		return nil, errors.New("peer: a router needs a name")
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "peer: listen")
	}
	n := &Node{
		cfg:      cfg,
		self:     cfg.Self,
		listener: listener,
		streams:  newStreamListener(listener.Addr()),
		mailbox:  make(chan received, cfg.MailboxLength),
		links:    make(map[string]*link),
		start:    time.Now(),

		replaceWithin: replaceWithin, drainsFor: drainsFor,
	}
	n.self.minor = MinorVersion
	if n.self.Address == "" {
		n.self.Address = listener.Addr().String()
	}
	n.sweeper = newSweeper(n)
	n.datagrams = n.openDatagrams()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.server = n.newServer()
	return n, nil
}

// Self returns this router's identity with the address it announces.
func (n *Node) Self() Identity { return n.self }

// Start accepts sessions and hands what arrives to handler.
func (n *Node) Start(handler Handler) {
	n.handler = handler
	n.spawn(n.acceptLoop)
	n.spawn(n.deliver)
	if n.datagrams.conn != nil {
		n.spawn(n.datagrams.receive)
	}
	n.spawn(func() { _ = n.server.Serve(n.streams) })
	if n.cfg.Scope != tally.NoopScope {
		n.spawn(n.report)
	}
}

// elapsed is the monotonic time since the node's start in nanoseconds.
func (n *Node) elapsed() int64 { return int64(time.Since(n.start)) }

// spawn runs f in a goroutine that Close waits for; false once the node is closed.
func (n *Node) spawn(f func()) bool {
	n.life.Lock()
	defer n.life.Unlock()
	if n.closed {
		return false
	}
	n.wg.Go(f)
	return true
}

// sleep reports false if the node was closed meanwhile.
func (n *Node) sleep(d time.Duration) bool { return sleep(n.ctx, d) }

// sleep reports false if ctx ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
