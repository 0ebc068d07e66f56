package httpstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"tarragongw/kv"
)

// Backend is what the handler serves; the stand-in's client implements it.
type Backend interface {
	kv.Store
	kv.Directory
	// Poll is a Watch that ends after wait with no record and a revision to go on from.
	Poll(ctx context.Context, prefix string, since kv.Revision, wait time.Duration) ([]kv.Record, kv.Revision, error)
}

// maxWait bounds a watch that a client may ask for.
const maxWait = time.Minute

// operation carries out one kind of call.
type operation func(ctx context.Context, b Backend, body *callBody, reply *replyBody) error

var operations = map[kv.CallKind]operation{
	kv.CallGet:     get,
	kv.CallList:    list,
	kv.CallCAS:     cas,
	kv.CallWatch:   watch,
	kv.CallAcquire: acquire,
	kv.CallRenew:   renew,
	kv.CallRelease: release,
	kv.CallVMs:     vms,
}

// NewHandler serves the protocol. It asks backend for the view of the client
// that a call names.
func NewHandler(backend func(client string) Backend) http.Handler {
	mux := http.NewServeMux()
	for kind, op := range operations {
		mux.HandleFunc("POST "+pathPrefix+string(kind), func(w http.ResponseWriter, r *http.Request) {
			serve(w, r, backend(r.Header.Get(headerClient)), op)
		})
	}
	return mux
}

// serve carries out one call. Where the backend says that the outcome is unknown
// it breaks the connection instead of answering, as a platform does that loses
// its reply; an answer would be a statement that it cannot make.
func serve(w http.ResponseWriter, r *http.Request, b Backend, op operation) {
	var body callBody
	// The body is read to its end: only then does net/http notice a client that goes
	// away, without which its watch would wait on.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		write(w, &replyBody{Code: kv.Code(kv.ErrInvalid)})
		return
	}
	reply := &replyBody{}
	err = op(r.Context(), b, &body, reply)
	reply.Code = kv.Code(err)
	if _, known := statuses[reply.Code]; !known {
		panic(http.ErrAbortHandler)
	}
	write(w, reply)
}

func write(w http.ResponseWriter, reply *replyBody) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(statuses[reply.Code])
	// An error here means that the client has gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(reply)
}

func get(ctx context.Context, b Backend, body *callBody, reply *replyBody) error {
	record, err := b.Get(ctx, body.Key)
	if err == nil {
		reply.Record = &record
	}
	return err
}

func list(ctx context.Context, b Backend, body *callBody, reply *replyBody) (err error) {
	reply.Records, reply.Revision, err = b.List(ctx, body.Prefix)
	return err
}

func cas(ctx context.Context, b Backend, body *callBody, reply *replyBody) (err error) {
	reply.Revision, err = b.CompareAndSwap(ctx, body.Key, body.Revision, body.Value)
	return err
}

func watch(ctx context.Context, b Backend, body *callBody, reply *replyBody) (err error) {
	wait := time.Duration(body.WaitMillis) * time.Millisecond
	if wait <= 0 || wait > maxWait {
		wait = maxWait
	}
	reply.Records, reply.Revision, err = b.Poll(ctx, body.Prefix, body.Revision, wait)
	return err
}

func acquire(ctx context.Context, b Backend, body *callBody, reply *replyBody) error {
	asked := body.Lease.decode()
	lease, err := b.Acquire(ctx, asked.Name, asked.Holder, asked.TTL)
	reply.Lease = encodeLease(lease)
	return err
}

func renew(ctx context.Context, b Backend, body *callBody, reply *replyBody) error {
	lease, err := b.Renew(ctx, body.Lease.decode())
	reply.Lease = encodeLease(lease)
	return err
}

func release(ctx context.Context, b Backend, body *callBody, _ *replyBody) error {
	return b.Release(ctx, body.Lease.decode())
}

func vms(ctx context.Context, b Backend, _ *callBody, reply *replyBody) (err error) {
	reply.VMs, err = b.VMs(ctx)
	return err
}
