package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
)

// baseModel is a valid model; the test cases append to it.
const baseModel = `[[service]]
name = "pages"
key = { from = "path", segment = 0 }
[[service]]
name = "files"
division = "any"
[[target]]
name = "p1"
service = "pages"
data_centre = "dc1"
address = "127.0.0.1:81"
[[target]]
name = "f1"
service = "files"
data_centre = "dc1"
address = "127.0.0.1:82"
`

// baseModelLines is the number of lines of baseModel, which precede the text of each case.
const baseModelLines = 16

func TestParseModelDefaults(t *testing.T) {
	m, err := ParseModel([]File{{"m.toml", []byte(baseModel + "[[caller]]\nname = \"c\"\n")}})
	assert.NilError(t, err)
	pages := m.Service("pages")
	assert.Equal(t, pages.HashSlots, uint32(model.DefaultHashSlots))
	assert.Equal(t, pages.PathPrefix, "/pages")
	assert.Equal(t, pages.Timeout, DefaultTimeout)
	assert.Equal(t, pages.Isolation, model.Isolation{Keep: true})
	assert.Equal(t, pages.Caller, model.Extract{From: model.FromHeader, Name: HeaderCaller})
	assert.Equal(t, m.Service("files").HashSlots, uint32(0))
	assert.Equal(t, m.Target("p1").Slots, 0)
	assert.Equal(t, m.Target("p1").Connections, DefaultConnections)
	assert.Equal(t, m.Callers[0].Weight, 1.0)
}

