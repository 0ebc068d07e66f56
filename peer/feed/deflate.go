package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxDeflated bounds what a feed carries of a configuration: to some hundred routers it
	// must not take a link for longer than Silence. Longer ones are read from the store.
	maxDeflated = 64 << 10
	// maxInflated bounds a configuration, as the store does.
	maxInflated = 1 << 20
)

// deflate packs a configuration, which repeats itself from route to route; nil where it is
// too long for a feed.
func deflate(value []byte) []byte {
	packed, err := deflateAll(value)
	if err != nil || len(packed) > maxDeflated {
		return nil
	}
	return packed
}

func inflate(packed []byte) ([]byte, error) {
	value, err := inflateAll(packed, maxInflated)
	return value, errors.Wrap(err, "configuration")
}

func deflateAll(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	return packed.Bytes(), nil
}

// inflateAll returns at most so many bytes; more are an error.
func inflateAll(packed []byte, most int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(most)+1))
	if err != nil {
		return nil, errors.Wrap(err, "inflate")
	}
	if len(data) > most {
		return nil, errors.New("inflate: too long")
	}
	return data, nil
}
