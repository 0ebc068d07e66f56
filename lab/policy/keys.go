package policy

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Sizes of the key space of the rebalancing measurement.
const (
	keyCount   = 20_000
	zipfPower  = 0.9
	slotCount  = 2048
	wanderTime = 5 * time.Minute
	// wanderShare is the part of all load that the wandering hot key has.
	wanderShare = 0.04
	// sampleRate is how many requests a second the load estimates are made from.
	sampleRate = 4000
)

// keySpace is the true load of each key, as a share of all load. The load of the
// hottest key and of the wandering one exceeds half of an even share of a target.
type keySpace struct {
	random *rand.Rand
	base   []float64
	// cumulative is the running sum of base.
	cumulative []float64
	slot       []int
	names      []string
	wanderer   int
}

func newKeySpace(seed uint64) *keySpace {
	k := &keySpace{random: rand.New(rand.NewPCG(seed, 77))}
	sum := 0.0
	for i := range keyCount {
		k.base = append(k.base, math.Pow(float64(i+1), -zipfPower))
		sum += k.base[i]
		k.names = append(k.names, fmt.Sprintf("key-%05d", i))
		k.slot = append(k.slot, int(hash64(k.names[i])%slotCount))
	}
	running := 0.0
	for i := range k.base {
		k.base[i] /= sum
		running += k.base[i]
		k.cumulative = append(k.cumulative, running)
	}
	k.wander()
	return k
}

// wander makes another key hot, one that was not before.
func (k *keySpace) wander() { k.wanderer = 100 + k.random.IntN(keyCount-100) }

// load is the true share of a key.
func (k *keySpace) load(key int) float64 {
	share := (1 - wanderShare) * k.base[key]
	if key == k.wanderer {
		share += wanderShare
	}
	return share
}

// draw samples one request's key.
func (k *keySpace) draw() int {
	if k.random.Float64() < wanderShare {
		return k.wanderer
	}
	mark := k.random.Float64() * k.cumulative[keyCount-1]
	low, high := 0, keyCount-1
	for low < high {
		middle := (low + high) / 2
		if k.cumulative[middle] < mark {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// hash64 spreads names evenly and the same on every machine.
func hash64(name string) uint64 {
	sum := sha256.Sum256([]byte(name))
	return binary.BigEndian.Uint64(sum[:])
}
