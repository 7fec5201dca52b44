package frontend

import (
	"encoding/json"
	"testing"

	"cicadaslip/internal/model"
)

// Guards against bodies that cause a panic, or from which runnerBody makes a body with
// another model, token limit or stream mode than the validated one.
func FuzzCompletionBody(f *testing.F) {
	f.Add([]byte(`{"model":"a/b@1","prompt":"x","max_tokens":3,"stream":true}`), false)
	f.Add([]byte(`{"model":"a/b@1","MODEL":"c/d@2","prompt":"x","Stream":false}`), false)
	f.Add([]byte(`{"model":"a/b@1","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"a/b@1","prompt":null,"n":1e9}`), false)
	limits := Limits{}.withDefaults()
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, failure := parseCompletion(body, chat, limits)
		if failure != nil {
			return
		}
		out, err := c.runnerBody(2)
		if err != nil {
			t.Fatal(err)
		}
		var fields completionFields
		if err := json.Unmarshal(out, &fields); err != nil {
			t.Fatal(err)
		}
		named, err := model.ParseAdapterVersion(fields.Model)
		if err != nil || named != c.adapter || !fields.Stream || *fields.MaxTokens != c.maxTokens {
			t.Fatalf("%s became %s", body, out)
		}
	})
}

// Guards against keys that are accepted but changed or exceed the size limit, and
// against a worth or a deadline outside its range.
func FuzzKey(f *testing.F) {
	f.Add("k1")
	f.Add("a key")
	f.Add("../x\x00")
	f.Fuzz(func(t *testing.T, text string) {
		key, failure := parseKey(text)
		if failure == nil && (key != text || len(key) == 0 || len(key) > maxKeyBytes) {
			t.Fatalf("%q became %q", text, key)
		}
		if _, failure := parseWorth(text, model.Kind{Worth: 2}); failure == nil {
			if w, _ := parseWorth(text, model.Kind{Worth: 2}); !(w > 0 && w <= 2) {
				t.Fatalf("worth %v", w)
			}
		}
		limits := Limits{}.withDefaults()
		if d, failure := parseDeadline(text, model.Kind{}, limits); failure == nil && (d <= 0 || d > limits.MaxDeadline) {
			t.Fatalf("deadline %v", d)
		}
	})
}
