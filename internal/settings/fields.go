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

// maxNameLength is the largest length of a name, in bytes. Names are parts of
// keys in the store.
const maxNameLength = 64

// field is one setting: the struct field that stores its value, and its rules.
type field struct {
	key   string // "section.name"
	value reflect.Value
	tag   reflect.StructTag
}

// fieldsOf returns all settings of s by section and name.
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

// set parses text into the field. It returns an empty string on success, and
// otherwise a description of the allowed values.
func (f field) set(text string) string {
	switch {
	case f.value.Type() == durationType:
		return setNumber(f, text, durationSyntax, parseDuration)
	case f.value.Type() == bytesType:
		return setNumber(f, text, bytesSyntax, parseBytes)
	case f.value.Kind() == reflect.Int:
		return setNumber(f, text, countSyntax, parseCount)
	default:
		return f.setString(text)
	}
}

func parseCount(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// setNumber parses text into an integer field and checks it against the min and
// max tags. syntax describes the expected form of the text.
func setNumber[T ~int | ~int64](f field, text, syntax string, parse func(string) (T, bool)) string {
	allowed := fmt.Sprintf("%s, from %s to %s", syntax, f.tag.Get("min"), f.tag.Get("max"))
	value, ok := parse(text)
	minimum, _ := parse(f.tag.Get("min"))
	maximum, _ := parse(f.tag.Get("max"))
	if !ok || value < minimum || value > maximum {
		return allowed
	}
	f.value.SetInt(int64(value))
	return ""
}

// setString checks text against the allowed and format tags and stores it.
func (f field) setString(text string) string {
	if allowedValues := f.tag.Get("allowed"); allowedValues != "" && !contains(strings.Split(allowedValues, ","), text) {
		return "one of " + strings.ReplaceAll(allowedValues, ",", ", ")
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

func contains(values []string, text string) bool {
	for _, value := range values {
		if value == text {
			return true
		}
	}
	return false
}

// validAddress reports whether text is an IP address and port. It rejects host
// names and unspecified addresses, because other machines connect to the
// address exactly as it is written.
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
