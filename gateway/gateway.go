// Package gateway is a router on a store with leases and transactions.
package gateway
