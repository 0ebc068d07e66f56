package feed

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/evacuation"
	"tarragongw/peer/feedpb"
)

// stateTimeout bounds asking one router for the state.
const stateTimeout = 600 * time.Millisecond

// State is what a router knows of the leader and of the configuration.
type State struct {
	// Leader and Address are the name and the address of the last leader that the router knows of, and Term is
	// its term; zero if it knows of none.
	Leader, Address string
	Term            uint64
	// ConfigVersion is the version of the configuration in force, and ConfigAge how long ago that was last known
	// to be the newest, when the router answered.
	ConfigVersion uint64
	ConfigAge     time.Duration
	// ConfigValue is the configuration as it is stored; nil if it is not newer than that of the router that
	// asks.
	ConfigValue []byte
	// Evacuations are the evacuated data centres, nil if unknown, and EvacuationsAge is how long ago they were last known to
	// be the newest, when the router answered.
	Evacuations    *evacuation.Snapshot
	EvacuationsAge time.Duration
}

// AskState asks the router at an address for its state. configVersion is the version of the configuration that
// this router has in force.
func AskState(ctx context.Context, self Router, address string, configVersion uint64) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to a router")
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	hello := &feedpb.Hello{Router: self.Name, DataCentre: self.DataCentre, State: &feedpb.StateRequest{Config: configVersion}}
	if err := writeMessage(conn, hello); err != nil {
		return nil, err
	}
	reply := &feedpb.StateReply{}
	if err := readMessage(conn, bufio.NewReader(conn), reply, stateTimeout); err != nil {
		return nil, err
	}
	return decodeState(reply)
}

func decodeState(p *feedpb.StateReply) (*State, error) {
	s := &State{
		Leader: p.GetLeader(), Address: p.GetAddress(), Term: p.GetTerm(), ConfigVersion: p.GetConfig(),
		ConfigAge:      time.Duration(p.GetConfigAgeMs()) * time.Millisecond,
		EvacuationsAge: time.Duration(p.GetEvacuationsAgeMs()) * time.Millisecond,
	}
	if p.GetEvacuations() != nil {
		s.Evacuations = decodeEvacuations(p.GetEvacuations())
	}
	if len(p.GetConfigValue()) > 0 {
		value, err := decompressConfig(p.GetConfigValue())
		if err != nil {
			return nil, err
		}
		s.ConfigValue = value
	}
	return s, nil
}

func encodeState(s *State, asked *feedpb.StateRequest) (*feedpb.StateReply, error) {
	p := &feedpb.StateReply{
		Leader: s.Leader, Address: s.Address, Term: s.Term, Config: s.ConfigVersion, ConfigAgeMs: uint64(s.ConfigAge.Milliseconds()),
	}
	if s.Evacuations != nil {
		p.Evacuations, p.EvacuationsAgeMs = encodeEvacuations(s.Evacuations), uint64(s.EvacuationsAge.Milliseconds())
	}
	if s.ConfigVersion <= asked.GetConfig() {
		return p, nil
	}
	value, err := deflate(s.ConfigValue)
	p.ConfigValue = value
	return p, err
}

// serveState answers a router that asks for the state.
func (s *Server) serveState(conn net.Conn, hello *feedpb.Hello) {
	reply, err := encodeState(s.State(), hello.GetState())
	if err == nil {
		err = writeMessage(conn, reply)
	}
	s.Log.Info("state sent to a router", "to", hello.GetRouter(), "config", reply.GetConfig(), "config_age_ms", reply.GetConfigAgeMs(),
		"leader", reply.GetLeader(), "term", reply.GetTerm(), "err", err)
}
