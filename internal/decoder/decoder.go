// Package decoder decodes JSON documents whose lists come from other processes, or from
// this one in an earlier build. An entry that cannot be decoded is left out and
// reported, and the others are used.
//
// # Usage
//
//	odd, err := decoder.Decode(body, &topology)
//	for _, e := range odd {
//		log.Warn(logger.EventEntryIgnored, zap.Error(e))
//	}
//
// The entries are the elements of maps and slices. A document without an odd entry is
// decoded by encoding/json alone.
package decoder

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// EntryError is an entry that was left out.
type EntryError struct {
	// Entry is the path of the entry, such as "upstreams/i-1".
	Entry string
	Err   error
}

// Error implements error.
func (e *EntryError) Error() string { return fmt.Sprintf("decoder: entry %s: %v", e.Entry, e.Err) }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Err }

// Decode decodes body into v, a pointer to a struct, map or slice. It returns the entries
// that were left out, and an error if the document cannot be used at all: it is not valid
// JSON, or a field outside the lists cannot be decoded.
func Decode(body []byte, v any) ([]*EntryError, error) {
	whole := json.Unmarshal(body, v)
	if whole == nil {
		return nil, nil
	}
	if !json.Valid(body) {
		return nil, whole
	}
	// The first attempt may have left half of the document behind.
	target := reflect.ValueOf(v).Elem()
	target.SetZero()
	var d entryDecoder
	if err := d.decode(nil, body, target); err != nil {
		return nil, err
	}
	return d.odd, nil
}

// entryDecoder decodes the lists of a document entry by entry.
type entryDecoder struct {
	odd []*EntryError
}

// decode decodes body into a value at a path. It returns an error if the value is no
// list and cannot be decoded.
func (d *entryDecoder) decode(path []string, body []byte, v reflect.Value) error {
	switch {
	case implementsUnmarshaler(v) || string(body) == "null":
		return json.Unmarshal(body, v.Addr().Interface())
	case v.Kind() == reflect.Struct:
		return d.decodeStruct(path, body, v)
	case v.Kind() == reflect.Map && v.Type().Key().Kind() == reflect.String:
		return d.decodeMap(path, body, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() != reflect.Uint8:
		return d.decodeSlice(path, body, v)
	}
	return json.Unmarshal(body, v.Addr().Interface())
}

func implementsUnmarshaler(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(json.Unmarshaler)
	return ok
}

// decodeStruct decodes the fields that have a JSON name, and those of embedded structs.
func (d *entryDecoder) decodeStruct(path []string, body []byte, v reflect.Value) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return err
	}
	for _, f := range reflect.VisibleFields(v.Type()) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "" {
			continue
		}
		raw, ok := memberOf(fields, name)
		if !ok {
			continue
		}
		if err := d.decode(append(slices.Clone(path), name), raw, v.FieldByIndex(f.Index)); err != nil {
			return fmt.Errorf("field %s: %w", name, err)
		}
	}
	return nil
}

// memberOf returns the member with a name. Like encoding/json, it prefers an exact match
// and accepts another case.
func memberOf(fields map[string]json.RawMessage, name string) (json.RawMessage, bool) {
	if raw, ok := fields[name]; ok {
		return raw, true
	}
	for key, raw := range fields {
		if strings.EqualFold(key, name) {
			return raw, true
		}
	}
	return nil, false
}

func (d *entryDecoder) decodeMap(path []string, body []byte, v reflect.Value) error {
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(body, &entries); err != nil {
		return err
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(entries)))
	for key, raw := range entries {
		entry := reflect.New(v.Type().Elem())
		if err := json.Unmarshal(raw, entry.Interface()); err != nil {
			d.leaveOut(path, key, err)
			continue
		}
		v.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), entry.Elem())
	}
	return nil
}

func (d *entryDecoder) decodeSlice(path []string, body []byte, v reflect.Value) error {
	var entries []json.RawMessage
	if err := json.Unmarshal(body, &entries); err != nil {
		return err
	}
	for i, raw := range entries {
		entry := reflect.New(v.Type().Elem())
		if err := json.Unmarshal(raw, entry.Interface()); err != nil {
			d.leaveOut(path, fmt.Sprint(i), err)
			continue
		}
		v.Set(reflect.Append(v, entry.Elem()))
	}
	return nil
}

func (d *entryDecoder) leaveOut(path []string, key string, err error) {
	d.odd = append(d.odd, &EntryError{Entry: strings.Join(append(slices.Clone(path), key), "/"), Err: err})
}
