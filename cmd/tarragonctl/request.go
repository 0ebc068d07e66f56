package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/eventlog"
	"tarragongw/operator"
)

// requestReport is the result of explain request: all records of requests with one id.
type requestReport struct {
	ID string `json:"id"`
	// Found has an entry for each router that refused or failed a request with the id.
	Found []*operator.RequestExplanation `json:"found"`
	// Silent are the routers that did not answer and may have further records.
	Silent []silentRouter `json:"silent"`
}

// silentRouter is a router that did not answer, and why.
type silentRouter struct {
	Router string `json:"router"`
	State  string `json:"state"`
	Cause  string `json:"cause"`
}

func explainRequest(ctx context.Context, c *cli.Command) error {
	id, err := argument(c, "ID")
	if err != nil {
		return err
	}
	answers, err := queryAll(ctx, client(c), func(ctx context.Context, c *operator.Client) (*operator.RequestExplanation, error) {
		return c.ExplainRequest(ctx, id)
	})
	if err != nil {
		return err
	}
	report := requestReport{ID: id, Found: []*operator.RequestExplanation{}, Silent: []silentRouter{}}
	for _, a := range answers {
		switch {
		case a.Err == nil:
			report.Found = append(report.Found, a.Answer)
		case !isNotFound(a.Err):
			report.Silent = append(report.Silent, silentRouter{Router: a.Router, State: a.State, Cause: a.Err.Error()})
		}
	}
	if len(report.Found) == 0 {
		return operator.Errorf(operator.CodeNotFound,
			"none of %d routers keeps a refused or failed request with the id %q: it was answered, or its record has been dropped for newer ones%s",
			len(answers)-len(report.Silent), id, silentText(report.Silent))
	}
	return show(c, report, showRequests)
}

func isNotFound(err error) bool {
	var e *operator.Error
	return errors.As(err, &e) && e.Code == operator.CodeNotFound
}

func silentText(silent []silentRouter) string {
	if len(silent) == 0 {
		return ""
	}
	var names []string
	for _, s := range silent {
		names = append(names, s.Router)
	}
	return "; no answer from " + strings.Join(names, ", ")
}

func showRequests(out io.Writer, report requestReport) {
	for _, e := range report.Found {
		showRequest(out, &e.Request)
	}
	for _, s := range report.Silent {
		fmt.Fprintf(out, "no answer from router %s (%s): %s\n", s.Router, s.State, s.Cause)
	}
}

func showRequest(out io.Writer, r *eventlog.Request) {
	fmt.Fprintf(out, "request %s at %s, router %s: %s (%s) after %s\n",
		r.ID, r.Time.Format(time.RFC3339Nano), r.Router, r.Code, r.Ran, r.Elapsed)
	fmt.Fprintf(out, "  service %s, caller %s, class %s, revision %d\n", orNone(r.Service), orNone(r.Caller), orNone(r.Class), r.Revision)
	fmt.Fprintf(out, "  cause: %s\n", orNone(r.Cause))
	if r.Attempts == 0 {
		fmt.Fprintln(out, "  no attempt was made")
		return
	}
	fmt.Fprintf(out, "  %d attempts:\n", r.Attempts)
	last := 0
	for _, a := range r.Trail {
		if a.Number > last+1 {
			fmt.Fprintf(out, "    (%d in between are not kept)\n", a.Number-last-1)
		}
		last = a.Number
		fmt.Fprintf(out, "    %d. after %s, for %s: unit %s, target %s by router %s: %s (%s): %s\n", a.Number,
			a.After.Round(time.Microsecond), a.Took.Round(time.Microsecond),
			orNone(a.Unit), orNone(a.Target), orNone(a.Router), a.Code, a.Ran, orNone(a.Cause))
	}
}
