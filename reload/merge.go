package reload

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// tag is the struct tag of fields that may change in a running process.
const tag = "reload"

// change is a field whose value in the file differs from the one in force.
type change struct {
	field      string // name in the file
	reloadable bool
	inForce    string // values as JSON
	loaded     string
}

// merge returns a copy of inForce with the reloadable fields of loaded, and all fields
// that differ. T must be a struct.
func merge[T any](inForce, loaded *T) (*T, []change) {
	next := new(T)
	*next = *inForce
	changes := mergeStruct(reflect.ValueOf(next).Elem(), reflect.ValueOf(loaded).Elem())
	return next, changes
}

// mergeStruct sets the reloadable fields of into, which holds the settings in force, to
// those of loaded.
func mergeStruct(into, loaded reflect.Value) []change {
	var changes []change
	for i := range into.NumField() {
		f := into.Type().Field(i)
		if f.Anonymous {
			changes = append(changes, mergeStruct(into.Field(i), loaded.Field(i))...)
			continue
		}
		before, after := into.Field(i).Interface(), loaded.Field(i).Interface()
		if reflect.DeepEqual(before, after) {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		c := change{field: name, reloadable: f.Tag.Get(tag) == "true", inForce: text(before), loaded: text(after)}
		if c.reloadable {
			into.Field(i).Set(loaded.Field(i))
		}
		changes = append(changes, c)
	}
	return changes
}

// text returns a value as JSON.
func text(value any) string {
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(b)
}
