package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The unit of a key depends on the number of hash slots. If an operator could change
// that number for a live service, updated routers would send every key to a new owner,
// while routers that still have the old revision would send it to the old one.
func TestChangeOfSlotsOrDivisionIsRefused(t *testing.T) {
	old := &Model{Services: []Service{{Name: "a", HashSlots: 16}, {Name: "b", Division: Any}, {Name: "c", HashSlots: 16}}}
	new := &Model{Services: []Service{{Name: "a", HashSlots: 32}, {Name: "b", HashSlots: 16}, {Name: "c", HashSlots: 16, QueueLength: 5}, {Name: "d", HashSlots: 64}}}
	var messages []string
	for _, p := range ValidateChange(old, new) {
		messages = append(messages, p.Error())
	}
	assert.DeepEqual(t, messages, []string{
		`service "a": hash_slots: it is fixed for life and was 16; create a service with another name and hand requests to it with to_service`,
		`service "b": division: it is fixed for life and was any; create a service with another name and hand requests to it with to_service`,
	})
	assert.Equal(t, len(ValidateChange(old, old)), 0)
}
