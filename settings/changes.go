package settings

import "slices"

// Changes returns the keys, in alphabetical order, whose values differ in two parsed files of one role.
func Changes(a, b *Settings) []string {
	var keys []string
	for key, text := range a.texts {
		if text != b.texts[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
