// Package lab groups the stand-ins, measurements, models and tools of
// development. Nothing that ships imports it.
package lab
