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
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil // the level is a valid one
	}
	if _, err := w.Write(value); err != nil {
		return nil
	}
	if err := w.Close(); err != nil || packed.Len() > maxDeflated {
		return nil
	}
	return packed.Bytes()
}

func inflate(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxInflated+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack a configuration")
	}
	if len(value) > maxInflated {
		return nil, errors.New("unpack a configuration: too long")
	}
	return value, nil
}
