package gateway

import (
	"encoding/json"

	"github.com/pkg/errors"

	"tarragongw/core/keyspace"
)

// encodeTable returns a table as a record for the store.
func encodeTable(t *keyspace.Table) ([]byte, error) {
	data, err := json.Marshal(t)
	return data, errors.Wrap(err, "encode the table of "+t.Service)
}

// decodeTable reads a record and checks it.
func decodeTable(data []byte) (*keyspace.Table, error) {
	t := &keyspace.Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, errors.Wrap(err, "decode a table of keys")
	}
	if err := t.Check(); err != nil {
		return nil, errors.Wrap(err, "table of "+t.Service)
	}
	return t, nil
}
