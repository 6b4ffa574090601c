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

// sharedTypes are the immutable types, which copies of a state share. A state is copied field by field, so that its
// events need not each replay its path from the start. A copy must share nothing that changes: every pointer is followed
// unless its type is listed here. A kind of field that cannot be copied exactly panics, rather than to allow a false
// proof.
var sharedTypes = map[reflect.Type]bool{
	reflect.TypeFor[*config.Deployment](): true, // fixed from the start
	reflect.TypeFor[*http.Request]():      true, // requests and response heads are read only
	reflect.TypeFor[*http.Response]():     true,
	reflect.TypeFor[*protocol.Request]():  true,
	reflect.TypeFor[*chatapi.Codec]():     true,
	reflect.TypeFor[*routing.Config]():    true, // fixed while a policy lives
}

// copiedPointers are the copies of what pointers of a state point to, so that two pointers to the same stay so.
type copiedPointers map[unsafe.Pointer]reflect.Value

// copyFunc copies what lies at from to what lies at to, which is its flat copy already.
type copyFunc func(to, from unsafe.Pointer, copied copiedPointers)

// copyFuncs are by type; nil where a flat copy is enough. Each worker has its own.
type copyFuncs map[reflect.Type]copyFunc

// copyOf is an exact copy of a state that shares nothing changing with it.
func (cf copyFuncs) copyOf(s execution) execution {
	copied := copiedPointers{}
	v := reflect.ValueOf(s)
	to, from := reflect.New(v.Type()), reflect.New(v.Type())
	to.Elem().Set(v)
	from.Elem().Set(v)
	cf.of(v.Type())(to.UnsafePointer(), from.UnsafePointer(), copied)
	return to.Elem().Interface().(execution)
}

// of is the function that copies values of a type, or nil.
func (cf copyFuncs) of(t reflect.Type) copyFunc {
	if c, ok := cf[t]; ok {
		return c
	}
	var built copyFunc
	// A type may contain itself; until its function is built, calls are indirect. A flat one never contains itself.
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
				panic(fmt.Sprintf("modelcheck: a state holds a %v, which cannot be copied", t))
			}
		}
	}
	return nil
}

func (cf copyFuncs) buildPointer(t reflect.Type) copyFunc {
	elem := cf.of(t.Elem())
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
		if c := cf.of(t.Field(i).Type); c != nil {
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
	elem, size, n := cf.of(t.Elem()), t.Elem().Size(), t.Len()
	if elem == nil {
		return nil
	}
	return func(to, from unsafe.Pointer, copied copiedPointers) {
		for i := range n {
			elem(unsafe.Add(to, uintptr(i)*size), unsafe.Add(from, uintptr(i)*size), copied)
		}
	}
}

func (cf copyFuncs) buildSlice(t reflect.Type) copyFunc {
	elem := cf.of(t.Elem())
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
	key, value := cf.of(t.Key()), cf.of(t.Elem())
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
		valueAt(t, to).Set(copyValue(inner, cf.of(inner.Type()), copied))
	}
}

// copyValue copies one value that has no address.
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

// copyPointer copies what a pointer points to, once.
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
