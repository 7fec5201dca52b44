package rawjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/rawjson"
)

func elements(text string) (raw []string, depths []int, err error) {
	err = rawjson.Array([]byte(text), func(v rawjson.Value) error {
		raw, depths = append(raw, string(v.Raw)), append(depths, v.Depth)
		return nil
	})
	return raw, depths, err
}

// Guards against an element that hides those after it, because it is nested too deeply for
// other decoders or is no JSON.
func TestElementsAreSplitWhateverTheyHold(t *testing.T) {
	g := gomega.NewWithT(t)
	const levels = 200_000
	deep := strings.Repeat(`[{"a":`, levels) + "1" + strings.Repeat("}]", levels)
	raw, depths, err := elements(` [ 1 , "a]\"," , ` + deep + `, tru ,{"b":[}},1e400,{}, []	] `)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(raw).To(gomega.Equal([]string{"1", `"a]\","`, deep, "tru", `{"b":[}}`, "1e400", "{}", "[]"}))
	g.Expect(depths).To(gomega.Equal([]int{0, 0, 2 * levels, 0, 2, 0, 1, 1}))
	raw, _, err = elements("[]")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(raw).To(gomega.BeEmpty())
}

// Guards against a list that was cut off, or is none, and counts as whole.
func TestWhatIsNoListIsRefused(t *testing.T) {
	for _, text := range []string{
		"", " ", "null", "7", `"a"`, "{}", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]]", "[1],", `["a]`, `["a\"]`, "[{]", "[[1]", "[1:2]", "]", "[}",
	} {
		_, _, err := elements(text)
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), text)
	}
	for _, text := range []string{"", "null", "[]", "{", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,}`, `{"a" 1}`, `{a:1}`, `{"a":1 "b":2}`, `{"a":}`, `{"a":1}}`, `{"a:1}`, `{:1}`, `{"\x":1}`} {
		err := rawjson.Object([]byte(text), func(string, rawjson.Value) error { return nil })
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), text)
	}
}

// Guards against texts that are split otherwise than other decoders read them, and against
// ones that make the process panic.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`{"a":1,"b":[{},"x"]}`, `[1,{"a":[2]},"\"]"]`, `{"a":"\u007d"}`, "[[[", `{"\u0061":nul}`, "\xff"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var members map[string]json.RawMessage
		split := map[string]string{}
		err := rawjson.Object(data, func(name string, v rawjson.Value) error {
			split[name] = string(v.Raw)
			return nil
		})
		if json.Unmarshal(data, &members) == nil && members != nil {
			if err != nil || len(members) != len(split) {
				t.Fatalf("%q: %v, %d members instead of %d", data, err, len(split), len(members))
			}
			for name, raw := range members {
				if split[name] != string(raw) {
					t.Fatalf("%q: member %q is %q instead of %q", data, name, split[name], raw)
				}
			}
		}
		var list []json.RawMessage
		raw, _, err := elements(string(data))
		if json.Unmarshal(data, &list) == nil && list != nil {
			if err != nil || len(list) != len(raw) {
				t.Fatalf("%q: %v, %d elements instead of %d", data, err, len(raw), len(list))
			}
			for i := range list {
				if string(list[i]) != raw[i] {
					t.Fatalf("%q: element %d is %q instead of %q", data, i, raw[i], list[i])
				}
			}
		}
	})
}
