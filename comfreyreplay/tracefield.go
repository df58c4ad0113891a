package comfreyreplay

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// field reads and writes one field of a record.
type field struct {
	name     string
	required bool // of a request
	get      func(r *Record) string
	set      func(r *Record, s string) error
}

// fields lists the fields in the order in which they are written. A field
// whose value is empty or zero is left out.
var fields = []field{
	durationField("at", true, func(r *Record) *time.Duration { return &r.At }),
	textField("event", false, func(r *Record) *string { return (*string)(&r.Event) }),
	countField("replica", false, func(r *Record) *int { return &r.Replica }),
	durationField("for", false, func(r *Record) *time.Duration { return &r.For }),
	textField("request", true, func(r *Record) *string { return &r.Request }),
	textField("customer", true, func(r *Record) *string { return &r.Customer }),
	textField("service", true, func(r *Record) *string { return &r.Service }),
	textField("data-centre", true, func(r *Record) *string { return &r.DataCentre }),
	countField("prompt-tokens", true, func(r *Record) *int { return &r.PromptTokens }),
	textField("prefix", false, func(r *Record) *string { return &r.Prefix }),
	countField("prefix-tokens", false, func(r *Record) *int { return &r.PrefixTokens }),
	countField("max-tokens", false, func(r *Record) *int { return &r.MaxTokens }),
	countField("answer-tokens", true, func(r *Record) *int { return &r.AnswerTokens }),
	durationField("patience", false, func(r *Record) *time.Duration { return &r.Patience }),
}

// textField is a field that holds a word.
func textField(name string, required bool, at func(r *Record) *string) field {
	set := func(r *Record, s string) error {
		*at(r) = s
		return nil
	}
	return field{name: name, required: required, get: func(r *Record) string { return *at(r) }, set: set}
}

// countField is a field that holds a whole number of at least zero.
func countField(name string, required bool, at func(r *Record) *int) field {
	get := func(r *Record) string {
		if *at(r) == 0 && !required {
			return ""
		}
		return strconv.Itoa(*at(r))
	}
	set := func(r *Record, s string) error {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return errors.New("want a whole number of at least 0, not " + strconv.Quote(s))
		}
		*at(r) = n
		return nil
	}
	return field{name: name, required: required, get: get, set: set}
}

// durationField is a field that holds a duration such as 1.5s, of at least
// zero.
func durationField(name string, required bool, at func(r *Record) *time.Duration) field {
	get := func(r *Record) string {
		if *at(r) == 0 && !required {
			return ""
		}
		return at(r).String()
	}
	set := func(r *Record, s string) error {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 {
			return errors.New("want a duration such as 1.5s, not " + strconv.Quote(s))
		}
		*at(r) = d
		return nil
	}
	return field{name: name, required: required, get: get, set: set}
}

// fieldNamed returns the field called name.
func fieldNamed(name string) (field, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

// splitField splits "name=value". It reports false if either part is empty.
func splitField(s string) (name, value string, ok bool) {
	name, value, ok = strings.Cut(s, "=")
	return name, value, ok && name != "" && value != ""
}
