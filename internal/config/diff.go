package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Difference is one value that differs between two documents. Old or New is
// empty if the value is absent from that document.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns "path: old -> new", with "absent" in place of a missing value.
func (d Difference) String() string {
	return d.Path + ": " + valueOrAbsent(d.Old) + " -> " + valueOrAbsent(d.New)
}

func valueOrAbsent(text string) string {
	if text == "" {
		return "absent"
	}
	return text
}

// Diff returns the differences between two normalised documents: first the
// scalar values, then the entries of each list in the order of their keys. A
// nil document is treated as empty.
func Diff(old, updated *Document) []Difference {
	if old == nil {
		old = &Document{}
	}
	if updated == nil {
		updated = &Document{}
	}
	var out []Difference
	compare := func(path string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			out = append(out, Difference{path, formatValue(a), formatValue(b)})
		}
	}
	compare("base_models", old.BaseModels, updated.BaseModels)
	compare("load_rate", old.LoadRate, updated.LoadRate)
	compare("journal_shards", old.JournalShards, updated.JournalShards)
	compare("retention", old.Retention, updated.Retention)
	compare("groups_per_pool", old.GroupsPerPool, updated.GroupsPerPool)
	out = append(out, diffList("organisations", old.Organisations, updated.Organisations, func(o Organisation) string { return o.Name })...)
	out = append(out, diffList("adapters", old.Adapters, updated.Adapters, Adapter.Key)...)
	return append(out, diffList("kinds", old.Kinds, updated.Kinds, Kind.Key)...)
}

// diffList compares two lists that are sorted by key. listName is the prefix of
// the paths.
func diffList[T any](listName string, old, updated []T, key func(T) string) []Difference {
	var out []Difference
	for len(old) > 0 || len(updated) > 0 {
		switch {
		case len(updated) == 0 || len(old) > 0 && key(old[0]) < key(updated[0]):
			out = append(out, Difference{Path: listName + "[" + key(old[0]) + "]", Old: formatValue(old[0])})
			old = old[1:]
		case len(old) == 0 || key(updated[0]) < key(old[0]):
			out = append(out, Difference{Path: listName + "[" + key(updated[0]) + "]", New: formatValue(updated[0])})
			updated = updated[1:]
		default:
			out = append(out, diffEntry(listName+"["+key(old[0])+"]", old[0], updated[0])...)
			old, updated = old[1:], updated[1:]
		}
	}
	return out
}

// diffEntry compares two entries with the same key field by field.
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
		out = append(out, Difference{path + "." + jsonFieldName(a.Type().Field(i)), formatValue(a.Field(i).Interface()), formatValue(b.Field(i).Interface())})
	}
	return out
}

// jsonFieldName returns the name of a struct field in JSON.
func jsonFieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// formatValue formats a value for a Difference. A zero value gives an empty
// string; a struct is formatted as its non-zero fields with their names.
func formatValue(value any) string {
	v := reflect.ValueOf(value)
	switch {
	case v.IsZero():
		return ""
	case v.Kind() != reflect.Struct:
		return fmt.Sprint(value)
	}
	var fields []string
	for i := range v.NumField() {
		if text := formatValue(v.Field(i).Interface()); text != "" {
			fields = append(fields, jsonFieldName(v.Type().Field(i))+"="+text)
		}
	}
	return "{" + strings.Join(fields, " ") + "}"
}
