package limpethttp

import (
	"encoding/json"
	"unicode/utf8"

	"limpetmount.org/internal/limpeterror"
)

// CheckText returns an error of type Unknown for a text of a peer that is not valid UTF-8.
// HTTP allows such bytes in headers and bodies, but neither JSON nor a message between VMs
// can hold them: encoding/json replaces them by U+FFFD without an error, and protobuf does
// not encode the message. What names the text in the error.
func CheckText(what, text string) error {
	if utf8.ValidString(text) {
		return nil
	}
	return errNoText(what, len(text))
}

// CheckBytes is CheckText for a text that is not copied into a string.
func CheckBytes(what string, text []byte) error {
	if utf8.Valid(text) {
		return nil
	}
	return errNoText(what, len(text))
}

func errNoText(what string, length int) error {
	return limpeterror.Unknown.New("%s: %d bytes that are not valid UTF-8", what, length)
}

// DecodeJSON decodes a JSON document of a peer, all of which is UTF-8 (RFC 8259, 8.1).
// json.Unmarshal takes any bytes in strings.
func DecodeJSON(data []byte, v any) error {
	if err := CheckBytes("JSON document", data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
