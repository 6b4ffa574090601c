package modelcheck

import (
	"fmt"
	"net/http"
	"reflect"
	"unsafe"

	"sandcourse/internal/config"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chatapi"
)

// A state is copied field by field, so that the events of one state need not each play its path from the
// start again. A copy must share nothing that changes: every pointer is followed, and what is shared is
// listed here. A kind of field that cannot be copied exactly ends the program instead of a false proof.
var shared = map[reflect.Type]bool{
	reflect.TypeFor[*config.Deployment](): true, // fixed from the start
	reflect.TypeFor[*http.Request]():      true, // a call and an answer's head are read only
	reflect.TypeFor[*http.Response]():     true,
	reflect.TypeFor[*protocol.Request]():  true,
	reflect.TypeFor[*chatapi.Codec]():     true,
	reflect.TypeFor[map[string]any]():     true, // the module's facts
}

type seenPointers map[unsafe.Pointer]reflect.Value

// copier copies what lies at from to what lies at to, which is its flat copy already.
type copier func(to, from unsafe.Pointer, seen seenPointers)

// copiers are by type; nil where a flat copy is enough. Each worker has its own.
type copiers map[reflect.Type]copier

// copyOf is an exact copy of a state that shares nothing changing with it.
func (cs copiers) copyOf(s state) state {
	seen := seenPointers{}
	v := reflect.ValueOf(s)
	to, from := reflect.New(v.Type()), reflect.New(v.Type())
	to.Elem().Set(v)
	from.Elem().Set(v)
	cs.of(v.Type())(to.UnsafePointer(), from.UnsafePointer(), seen)
	return to.Elem().Interface().(state)
}

func (cs copiers) of(t reflect.Type) copier {
	if c, ok := cs[t]; ok {
		return c
	}
	var made copier
	// A type may hold itself; until it is made, calls go the long way round. A flat one never holds itself.
	cs[t] = func(to, from unsafe.Pointer, seen seenPointers) {
		if made != nil {
			made(to, from, seen)
		}
	}
	made = cs.make(t)
	cs[t] = made
	return made
}

func at(t reflect.Type, p unsafe.Pointer) reflect.Value { return reflect.NewAt(t, p).Elem() }

func (cs copiers) make(t reflect.Type) copier {
	if shared[t] {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		elem := cs.of(t.Elem())
		return func(to, from unsafe.Pointer, seen seenPointers) {
			v := at(t, from)
			if v.IsNil() {
				return
			}
			at(t, to).Set(seen.pointer(v, elem))
		}
	case reflect.Struct:
		type field struct {
			offset uintptr
			copy   copier
		}
		var fields []field
		for i := range t.NumField() {
			if c := cs.of(t.Field(i).Type); c != nil {
				fields = append(fields, field{t.Field(i).Offset, c})
			}
		}
		if len(fields) == 0 {
			return nil
		}
		return func(to, from unsafe.Pointer, seen seenPointers) {
			for _, f := range fields {
				f.copy(unsafe.Add(to, f.offset), unsafe.Add(from, f.offset), seen)
			}
		}
	case reflect.Array:
		elem, size, n := cs.of(t.Elem()), t.Elem().Size(), t.Len()
		if elem == nil {
			return nil
		}
		return func(to, from unsafe.Pointer, seen seenPointers) {
			for i := range n {
				elem(unsafe.Add(to, uintptr(i)*size), unsafe.Add(from, uintptr(i)*size), seen)
			}
		}
	case reflect.Slice:
		elem := cs.of(t.Elem())
		return func(to, from unsafe.Pointer, seen seenPointers) {
			v := at(t, from)
			if v.IsNil() {
				return
			}
			out := reflect.MakeSlice(t, v.Len(), v.Len())
			reflect.Copy(out, v)
			for i := 0; elem != nil && i < v.Len(); i++ {
				elem(out.Index(i).Addr().UnsafePointer(), v.Index(i).Addr().UnsafePointer(), seen)
			}
			at(t, to).Set(out)
		}
	case reflect.Map:
		key, value := cs.of(t.Key()), cs.of(t.Elem())
		return func(to, from unsafe.Pointer, seen seenPointers) {
			v := at(t, from)
			if v.IsNil() {
				return
			}
			out := reflect.MakeMapWithSize(t, v.Len())
			for row := v.MapRange(); row.Next(); {
				out.SetMapIndex(single(row.Key(), key, seen), single(row.Value(), value, seen))
			}
			at(t, to).Set(out)
		}
	case reflect.Interface:
		return func(to, from unsafe.Pointer, seen seenPointers) {
			v := at(t, from)
			if v.IsNil() {
				return
			}
			inner := v.Elem()
			at(t, to).Set(single(inner, cs.of(inner.Type()), seen))
		}
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		return func(_, from unsafe.Pointer, _ seenPointers) {
			if !at(t, from).IsZero() {
				panic(fmt.Sprintf("prove: a state holds a %v, which cannot be copied", t))
			}
		}
	}
	return nil
}

// single copies one value that has no address.
func single(v reflect.Value, c copier, seen seenPointers) reflect.Value {
	if c == nil {
		return v
	}
	to, from := reflect.New(v.Type()), reflect.New(v.Type())
	to.Elem().Set(v)
	from.Elem().Set(v)
	c(to.UnsafePointer(), from.UnsafePointer(), seen)
	return to.Elem()
}

func (seen seenPointers) pointer(v reflect.Value, elem copier) reflect.Value {
	if got, ok := seen[v.UnsafePointer()]; ok {
		return got
	}
	out := reflect.New(v.Type().Elem())
	seen[v.UnsafePointer()] = out
	out.Elem().Set(v.Elem())
	if elem != nil {
		elem(out.UnsafePointer(), v.UnsafePointer(), seen)
	}
	return out
}
