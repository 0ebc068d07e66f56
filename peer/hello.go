package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"tarragongw/peer/peerpb"
)

// maxHello bounds the encoded hello in bytes.
const maxHello = 4 << 10

// Errors of the hello exchange. They are matched with errors.Is.
var (
	// ErrVersion means that the two sides speak different major versions.
	ErrVersion = errors.New("peer: protocol major versions differ")
	// ErrRefused means that the other router refused the session; the text says why.
	ErrRefused = errors.New("peer: session refused")
	// ErrIdentity means that another router answered than the one expected.
	ErrIdentity = errors.New("peer: unexpected identity")
	// ErrStale means that a newer incarnation of the other router is known, and ErrLimit
	// that this router stops or knows too many others.
	ErrStale = errors.New("peer: an older incarnation than one already seen")
	ErrLimit = errors.New("peer: no further session")
	// errAsked ends the connection of a router that only asks, see KnownIncarnation.
	errAsked = errors.New("peer: answered a question, no session")
)

func (n *Node) hello(refusal string) *peerpb.Hello {
	return &peerpb.Hello{
		Major:       MajorVersion,
		Minor:       MinorVersion,
		Name:        n.self.Name,
		DataCentre:  n.self.DataCentre,
		Incarnation: n.self.Incarnation,
		Address:     n.self.Address,
		Refusal:     refusal,
	}
}

func identityOf(h *peerpb.Hello) Identity {
	return Identity{
		Name:        h.Name,
		DataCentre:  h.DataCentre,
		Incarnation: h.Incarnation,
		Address:     h.Address,
		minor:       h.Minor,
	}
}

// checkHello is the part of the check that both sides make.
func (n *Node) checkHello(h *peerpb.Hello, conn net.Conn) error {
	if h.Major != MajorVersion {
		return errors.Wrapf(ErrVersion, "%s speaks %d.%d, %s speaks %d.%d",
			h.Name, h.Major, h.Minor, n.self.Name, MajorVersion, MinorVersion)
	}
	if h.Name == "" {
		return errors.Wrap(ErrIdentity, "hello without a name")
	}
	if h.Name == n.self.Name {
		return errors.Wrapf(ErrIdentity, "%s is this router's own name", h.Name)
	}
	if n.cfg.VerifyPeer == nil {
		return nil
	}
	return errors.Wrap(n.cfg.VerifyPeer(identityOf(h), tlsState(conn)), "verify")
}

func tlsState(conn net.Conn) *tls.ConnectionState {
	t, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := t.ConnectionState()
	return &state
}

// greet is the dialling side of the exchange.
func (n *Node) greet(conn net.Conn, expect string) (Identity, error) {
	h := n.hello("")
	h.Asks = n.asks
	if err := writeFrame(conn, h, maxHello); err != nil {
		return Identity{}, err
	}
	var answer peerpb.Hello
	if err := readFrame(conn, &answer, maxHello); err != nil {
		return Identity{}, errors.Wrap(err, "hello")
	}
	checked := n.checkHello(&answer, conn)
	if checked == nil {
		n.noteKnown(&answer)
	}
	if answer.Refusal != "" {
		return Identity{}, errors.Wrapf(ErrRefused, "%s: %s", answer.Name, answer.Refusal)
	}
	if checked != nil {
		return Identity{}, checked
	}
	// What would go wrong: a VM is replaced, its address goes to another router, and
	// requests for the old one's targets reach a router that is not their grantor.
	if expect != "" && answer.Name != expect {
		return Identity{}, errors.Wrapf(ErrIdentity, "want %s, got %s", expect, answer.Name)
	}
	return identityOf(&answer), nil
}

// welcome is the accepting side of the exchange. A refusal is sent before the
// error is returned, so that the dialling side can say why.
func (n *Node) welcome(conn net.Conn) (Identity, error) {
	var h peerpb.Hello
	if err := readFrame(conn, &h, maxHello); err != nil {
		return Identity{}, errors.Wrap(err, "hello")
	}
	if err := n.checkHello(&h, conn); err != nil {
		_ = writeFrame(conn, n.hello(err.Error()), maxHello)
		return Identity{}, err
	}
	err := errAsked
	if !h.Asks {
		err = n.admit(identityOf(&h))
	}
	answer := n.hello("")
	answer.Known = n.known(h.Name)
	if err != nil {
		answer.Refusal = err.Error()
		_ = writeFrame(conn, answer, maxHello)
		return Identity{}, err
	}
	return identityOf(&h), writeFrame(conn, answer, maxHello)
}

// dial opens a connection to address and exchanges hellos.
func (n *Node) dial(ctx context.Context, address, expect string) (net.Conn, Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.DialTimeout)
	defer cancel()
	conn, err := n.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, Identity{}, errors.WithStack(err)
	}
	if cfg := n.dialTLS(address, expect); cfg != nil {
		conn = tls.Client(conn, cfg)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	remote, err := n.greet(conn, expect)
	if err != nil {
		_ = conn.Close()
		return nil, Identity{}, err
	}
	if !stop() {
		_ = conn.Close()
		return nil, Identity{}, errors.WithStack(ctx.Err())
	}
	return conn, remote, nil
}

func (n *Node) dialTLS(address, expect string) *tls.Config {
	switch {
	case n.cfg.DialTLS != nil:
		return n.cfg.DialTLS(expect)
	case n.cfg.TLS != nil:
		return clientTLS(n.cfg.TLS, address)
	default:
		return nil
	}
}

// clientTLS names the server after the dialled host where the config does not.
func clientTLS(base *tls.Config, address string) *tls.Config {
	if base.ServerName != "" {
		return base
	}
	cfg := base.Clone()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	cfg.ServerName = host
	return cfg
}
