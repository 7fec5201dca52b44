package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Difference is one value that differs between two documents. An absent value
// is empty.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns "path: old -> new", with "absent" for a missing value.
func (d Difference) String() string {
	return d.Path + ": " + orAbsent(d.Old) + " -> " + orAbsent(d.New)
}

func orAbsent(text string) string {
	if text == "" {
		return "absent"
	}
	return text
}

// Diff returns the differences between two normalised documents in order of
// their paths. A nil document is empty.
func Diff(old, updated *Document) []Difference {
	if old == nil {
		old = &Document{}
	}
	if updated == nil {
		updated = &Document{}
	}
	var out []Difference
	scalar := func(path string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			out = append(out, Difference{path, show(a), show(b)})
		}
	}
	scalar("base_models", old.BaseModels, updated.BaseModels)
	scalar("load_rate", old.LoadRate, updated.LoadRate)
	scalar("journal_shards", old.JournalShards, updated.JournalShards)
	scalar("retention", old.Retention, updated.Retention)
	scalar("groups_per_pool", old.GroupsPerPool, updated.GroupsPerPool)
	out = append(out, diffList("organisations", old.Organisations, updated.Organisations, func(o Organisation) string { return o.Name })...)
	out = append(out, diffList("adapters", old.Adapters, updated.Adapters, Adapter.Key)...)
	return append(out, diffList("kinds", old.Kinds, updated.Kinds, Kind.Key)...)
}

// diffList compares two lists that are in order of their keys.
func diffList[T any](list string, old, updated []T, key func(T) string) []Difference {
	var out []Difference
	for len(old) > 0 || len(updated) > 0 {
		switch {
		case len(updated) == 0 || len(old) > 0 && key(old[0]) < key(updated[0]):
			out = append(out, Difference{Path: list + "[" + key(old[0]) + "]", Old: show(old[0])})
			old = old[1:]
		case len(old) == 0 || key(updated[0]) < key(old[0]):
			out = append(out, Difference{Path: list + "[" + key(updated[0]) + "]", New: show(updated[0])})
			updated = updated[1:]
		default:
			out = append(out, diffEntry(list+"["+key(old[0])+"]", old[0], updated[0])...)
			old, updated = old[1:], updated[1:]
		}
	}
	return out
}

func diffEntry(path string, old, updated any) []Difference {
	if reflect.DeepEqual(old, updated) {
		return nil
	}
	var out []Difference
	a, b := reflect.ValueOf(old), reflect.ValueOf(updated)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		out = append(out, Difference{path + "." + fieldName(a.Type().Field(i)), show(a.Field(i).Interface()), show(b.Field(i).Interface())})
	}
	return out
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// show formats a value; the fields of an entry are listed by name.
func show(value any) string {
	v := reflect.ValueOf(value)
	switch {
	case v.IsZero():
		return ""
	case v.Kind() != reflect.Struct:
		return fmt.Sprint(value)
	}
	var fields []string
	for i := range v.NumField() {
		if text := show(v.Field(i).Interface()); text != "" {
			fields = append(fields, fieldName(v.Type().Field(i))+"="+text)
		}
	}
	return "{" + strings.Join(fields, " ") + "}"
}