func TestParseModelErrors(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"unknown fields and tables", `[[service]]
name = "x"
divison = "any"
key = { from = "path", segmnt = 1 }
[[tagret]]
name = "x"
[[zebra]]
`, []string{
			`m.toml:19:1: unknown field "divison"; did you mean "division"?`,
			`m.toml:20:24: unknown field "segmnt"; did you mean "segment"?`,
			`m.toml:21:3: unknown table "tagret"; did you mean [[target]]?`,
			`m.toml:23:3: unknown table "zebra"; use service, target, range, caller, selector`,
		}},
		{"types and units", `[[service]]
name = "x"
division = "keys"
hash_slots = "many"
timeout = 5
progress_timeout = "5"
queue_length = -1
batch_share = "half"
strip_prefix = "yes"
hosts = "a"
labels = { a = 1 }
key = "path"
isolation = { keep = true, yield_after = "x" }
[[selector]]
name = 3
service = "files"
`, []string{
			`m.toml:19:12: service[2].division: "keys" is none of by-key, any; use one of these names`,
			`m.toml:20:14: service[2].hash_slots is a string, not an integer; write a whole number without quotes and unit`,
			`m.toml:21:11: service[2].timeout is an integer, not a duration; write a number with its unit in quotes, for instance "250ms", "2s" or "1m"`,
			`m.toml:22:20: "5" is not a duration; write a number with its unit in quotes, for instance "250ms", "2s" or "1m"`,
			`m.toml:24:15: service[2].batch_share is a string, not a number; write a number without quotes and unit`,
			`m.toml:25:16: service[2].strip_prefix is a string, not a boolean; use true or false`,
			`m.toml:26:9: service[2].hosts is a string, not a list; write a list: ["a", "b"]`,
			`m.toml:27:16: service[2].labels.a is an integer, not a string; write it in quotes`,
			`m.toml:28:7: service[2].key is a string, not a table; write it as a table: { ... }`,
			`m.toml:29:42: "x" is not a duration; write a number with its unit in quotes, for instance "250ms", "2s" or "1m"`,
			`m.toml:31:8: selector[0].name is an integer, not a string; write it in quotes`,
		}},
		{"values", `[[service]]
name = "X y"
hash_slots = 1000
path_prefix = "x"
timeout = "0s"
queue_length = 0
batch_share = 1.5
hosts = ["A:80"]
class = { default = "slow" }
caller = { from = "header" }
deadline = { from = "query", name = "d", default = "5" }
repeatable = { from = "path", name = "x", default = "maybe" }
isolation = { keep = true, yield_after = "1s" }
weights = { churn = -1.0, imbalance = nan }
labels = { name = "n", "a b" = "c", d = "" }
[[target]]
name = "t"
service = "files"
data_centre = "DC"
address = "127.0.0.1"
slots = -1
connections = 0
[[target]]
name = "t2"
service = "files"
data_centre = "dc"
address = "127.0.0.1:0"
[[caller]]
name = "a b"
weight = 0
[[range]]
name = "r"
service = "pages"
from = "b"
to = "a"
`, []string{
			`m.toml:17:3: service "X y": key: a service that is divided by key needs a rule that finds the key; add a rule, for instance key = { from = "path", segment = 0 }`,
			`m.toml:18:8: service "X y": name: "X y" is not a name; use lower-case letters, digits and hyphens, at most 63`,
			`m.toml:19:14: service "X y": hash_slots: 1000 is not allowed; use a power of two from 16 to 65536`,
			`m.toml:20:15: service "X y": path_prefix: "x" is not a path prefix; use a path such as "/X y", at most 256 bytes, without ?, #, % and spaces`,
			`m.toml:21:11: service "X y": timeout: 0s is not allowed; use 1ms to 1h0m0s`,
			`m.toml:22:16: service "X y": queue_length: 0 is not allowed; use 1 to 65536`,
			`m.toml:23:15: service "X y": batch_share: 1.5 is not allowed; use 0 to 1`,
			`m.toml:24:1: service "X y": hosts: "A:80" is not a host name; write the host in lower case and without a port`,
			`m.toml:25:21: service "X y": class.default: "slow" is not a class; use interactive or batch`,
			`m.toml:26:10: service "X y": caller.name: "" is not a name; name the header to read`,
			`m.toml:27:52: service "X y": deadline.default: the deadline of requests that carry none is the service's timeout; set timeout`,
			`m.toml:28:38: service "X y": repeatable.name: a name has no effect where from is path; leave it out, or set from to header or query`,
			`m.toml:28:53: service "X y": repeatable.default: "maybe" is neither true nor false; use "true" or "false", or leave it out so that the method decides`,
			`m.toml:29:13: service "X y": isolation: yield_after has no effect where keep is true; set keep = false, or leave yield_after out`,
			`m.toml:30:21: service "X y": weights.churn: -1 is not allowed; use 0 to 1000`,
			`m.toml:30:39: service "X y": weights.imbalance: NaN is not allowed; use 0 to 1000`,
			`m.toml:31:10: service "X y": labels: "a b" is not a label; use letters, digits and ._-/, at most 63 bytes`,
			`m.toml:31:10: service "X y": labels: "" is not a value; use letters, digits and ._-/:@+, at most 128 bytes`,
			`m.toml:31:10: service "X y": labels: the label "name" is set by the router; use another label`,
			`m.toml:35:15: target "t": data_centre: "DC" is not a name of a data centre; use lower-case letters, digits and hyphens`,
			`m.toml:36:11: target "t": address: "127.0.0.1" is not an address; write host:port, for instance 127.0.0.1:8080`,
			`m.toml:37:9: target "t": slots: -1 is not allowed; use 0 to 65536`,
			`m.toml:38:15: target "t": connections: 0 is not allowed; use 1 to 65536`,
			`m.toml:43:11: target "t2": address: "0" is not a port; write host:port, for instance 127.0.0.1:8080`,
			`m.toml:45:8: caller "a b": name: "a b" is not a caller's name; use letters, digits and ._-:/@+, at most 128 bytes`,
			`m.toml:46:10: caller "a b": weight: 0 is not allowed; use a number above 0 and up to 1000`,
			`m.toml:51:6: range "r": to: to ("a") lies below from ("b"); swap from and to, or leave to out for no upper end`,
		}},
		{"missing fields", "[[service]]\n[[target]]\nname = \"t\"\n", []string{
			"m.toml:17:3: service[2] lacks the field name; add name = ...",
			"m.toml:18:3: target[2] lacks the field service; add service = ...",
			"m.toml:18:3: target[2] lacks the field data_centre; add data_centre = ...",
			"m.toml:18:3: target[2] lacks the field address; add address = ...",
		}},
		{"references and duplicates", `[[range]]
name = "r"
service = "page"
[[selector]]
name = "s"
service = "files"
to_service = "pgaes"
[[service]]
name = "pages"
key = { from = "path" }
`, []string{
			`m.toml:19:11: range "r": service: there is no service "page"; did you mean "pages"?`,
			`m.toml:23:14: selector "s": to_service: there is no service "pgaes"; did you mean "pages"?`,
			`m.toml:25:8: service "pages" is already defined at m.toml:1; give each service a name of its own`,
		}},
		{"overlaps and ambiguity", `[[range]]
name = "a"
service = "pages"
from = "a"
to = "c"
[[range]]
name = "b"
service = "pages"
from = "b"
[[selector]]
name = "s1"
service = "files"
callers = "x = y"
refuse = true
[[selector]]
name = "s2"
service = "files"
callers = "z = y"
refuse = true
[[service]]
name = "docs"
division = "any"
path_prefix = "/files/"
`, []string{
			`m.toml:4:3: service "files": path_prefix: service "docs" has the same prefix and host (service "docs" is at m.toml:36); give one of them another prefix or other hosts`,
			`m.toml:25:8: range "b": from: the keys from "b" on also lie in range "a" (range "a" is at m.toml:17); make the ranges of a service disjoint`,
			`m.toml:31:3: selector "s2": priority: selector "s1" has the same priority 0 and matches some of the same requests (selector "s1" is at m.toml:26); give them different priorities, or conditions that exclude each other`,
		}},
		{"expressions", `[[selector]]
name = "s"
service = "files"
callers = "tier in gold"
keys = """
x ="""
refuse = true
`, []string{
			`m.toml:20:20: selector[0].callers: 'g' is not expected here (column 9 of the expression); write the values as in (a, b)`,
			`m.toml:21:8: selector[0].keys: the expression ends here (column 4 of the expression); give a value of letters, digits and ._-/:@+`,
		}},
		{"placement by caller", `[[selector]]
name = "s"
service = "pages"
callers = "tier = gold"
targets = "name = p1"
`, []string{
			`m.toml:20:11: selector "s": callers: service "pages" is divided by key, so placement must not depend on the caller; hand these callers to another service with to_service, or drop the condition`,
		}},
		{"an invalid service causes no errors in its selectors", `[[service]]
name = "docs"
division = "nay"
[[selector]]
name = "s"
service = "docs"
callers = "tier = gold"
targets = "name = p1"
`, []string{`m.toml:19:12: service[2].division: "nay" is none of by-key, any; use one of these names`}},
		{"a duplicate field and errors after it", "[[caller]]\nname = \"a\"\nname = \"b\"\nweight = \"x\"\n", []string{
			`m.toml:19:1: key name is already defined; correct the TOML`,
			`m.toml:20:10: caller[0].weight is a string, not a number; write a number without quotes and unit`,
		}},
		{"an object skipped because of a syntax error causes no errors in references to it", `[[service]]
name = docs
division = "any"
[[selector]]
name = "s"
service = "docs"
refuse = true
`, []string{
			`m.toml:18:8: unexpected character U+0064 'd' at start of value; correct the TOML`,
		}},
		{"fields after a faulty header are not assigned to the previous table", `[[caller]]
name = "a"
[[target]
name = "t"
service = "files"
`, []string{`m.toml:19:9: expected ']]' to close array table name; correct the TOML`}},
		{"an empty name", "[[caller]]\nname = \"\"\n", []string{
			`m.toml:18:8: caller: name: "" is not a caller's name; use letters, digits and ._-:/@+, at most 128 bytes`,
		}},
		{"a table that is not an array of tables", "[caller]\nname = \"a\"\n", []string{
			`m.toml:17:2: caller is not a list of tables; write [[caller]]`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseModel([]File{{"m.toml", []byte(baseModel + tt.text)}})
			assert.Assert(t, err != nil)
			want := Errors{}
			for _, text := range tt.want {
				want = append(want, Error{Text: text})
			}
			assert.DeepEqual(t, strings.Split(err.Error(), "\n"), strings.Split(want.Error(), "\n"))
		})
	}
	assert.Equal(t, strings.Count(baseModel, "\n"), baseModelLines)
}

