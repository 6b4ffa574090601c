package modelcheck

import (
	"fmt"
	"net/http"
	"reflect"
	"unsafe"

	"sandcourse/internal/config"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/routing"
)

// sharedTypes are the immutable types whose values a copy of a state shares with the original. A state is copied field by
// field, which is faster than replaying its path for each event. A copy must not share mutable data with the original, so
// every pointer is followed unless its type is listed here. The copy panics on a kind of field that cannot be copied exactly,
// because an inexact copy could hide a violation.
var sharedTypes = map[reflect.Type]bool{
	reflect.TypeFor[*config.Deployment](): true, // the deployment is not modified after the start
	reflect.TypeFor[*http.Request]():      true, // requests and response heads are not modified
	reflect.TypeFor[*http.Response]():     true,
	reflect.TypeFor[*protocol.Request]():  true,
	reflect.TypeFor[*chatapi.Codec]():     true,
	reflect.TypeFor[*routing.Config]():    true, // the configuration is not modified after the policy is created
}

// copiedPointers maps each pointer of a state to its copy, so that equal pointers remain equal in the copy.
type copiedPointers map[unsafe.Pointer]reflect.Value

// copyFunc turns the value at to, a shallow copy of the value at from, into a deep copy.
type copyFunc func(to, from unsafe.Pointer, copied copiedPointers)

// copyFuncs maps types to their copy functions; nil means that a shallow copy suffices. Each worker has its own map.
type copyFuncs map[reflect.Type]copyFunc

// copyOf returns an exact copy of a state that shares no mutable data with it.
func (cf copyFuncs) copyOf(s execution) execution {
	copied := copiedPointers{}
	v := reflect.ValueOf(s)
	to, from := reflect.New(v.Type()), reflect.New(v.Type())
	to.Elem().Set(v)
	from.Elem().Set(v)
	cf.forType(v.Type())(to.UnsafePointer(), from.UnsafePointer(), copied)
	return to.Elem().Interface().(execution)
}

// forType returns the function that copies values of a type, or nil.
func (cf copyFuncs) forType(t reflect.Type) copyFunc {
	if c, ok := cf[t]; ok {
		return c
	}
	var built copyFunc
	// Recursive types call their function indirectly until it is built. Types that need no deep copy are never recursive.
	cf[t] = func(to, from unsafe.Pointer, copied copiedPointers) {
		if built != nil {
			built(to, from, copied)
		}
	}
	built = cf.build(t)
	cf[t] = built
	return built
}

func valueAt(t reflect.Type, p unsafe.Pointer) reflect.Value { return reflect.NewAt(t, p).Elem() }

func (cf copyFuncs) build(t reflect.Type) copyFunc {
	if sharedTypes[t] {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return cf.buildPointer(t)
	case reflect.Struct:
		return cf.buildStruct(t)
	case reflect.Array:
		return cf.buildArray(t)
	case reflect.Slice:
		return cf.buildSlice(t)
	case reflect.Map:
		return cf.buildMap(t)
	case reflect.Interface:
		return cf.buildInterface(t)
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		return func(_, from unsafe.Pointer, _ copiedPointers) {
			if !valueAt(t, from).IsZero() {
				panic(fmt.Sprintf("modelcheck: a state contains a %v, which cannot be copied", t))
			}
		}
	}
	return nil
}

func (cf copyFuncs) buildPointer(t reflect.Type) copyFunc {
	elem := cf.forType(t.Elem())
	return func(to, from unsafe.Pointer, copied copiedPointers) {
		if v := valueAt(t, from); !v.IsNil() {
			valueAt(t, to).Set(copied.copyPointer(v, elem))
		}
	}
}

func (cf copyFuncs) buildStruct(t reflect.Type) copyFunc {
	type field struct {
		offset uintptr
		copy   copyFunc
	}
	var fields []field
	for i := range t.NumField() {
		if c := cf.forType(t.Field(i).Type); c != nil {
			fields = append(fields, field{t.Field(i).Offset, c})
		}
	}
	if len(fields) == 0 {
		return nil
	}
	return func(to, from unsafe.Pointer, copied copiedPointers) {
		for _, f := range fields {
			f.copy(unsafe.Add(to, f.offset), unsafe.Add(from, f.offset), copied)
		}
	}
}

func (cf copyFuncs) buildArray(t reflect.Type) copyFunc {
	elem, size, length := cf.forType(t.Elem()), t.Elem().Size(), t.Len()
	if elem == nil {
		return nil
	}
	return func(to, from unsafe.Pointer, copied copiedPointers) {
		for i := range length {
			elem(unsafe.Add(to, uintptr(i)*size), unsafe.Add(from, uintptr(i)*size), copied)
		}
	}
}

func (cf copyFuncs) buildSlice(t reflect.Type) copyFunc {
	elem := cf.forType(t.Elem())
	return func(to, from unsafe.Pointer, copied copiedPointers) {
		v := valueAt(t, from)
		if v.IsNil() {
			return
		}
		out := reflect.MakeSlice(t, v.Len(), v.Len())
		reflect.Copy(out, v)
		for i := 0; elem != nil && i < v.Len(); i++ {
			elem(out.Index(i).Addr().UnsafePointer(), v.Index(i).Addr().UnsafePointer(), copied)
		}
		valueAt(t, to).Set(out)
	}
}

func (cf copyFuncs) buildMap(t reflect.Type) copyFunc {
	key, value := cf.forType(t.Key()), cf.forType(t.Elem())
	return func(to, from unsafe.Pointer, copied copiedPointers) {
		v := valueAt(t, from)
		if v.IsNil() {
			return
		}
		out := reflect.MakeMapWithSize(t, v.Len())
		for entry := v.MapRange(); entry.Next(); {
			out.SetMapIndex(copyValue(entry.Key(), key, copied), copyValue(entry.Value(), value, copied))
		}
		valueAt(t, to).Set(out)
	}
}

func (cf copyFuncs) buildInterface(t reflect.Type) copyFunc {
	return func(to, from unsafe.Pointer, copied copiedPointers) {
		v := valueAt(t, from)
		if v.IsNil() {
			return
		}
		inner := v.Elem()
		valueAt(t, to).Set(copyValue(inner, cf.forType(inner.Type()), copied))
	}
}

// copyValue returns a copy of a value that is not addressable.
func copyValue(v reflect.Value, c copyFunc, copied copiedPointers) reflect.Value {
	if c == nil {
		return v
	}
	to, from := reflect.New(v.Type()), reflect.New(v.Type())
	to.Elem().Set(v)
	from.Elem().Set(v)
	c(to.UnsafePointer(), from.UnsafePointer(), copied)
	return to.Elem()
}

// copyPointer returns a pointer to a copy of the pointer's target. A target with several pointers is copied only once.
func (copied copiedPointers) copyPointer(v reflect.Value, elem copyFunc) reflect.Value {
	if done, ok := copied[v.UnsafePointer()]; ok {
		return done
	}
	out := reflect.New(v.Type().Elem())
	copied[v.UnsafePointer()] = out
	out.Elem().Set(v.Elem())
	if elem != nil {
		elem(out.UnsafePointer(), v.UnsafePointer(), copied)
	}
	return out
}
