package model

import "time"

// Limits of a model. They keep its compressed encoding within the size of one value of
// the store (one megabyte) and bound the work of compiling it.
const (
	MaxServices  = 256
	MaxTargets   = 20480
	MaxRanges    = 4096
	MaxCallers   = 4096
	MaxSelectors = 1024

	// MaxLabels bounds the labels of one object.
	MaxLabels = 16
	// MaxRequirements bounds the requirements of one expression.
	MaxRequirements = 16
	// MaxValues bounds the values of one requirement.
	MaxValues = 64
	// MaxHosts bounds the hosts of one service.
	MaxHosts = 32

	// All lengths are in bytes.
	MaxNameLength   = 63
	MaxCallerLength = 128
	MaxLabelLength  = 63
	MaxValueLength  = 128
	MaxHostLength   = 253
	MaxPrefixLength = 256
	MaxKeyLength    = 1024
	MaxFieldLength  = 128

	// MinHashSlots and MaxHashSlots bound the hash slots of a service divided by key.
	MinHashSlots     = 16
	MaxHashSlots     = 65536
	DefaultHashSlots = 1024

	// MaxTargetSlots and MaxConnections bound one target.
	MaxTargetSlots = 65536
	MaxConnections = 65536
	// MaxQueueLength bounds the requests that wait for one target.
	MaxQueueLength = 65536
	// MaxSegment is the highest index of a path segment.
	MaxSegment = 31
	// MaxPriority bounds priorities on both sides of zero.
	MaxPriority = 1_000_000
	// MaxWeight bounds weights.
	MaxWeight = 1000.0

	// MinTimeout and MaxTimeout bound the timeouts of a service.
	MinTimeout = time.Millisecond
	MaxTimeout = time.Hour
	// MinYieldAfter keeps owners from giving up their units when the store is
	// unreachable for a moment only.
	MinYieldAfter = 100 * time.Millisecond
	MaxYieldAfter = 24 * time.Hour
)
