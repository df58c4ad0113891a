package comfreyconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// field parses the value of one key of an entry and sets it in a T.
type field[T any] struct {
	key    string
	isList bool
	// fix describes the expected value; a fault gives it if set returns an
	// error.
	fix string
	set func(t *T, v value) error
}

// textField is a field whose value is a text of 1 to max bytes.
func textField[T any](key string, max int, at func(*T) *string) field[T] {
	return field[T]{key: key, fix: fmt.Sprintf("write a text of 1 to %d bytes", max), set: func(t *T, v value) error {
		if v.scalar == "" || len(v.scalar) > max {
			return fmt.Errorf("the text has %d bytes", len(v.scalar))
		}
		*at(t) = v.scalar
		return nil
	}}
}

// listField is a field whose value is a list of distinct non-empty texts.
func listField[T any](key, fix string, at func(*T) *[]string) field[T] {
	return field[T]{key: key, isList: true, fix: fix, set: func(t *T, v value) error {
		seen := map[string]bool{}
		for _, s := range v.list {
			if s == "" || seen[s] {
				return fmt.Errorf("item %q is empty or listed twice", s)
			}
			seen[s] = true
		}
		*at(t) = v.list
		return nil
	}}
}

// boolField is a field whose value is true or false.
func boolField[T any](key string, at func(*T) *bool) field[T] {
	return field[T]{key: key, fix: "write true or false", set: func(t *T, v value) error {
		if v.scalar != "true" && v.scalar != "false" {
			return fmt.Errorf("%q is neither true nor false", v.scalar)
		}
		*at(t) = v.scalar == "true"
		return nil
	}}
}

// intField is a field whose value is an integer from min to max.
func intField[T any](key string, min, max int, at func(*T) *int) field[T] {
	return field[T]{key: key, fix: fmt.Sprintf("write a whole number from %d to %d", min, max), set: func(t *T, v value) error {
		n, err := strconv.Atoi(v.scalar)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v.scalar)
		}
		if n < min || n > max {
			return fmt.Errorf("%d is out of range", n)
		}
		*at(t) = n
		return nil
	}}
}

// numberField is a field whose value is a number from min to max.
func numberField[T any](key string, min, max float64, at func(*T) *float64) field[T] {
	return field[T]{key: key, fix: fmt.Sprintf("write a number from %v to %v", min, max), set: func(t *T, v value) error {
		n, err := strconv.ParseFloat(v.scalar, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", v.scalar)
		}
		if !(n >= min && n <= max) {
			return fmt.Errorf("%v is out of range", n)
		}
		*at(t) = n
		return nil
	}}
}

// durationField is a field whose value is a duration from min to max.
func durationField[T any](key string, min, max time.Duration, at func(*T) *time.Duration) field[T] {
	return field[T]{key: key, fix: fmt.Sprintf("write a duration from %v to %v, such as 30s", min, max), set: func(t *T, v value) error {
		d, err := time.ParseDuration(v.scalar)
		if err != nil {
			return fmt.Errorf("%q is not a duration", v.scalar)
		}
		if d < min || d > max {
			return fmt.Errorf("%v is out of range", d)
		}
		*at(t) = d
		return nil
	}}
}

// enumField is a field whose value is the name of one of the constants in all.
func enumField[T any, E fmt.Stringer](key string, all []E, at func(*T) *E) field[T] {
	var names []string
	for _, e := range all {
		names = append(names, e.String())
	}
	return field[T]{key: key, fix: "use one of: " + strings.Join(names, ", "), set: func(t *T, v value) error {
		for _, e := range all {
			if e.String() == v.scalar {
				*at(t) = e
				return nil
			}
		}
		return fmt.Errorf("unknown value %q", v.scalar)
	}}
}

// applyFields sets the fields of t from the values of e and returns a fault for
// each invalid value.
func applyFields[T any](t *T, path string, e entry, fields []field[T]) []Fault {
	var s []Fault
	for _, f := range fields {
		v, ok := e.values.get(f.key)
		if !ok {
			continue
		}
		if err := f.set(t, v); err != nil {
			s = append(s, Fault{File: v.file, Line: v.line, Key: joinPath(path, f.key), Message: err.Error(), Fix: f.fix})
		}
	}
	return s
}
