package compat_test

import (
	"fmt"
	"reflect"
)

// filled returns a T whose exported fields all hold values other than zero, the
// same in every run: lists and maps have one element.
func filled[T any]() *T {
	v := new(T)
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n)
	return v
}

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Uint8:
		v.SetUint(uint64(*n % 251))
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		fillMap(v, n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	default:
		panic("compat: can't fill a " + v.Kind().String())
	}
}

func fillMap(v reflect.Value, n *int) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	fill(key, n)
	fill(value, n)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}
