package configcheck

import "reflect"

// changedFields returns the names of the fields of a struct that differ.
func changedFields(before, after any) []string {
	var names []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, a.Type().Field(i).Name)
		}
	}
	return names
}
