package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const smallReport = `{"G":0.5,"parts":[["whole day",0.448,0.75],["odd"]],"prices":[["cheap",1,0.0001],["memory",2,0.01],["bytes",3,0.04]],
"classes":[{"name":"read","n":100,"in_aim":50,"late":20,"refused":20,"failed":10,"worth":0.56},{"name":"write","n":100,"in_aim":100,"worth":1}],
"zones":[],"windows":[{"name":"0","n":100,"in_aim":100},{"name":"2","n":100,"failed":100}],
"services":[{"name":"faq","servers":5,"arrivals":300,"not_run":40,"busiest_x":2.5}],"unserved_by":[["503",20,["..."]]],
"events":[{"at_s":1,"to_s":2.5,"kind":"burst ","what":""}]}`

func TestAccountListsWhatIsLostMostFirst(t *testing.T) {
	d, err := decodeReport(strings.NewReader(smallReport))
	assert.NilError(t, err)
	out := &strings.Builder{}
	d.write(out)
	text := out.String()
	for _, row := range []string{
		"| whole day | 0.448 | 0.750 | 0.112 |", "| read | 100 | 0.560 | 22.0 | 7.0 | 10.0 | 5.0 |", "| faq | 5 | 300 | 40 | 0 | 0 | 2.5 |", "| 503 | 20 |", "burst",
	} {
		assert.Assert(t, strings.Contains(text, row), "%s\n%s", row, text)
	}
	assert.Assert(t, strings.Index(text, "| bytes |") < strings.Index(text, "| memory |"), text)
	assert.Assert(t, !strings.Contains(text, "cheap"), text)
	assert.Assert(t, strings.Index(text, "| 2 |") < strings.Index(text, "| 0 |"), text)
}

func TestAccountOfNoReportIsAnError(t *testing.T) {
	_, err := decodeReport(strings.NewReader("worth 0.5"))
	assert.ErrorContains(t, err, "decode")
}
