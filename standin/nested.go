package standin

import (
	"bytes"
	"strconv"
	"strings"
)

// Nested is a value in an object in whose place the store sends one that is nested deeper than encoding/json decodes.
const Nested = "nested deeply"

// nestedDepth is the depth of that value.
const nestedDepth = 20_000

// nestedValue is sent in the place of Nested.
var nestedValue = []byte(strings.Repeat(`{"a":[`, nestedDepth/2) + strings.Repeat(`]}`, nestedDepth/2))

// replaceNested replaces Nested in encoded JSON.
func replaceNested(data []byte) []byte {
	return bytes.ReplaceAll(data, []byte(strconv.Quote(Nested)), nestedValue)
}
