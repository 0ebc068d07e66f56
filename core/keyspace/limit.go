package keyspace

// Limit restricts the requests for a key whose demand exceeds the capacity of its holder.
type Limit struct {
	Key Key
	// Admit is the fraction of the requests for the key to admit, from 0 to 1.
	Admit float64
}
