package router

import "context"

// Abort ends the router at once, as a lost process would: nothing is handed over
// and nobody is told. It is what a second signal asks for, and what tests of
// losses use.
func (r *Router) Abort() { r.once.Do(r.abort) }

func (r *Router) abort() {
	r.stopping.Store(true)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	// A lost process writes nothing more. Closing the connections to other routers can
	// take a second on a busy machine; this router hears nobody meanwhile and would take
	// the others' duties over, or strike them off its records, on its way out.
	r.aborted.Store(true)
	// The order matters: without the connections to other routers no farewell goes out.
	_ = r.peers.Close()
	r.caller.Shutdown(gone)
	r.end(gone)
}
