package httpstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"tarragongw/kv"
)

// Backend is the platform that the handler serves; standin.Client implements it.
type Backend interface {
	kv.Store
	kv.VMLister
	// Poll is a Watch that ends after wait with no records and a revision to continue from.
	Poll(ctx context.Context, prefix string, since kv.Revision, wait time.Duration) ([]kv.Record, kv.Revision, error)
}

// maxWait is the longest wait of a watch.
const maxWait = time.Minute

// operation executes one kind of call.
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

// NewHandler returns a handler that serves the protocol. It calls backend for the Backend
// of the client that a call names.
func NewHandler(backend func(client string) Backend) http.Handler {
	mux := http.NewServeMux()
	for kind, op := range operations {
		mux.HandleFunc("POST "+pathPrefix+string(kind), func(w http.ResponseWriter, r *http.Request) {
			serve(w, r, backend(r.Header.Get(headerClient)), op)
		})
	}
	return mux
}

// serve executes one call. If the backend reports that the outcome is unknown, serve
// aborts the connection instead of answering, as if the reply was lost: any answer
// would state an outcome.
func serve(w http.ResponseWriter, r *http.Request, b Backend, op operation) {
	var body callBody
	// The body is read to its end, because only then net/http detects that a client has
	// disconnected. Otherwise the client's watch would continue.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
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
	// An error here means that the client has closed the connection.
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
