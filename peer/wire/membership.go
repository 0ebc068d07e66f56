// Package wire turns the messages of the pure cores into the protobuf payloads
// of control messages and back. Decoding accepts fields and kinds that it does
// not know; a core ignores such kinds.
package wire

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/membership"
	"tarragongw/peer/peerpb"
)

// Kinds of control messages as given to peer.Transport.
const (
	KindMembership = "m"
	KindSpread     = "s"
)

// EncodeMembership returns the payload of a membership message.
func EncodeMembership(m *membership.Message) ([]byte, error) {
	p := &peerpb.MemberMessage{
		Kind:          uint32(m.Kind),
		Version:       m.Version,
		Seq:           m.Seq,
		Target:        m.Target,
		Heard:         m.Heard,
		Trying:        m.Trying,
		Troubles:      m.SilentMembers,
		Deaf:          m.HearsNobody,
		Leaving:       m.Leaving,
		Revision:      m.Revision,
		RevisionAgeMs: millis(m.RevisionAge),
		SilentMs:      millis(m.Silent),
		DataCentre:    m.DataCentre,
	}
	for _, d := range m.Digests {
		p.Digests = append(p.Digests, &peerpb.DCDigest{DataCentre: d.DataCentre, Sum: d.Sum})
	}
	for _, l := range m.Links {
		p.Links = append(p.Links, encodeLink(l))
	}
	for i := range m.Updates {
		p.Updates = append(p.Updates, encodeUpdate(&m.Updates[i]))
	}
	b, err := proto.Marshal(p)
	return b, errors.Wrap(err, "encode membership message")
}

func encodeLink(l membership.Link) *peerpb.DCLink {
	return &peerpb.DCLink{From: l.From, Incarnation: l.Incarnation, DataCentre: l.DataCentre, Seq: l.Seq, Up: l.Up}
}

func encodeUpdate(u *membership.Update) *peerpb.MemberUpdate {
	return &peerpb.MemberUpdate{
		Name:        u.Member.Name,
		DataCentre:  u.Member.DataCentre,
		Address:     u.Member.Address,
		Incarnation: u.Member.Incarnation,
		Version:     u.Version,
		State:       uint32(u.State),
		Leaving:     u.Leaving,
	}
}

// DecodeMembership reads the payload of a membership message.
func DecodeMembership(b []byte) (membership.Message, error) {
	var p peerpb.MemberMessage
	if err := proto.Unmarshal(b, &p); err != nil {
		return membership.Message{}, errors.Wrap(err, "decode membership message")
	}
	m := membership.Message{
		Kind:          membership.Kind(narrow(p.Kind)),
		Version:       p.Version,
		Seq:           p.Seq,
		Target:        p.Target,
		Heard:         p.Heard,
		Trying:        p.Trying,
		SilentMembers: p.Troubles,
		HearsNobody:   p.Deaf,
		Leaving:       p.Leaving,
		Revision:      p.Revision,
		RevisionAge:   duration(p.RevisionAgeMs),
		Silent:        duration(p.SilentMs),
		DataCentre:    p.DataCentre,
	}
	for _, d := range p.Digests {
		m.Digests = append(m.Digests, membership.DCDigest{DataCentre: d.DataCentre, Sum: d.Sum})
	}
	for _, l := range p.Links {
		m.Links = append(m.Links, decodeLink(l))
	}
	for _, u := range p.Updates {
		m.Updates = append(m.Updates, decodeUpdate(u))
	}
	return m, nil
}

func decodeLink(l *peerpb.DCLink) membership.Link {
	return membership.Link{From: l.From, Incarnation: l.Incarnation, DataCentre: l.DataCentre, Seq: l.Seq, Up: l.Up}
}

func decodeUpdate(u *peerpb.MemberUpdate) membership.Update {
	return membership.Update{
		Member: membership.Member{
			Name:        u.Name,
			DataCentre:  u.DataCentre,
			Address:     u.Address,
			Incarnation: u.Incarnation,
		},
		Version: u.Version,
		State:   membership.State(narrow(u.State)),
		Leaving: u.Leaving,
	}
}

// narrow keeps a value that this version does not know from wrapping round to
// one that it does.
func narrow(v uint32) uint8 {
	if v > 0xff {
		return 0xff
	}
	return uint8(v)
}

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// maxAge bounds ages from the wire, so that they cannot overflow.
const maxAge = 10 * 365 * 24 * time.Hour

func duration(ms uint64) time.Duration {
	if ms > uint64(maxAge.Milliseconds()) {
		return maxAge
	}
	return time.Duration(ms) * time.Millisecond
}
