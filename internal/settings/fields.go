package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[Bytes]()
)

// maxNameLength bounds names, in bytes. They are parts of keys in the store.
const maxNameLength = 64

// field is one setting: its place in the struct and its rules.
type field struct {
	key   string // "section.name"
	value reflect.Value
	tag   reflect.StructTag
}

// fieldsOf returns all settings of s by section, in the order of the structs.
func fieldsOf(s *Settings) map[string]map[string]field {
	sections := map[string]map[string]field{}
	root := reflect.ValueOf(s).Elem()
	for i := range root.NumField() {
		section := root.Type().Field(i).Tag.Get("yaml")
		sections[section] = map[string]field{}
		for j := range root.Field(i).NumField() {
			tag := root.Field(i).Type().Field(j).Tag
			name := tag.Get("yaml")
			sections[section][name] = field{section + "." + name, root.Field(i).Field(j), tag}
		}
	}
	return sections
}

// set parses text into the field. The result is empty or says what is allowed.
func (f field) set(text string) string {
	switch {
	case f.value.Type() == durationType:
		return setOrdered(f, text, durationForm, parseDuration)
	case f.value.Type() == bytesType:
		return setOrdered(f, text, bytesForm, parseBytes)
	case f.value.Kind() == reflect.Int:
		return setOrdered(f, text, countForm, parseCount)
	default:
		return f.setString(text)
	}
}

func parseCount(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil
}

func setOrdered[T ~int | ~int64](f field, text, form string, parse func(string) (T, bool)) string {
	allowed := fmt.Sprintf("%s, from %s to %s", form, f.tag.Get("min"), f.tag.Get("max"))
	value, ok := parse(text)
	low, _ := parse(f.tag.Get("min"))
	high, _ := parse(f.tag.Get("max"))
	if !ok || value < low || value > high {
		return allowed
	}
	f.value.SetInt(int64(value))
	return ""
}

func (f field) setString(text string) string {
	if words := f.tag.Get("allowed"); words != "" && !contains(strings.Split(words, ","), text) {
		return "one of " + strings.ReplaceAll(words, ",", ", ")
	}
	switch f.tag.Get("format") {
	case "address":
		if text != "" && !validAddress(text) {
			return "ip:port with a specific IP address, such as 10.1.0.4:8080"
		}
	case "name":
		if !ValidName(text) {
			return fmt.Sprintf("1 to %d of a-z, 0-9, '-', '_' and '.', beginning with a letter or digit", maxNameLength)
		}
	}
	f.value.SetString(text)
	return ""
}

func contains(words []string, text string) bool {
	for _, word := range words {
		if word == text {
			return true
		}
	}
	return false
}

// validAddress refuses host names and unspecified addresses, because other
// machines connect to the address as it is written.
func validAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && !address.Addr().IsUnspecified()
}

// ValidName reports whether text can be the name of a VM, data centre or region.
func ValidName(text string) bool {
	if text == "" || len(text) > maxNameLength || strings.ContainsAny(text[:1], "-_.") {
		return false
	}
	return strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789-_.") == ""
}
