//go:build !race

package leasewrite

func publishToRaceDetector() {}
