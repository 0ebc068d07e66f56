package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxCompressedConfig is the largest compressed configuration that a feed carries: sent to
	// several hundred routers, it must not fill a link for longer than silenceTimeout. Followers
	// read a larger one from the store.
	maxCompressedConfig = 64 << 10
	// maxConfigSize is the largest configuration; the store has the same limit.
	maxConfigSize = 1 << 20
)

// compressConfig compresses a configuration, whose routes resemble each other; it returns
// nil if the result is too large for a feed.
func compressConfig(value []byte) []byte {
	compressed, err := deflate(value)
	if err != nil || len(compressed) > maxCompressedConfig {
		return nil
	}
	return compressed
}

func decompressConfig(compressed []byte) ([]byte, error) {
	value, err := inflate(compressed, maxConfigSize)
	return value, errors.Wrap(err, "configuration")
}

func deflate(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	return compressed.Bytes(), nil
}

// inflate decompresses data; a result of more than limit bytes is an error.
func inflate(compressed []byte, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "inflate")
	}
	if len(data) > limit {
		return nil, errors.New("inflate: data too long")
	}
	return data, nil
}