func TestLoadModelReadsAllFilesOfAFolder(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	_, err := LoadModel(folder)
	assert.Error(t, err, folder+": the folder holds no file *.toml; name a folder of TOML files")

	write("a.toml", "[[target]]\nname = \"p2\"\nservice = \"pages\"\ndata_centre = \"dc1\"\naddress = \"127.0.0.1:81\"\n")
	write("b.toml", baseModel)
	write("notes.txt", "not read")
	m, err := LoadModel(folder)
	assert.NilError(t, err)
	assert.Assert(t, m.Target("p1") != nil && m.Target("p2") != nil)

	write("c.toml", "[[caller]]\nname = 1\n")
	write("d.toml", "[[target]]\nname = \"p1\"\nservice = \"pages\"\ndata_centre = \"dc1\"\naddress = \"127.0.0.1:81\"\n")
	_, err = LoadModel(folder)
	assert.Error(t, err, strings.Join([]string{
		filepath.Join(folder, "c.toml") + ":2:8: caller[0].name is an integer, not a string; write it in quotes",
		filepath.Join(folder, "d.toml") + ":2:8: target \"p1\" is already defined at " + filepath.Join(folder, "b.toml") + ":7; give each target a name of its own",
	}, "\n"))
}

func FuzzParseModel(f *testing.F) {
	f.Add([]byte(baseModel))
	f.Add([]byte(baseModel + "[[selector]]\nname = \"s\"\nservice = \"files\"\ncallers = \"a in (b\"\nrefuse = true\n"))
	f.Add([]byte("[[service.x]]\n[service]\na.b = 1\nx = [1, {y = [[2]]}]\n\"\" = ''\n"))
	f.Add([]byte("[[target]]\n[[target.labels]]\nx = 1\n[target.grants]\nchecks_tokens = \n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseModel([]File{{"m.toml", data}})
		if (m == nil) != (err != nil) {
			t.Fatalf("model %v, error %v", m, err)
		}
		if err != nil {
			return
		}
		record, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(record); err != nil {
			t.Fatalf("the record of a valid model cannot be decoded: %v", err)
		}
		again, err := ParseModel([]File{{"again.toml", Format(m)}})
		if err != nil || mustEncode(again) != string(record) {
			t.Fatalf("%s\ndoes not parse to the same model: %v", Format(m), err)
		}
	})
}
