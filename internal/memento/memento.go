// Package memento converts lists and maps between the types used in memory and the types in which state is
// stored or sent to another process. The latter have field tags of their own, so that renaming a field in
// memory cannot change what is stored.
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
