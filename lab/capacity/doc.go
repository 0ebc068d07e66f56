// Command capacity works out the tables of docs/CAPACITY.md from the sweeps that are
// committed in lab/capacity/sweeps.
//
//	go run ./lab/capacity           print the tables
//	go run ./lab/capacity -write    replace the tables of the page
package main
