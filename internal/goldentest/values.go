package goldentest

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Values lists the leaves of v that are not zero, one a line, in declared order. It names neither types nor fields, so that it stays
// the same when these are renamed, or grouped. Map keys are data and are listed, in order, before their values.
func Values(v any) string {
	var b strings.Builder
	appendValues(&b, reflect.ValueOf(v))
	return b.String()
}

func appendValues(b *strings.Builder, v reflect.Value) {
	if !v.IsValid() || v.IsZero() {
		return
	}
	if v.CanInterface() {
		switch x := v.Interface().(type) {
		case time.Duration:
			fmt.Fprintln(b, x)
			return
		case time.Time:
			fmt.Fprintln(b, x.Format(time.RFC3339Nano))
			return
		}
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		appendValues(b, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			appendValues(b, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		appendElements(b, v)
	case reflect.Map:
		appendEntries(b, v)
	case reflect.String:
		fmt.Fprintln(b, strconv.Quote(v.String()))
	case reflect.Func, reflect.Chan:
	default:
		fmt.Fprintln(b, v)
	}
}

func appendElements(b *strings.Builder, v reflect.Value) {
	if v.Type().Elem().Kind() == reflect.Uint8 && v.Kind() == reflect.Slice {
		fmt.Fprintf(b, "%q\n", v.Bytes())
		return
	}
	for i := range v.Len() {
		fmt.Fprintf(b, "[%d]\n", i)
		appendValues(b, v.Index(i))
	}
}

func appendEntries(b *strings.Builder, v reflect.Value) {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(x, y reflect.Value) int { return strings.Compare(fmt.Sprint(x), fmt.Sprint(y)) })
	for _, k := range keys {
		fmt.Fprintf(b, "[%v]\n", k)
		appendValues(b, v.MapIndex(k))
	}
}
