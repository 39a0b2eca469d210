// Package memento converts between live types and the explicit types in which state is stored or
// sent to another process. Stored types carry their own field tags, so that renaming a live field
// cannot change what is stored.
package memento

// List converts each element of a list. A nil list stays nil.
func List[A, B any](list []A, convert func(A) B) []B {
	if list == nil {
		return nil
	}
	converted := make([]B, len(list))
	for i, element := range list {
		converted[i] = convert(element)
	}
	return converted
}

// Values converts each value of a map. A nil map stays nil.
func Values[K comparable, A, B any](values map[K]A, convert func(A) B) map[K]B {
	if values == nil {
		return nil
	}
	converted := make(map[K]B, len(values))
	for key, value := range values {
		converted[key] = convert(value)
	}
	return converted
}
