// Package wire converts between the messages of the core packages, which do no I/O, and
// the protobuf payloads of control messages between peers. Decoders ignore unknown fields.
// Membership and spread messages of an unknown kind are decoded too, and the core ignores
// them; confirmation messages of an unknown kind are refused.
package wire

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/membership"
	"tarragongw/peer/peerpb"
)

// Kinds of control messages, as passed to peer.Transport.
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
		Kind:          membership.Kind(saturateUint8(p.Kind)),
		Version:       p.Version,
		Seq:           p.Seq,
		Target:        p.Target,
		Heard:         p.Heard,
		Trying:        p.Trying,
		SilentMembers: p.Troubles,
		HearsNobody:   p.Deaf,
		Leaving:       p.Leaving,
		Revision:      p.Revision,
		RevisionAge:   clampDuration(p.RevisionAgeMs),
		Silent:        clampDuration(p.SilentMs),
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
		State:   membership.State(saturateUint8(u.State)),
		Leaving: u.Leaving,
	}
}

// saturateUint8 converts v to 8 bits and returns 255 for larger values, so that a value
// that this version does not know does not wrap round to one that it does.
func saturateUint8(v uint32) uint8 {
	if v > 0xff {
		return 0xff
	}
	return uint8(v)
}

// millis returns d in milliseconds, or 0 if d is negative.
func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// maxDuration limits decoded durations, so that the conversion cannot overflow.
const maxDuration = 10 * 365 * 24 * time.Hour

// clampDuration converts milliseconds to a duration of at most maxDuration.
func clampDuration(ms uint64) time.Duration {
	if ms > uint64(maxDuration.Milliseconds()) {
		return maxDuration
	}
	return time.Duration(ms) * time.Millisecond
}
