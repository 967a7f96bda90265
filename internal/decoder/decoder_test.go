package decoder

import (
	"encoding/json"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

type entry struct {
	Port int8 `json:"port"`
}

type document struct {
	Revision uint64            `json:"revision"`
	Entries  map[string]entry  `json:"entries"`
	List     []entry           `json:"list"`
	Names    map[string]string `json:"names"`
	Body     []byte            `json:"body"`
	Nested   struct {
		Rates map[string]float64 `json:"rates"`
	} `json:"nested"`
	hidden int
}

// keys returns the paths of the entries that were left out, in order.
func keys(odd []*EntryError) []string {
	var paths []string
	for _, e := range odd {
		paths = append(paths, e.Entry)
	}
	slices.Sort(paths)
	return paths
}

// One odd entry made a whole document unreadable.
func TestDecodeLeavesOutOddEntries(t *testing.T) {
	tests := []struct {
		name, body string
		odd        []string
		want       document
	}{
		{"none", `{"revision":3,"entries":{"a":{"port":1}},"body":"AQ=="}`, nil, document{Revision: 3, Entries: map[string]entry{"a": {1}}, Body: []byte{1}}},
		{"a number too large", `{"revision":3,"entries":{"a":{"port":1},"b":{"port":300}}}`, []string{"entries/b"}, document{Revision: 3, Entries: map[string]entry{"a": {1}}}},
		{"another type", `{"entries":{"a":7,"b":{"port":2}},"body":"AQ=="}`, []string{"entries/a"}, document{Entries: map[string]entry{"b": {2}}, Body: []byte{1}}},
		{"in a list", `{"list":[{"port":1},{"port":"x"},{"port":3}]}`, []string{"list/1"}, document{List: []entry{{1}, {3}}}},
		{"two lists", `{"list":[[]],"names":{"a":"b","c":{}}}`, []string{"list/0", "names/c"}, document{Names: map[string]string{"a": "b"}}},
		{"a list that is null", `{"list":null,"names":{"c":1}}`, []string{"names/c"}, document{Names: map[string]string{}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := document{Revision: 99}
			if test.odd == nil {
				got = document{}
			}
			odd, err := Decode([]byte(test.body), &got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, keys(odd), qt.DeepEquals, test.odd)
			gotText, err := json.Marshal(got)
			qt.Assert(t, err, qt.IsNil)
			wantText, err := json.Marshal(test.want)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(gotText), qt.Equals, string(wantText))
			qt.Assert(t, got.hidden, qt.Equals, 0)
		})
	}
}

func TestDecodeNestedAndTopLevelLists(t *testing.T) {
	var d document
	odd, err := Decode([]byte(`{"nested":{"rates":{"a":1.5,"b":1e999}}}`), &d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, keys(odd), qt.DeepEquals, []string{"nested/rates/b"})
	qt.Assert(t, d.Nested.Rates, qt.DeepEquals, map[string]float64{"a": 1.5})
	var m map[string]entry
	odd, err = Decode([]byte(`{"a":{"port":1},"b":[]}`), &m)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, keys(odd), qt.DeepEquals, []string{"b"})
	qt.Assert(t, m, qt.DeepEquals, map[string]entry{"a": {1}})
}

func TestDecodeRefusesWhatItCannotUse(t *testing.T) {
	for _, body := range []string{``, `{`, `[]`, `{"revision":"x"}`, `{"entries":[]}`, `{"body":7}`} {
		var d document
		_, err := Decode([]byte(body), &d)
		qt.Check(t, err, qt.Not(qt.IsNil), qt.Commentf("%s", body))
	}
}

func FuzzDecode(f *testing.F) {
	for _, body := range []string{`{"revision":1,"entries":{"a":{"port":1},"b":[]},"list":[{},7]}`, `{"nested":{"rates":{"a":1e999}}}`, `null`, `[]`, `{"names":{"a":{}}}`} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var d, whole document
		odd, err := Decode(body, &d)
		if json.Unmarshal(body, &whole) == nil && (err != nil || len(odd) > 0) {
			t.Fatalf("decoded with %v, left out %v; encoding/json reads it whole", err, odd)
		}
	})
}
