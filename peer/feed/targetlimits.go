package feed

import (
	"time"

	"tarragongw/core/keyspace"
	"tarragongw/core/targetlimit"
	"tarragongw/peer/feedpb"
)

// LimitStatement is what the answer of a target to one request says of its limit.
type LimitStatement struct {
	Limit targetlimit.Limit
	// Unstated says that the answer stated none; Limit names only the target then.
	Unstated bool
	// SentAt is when the request was sent and AnsweredAt when the answer arrived, by the clock of the router that has the
	// statement. At another one they are later by the time that it was on its way.
	SentAt, AnsweredAt time.Time
}

// PermitRequest asks the leader for permits to send requests to a target that states a limit.
type PermitRequest struct {
	// ID identifies the request among those of the follower.
	ID uint64
	// Limit is the limit as the follower knows it.
	Limit targetlimit.Limit
	Count int
	// Retries says that the permits are for requests that were sent before.
	Retries bool
}

// Permits is the leader's answer to a PermitRequest. Permits lapse if they are not used at once.
type Permits struct {
	ID      uint64
	Granted int
	// Wait is after what time to ask for the others.
	Wait time.Duration
}

// TargetNews is what a follower tells its leader about statements of targets, and the permits that it asks for.
type TargetNews struct {
	Statements []LimitStatement
	Requests   []PermitRequest
	Leaving    []LeavingTarget
}

// TargetLimits are all limits of targets that are in force.
type TargetLimits struct{ Limits []targetlimit.Limit }

func encodeTargetLimit(l *targetlimit.Limit) *feedpb.TargetLimit {
	return &feedpb.TargetLimit{
		Instance: &feedpb.Instance{Target: l.Holder.Target, Born: l.Holder.StartUnixMilli}, Service: l.Service, PerSecond: l.PerSecond,
	}
}

func decodeTargetLimit(p *feedpb.TargetLimit) targetlimit.Limit {
	return targetlimit.Limit{
		Holder:  keyspace.Holder{Target: p.GetInstance().GetTarget(), StartUnixMilli: p.GetInstance().GetBorn()},
		Service: p.GetService(), PerSecond: max(p.GetPerSecond(), 0),
	}
}

func encodeTargetLimits(all []targetlimit.Limit) *feedpb.TargetLimits {
	p := &feedpb.TargetLimits{}
	for i := range all {
		p.Limits = append(p.Limits, encodeTargetLimit(&all[i]))
	}
	return p
}

func decodeTargetLimits(p *feedpb.TargetLimits) *TargetLimits {
	limits := &TargetLimits{}
	for _, l := range p.GetLimits() {
		limits.Limits = append(limits.Limits, decodeTargetLimit(l))
	}
	return limits
}

func encodeTargetNews(news *TargetNews, now time.Time) *feedpb.Report {
	p := &feedpb.Report{Leaving: encodeLeaving(news.Leaving, now)}
	for i := range news.Statements {
		s := &news.Statements[i]
		p.LimitStatements = append(p.LimitStatements, &feedpb.LimitStatement{
			Limit: encodeTargetLimit(&s.Limit), Unstated: s.Unstated,
			SentMsAgo: millisBetween(s.SentAt, now), AnsweredMsAgo: millisBetween(s.AnsweredAt, now),
		})
	}
	for i := range news.Requests {
		r := &news.Requests[i]
		p.PermitRequests = append(p.PermitRequests, &feedpb.PermitRequest{
			Id: r.ID, Limit: encodeTargetLimit(&r.Limit), Count: uint32(r.Count), Retries: r.Retries,
		})
	}
	return p
}

// millisBetween returns the whole milliseconds from one time to a later one.
func millisBetween(from, to time.Time) uint64 { return uint64(max(to.Sub(from).Milliseconds(), 0)) }

// decodeTargetNews returns nil if the report has none.
func decodeTargetNews(p *feedpb.Report, now time.Time) *TargetNews {
	if len(p.GetLimitStatements())+len(p.GetPermitRequests())+len(p.GetLeaving()) == 0 {
		return nil
	}
	ago := func(millis uint64) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	news := &TargetNews{Leaving: decodeLeaving(p.GetLeaving(), now)}
	for _, s := range p.GetLimitStatements() {
		news.Statements = append(news.Statements, LimitStatement{
			Limit: decodeTargetLimit(s.GetLimit()), Unstated: s.GetUnstated(), SentAt: ago(s.GetSentMsAgo()), AnsweredAt: ago(s.GetAnsweredMsAgo()),
		})
	}
	for _, r := range p.GetPermitRequests() {
		news.Requests = append(news.Requests, PermitRequest{
			ID: r.GetId(), Limit: decodeTargetLimit(r.GetLimit()), Count: int(r.GetCount()), Retries: r.GetRetries(),
		})
	}
	return news
}

func encodePermits(all []Permits) []*feedpb.Permits {
	var encoded []*feedpb.Permits
	for _, p := range all {
		encoded = append(encoded, &feedpb.Permits{Id: p.ID, Granted: uint32(p.Granted), WaitMs: uint32(p.Wait.Milliseconds())})
	}
	return encoded
}

func decodePermits(encoded []*feedpb.Permits) []Permits {
	var all []Permits
	for _, p := range encoded {
		all = append(all, Permits{ID: p.GetId(), Granted: int(p.GetGranted()), Wait: time.Duration(p.GetWaitMs()) * time.Millisecond})
	}
	return all
}
