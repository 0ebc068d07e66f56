// Package caller is the HTTP front end of the router. It determines the service, key, caller,
// class, deadline and repeatability of a request, passes the request to a Forwarder and turns
// the outcome into the answer to the caller.
package caller

import (
	"net/http"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// Forwarder forwards a request to the owner of its key and streams the answer to w.
//
// Forward returns nil when the whole answer was written. If it refuses the request, or fails
// before the answer began, it returns a fault and has written nothing to w. If the answer
// broke off after it began, it returns a fault of kind AnswerTruncated, and the handler aborts
// the caller's connection, so that a truncated answer never looks complete.
type Forwarder interface {
	Forward(w http.ResponseWriter, r *http.Request, meta *request.Meta) *fault.Fault
}

// Placer is implemented by the ResponseWriter that a Forwarder gets. Placed tells that the request
// has a place at a target, waits for one or was refused, so that the requests behind it on its
// connection may start without taking its place.
type Placer interface {
	Placed()
}
