package keyspace

// Limit says that a key is asked for more than its holder can do.
type Limit struct {
	Key Key
	// Admit is the part of the requests for the key that is to be served, from 0 to 1.
	Admit float64
}
