package limpetrelay

import (
	"net/http"
	"strings"

	"limpetmount.org/internal/limpethttp"
)

// checkTexts returns an error of type Unknown if a header or a text cannot be sent to
// another VM: a message with a string that is not valid UTF-8 is not encoded.
func checkTexts(h http.Header, texts ...string) error {
	for _, text := range texts {
		if err := limpethttp.CheckText("text for another VM", text); err != nil {
			return err
		}
	}
	for name, values := range h {
		for _, value := range values {
			if err := limpethttp.CheckText("header "+name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// causeText returns the text of a cause for another VM's log. It may quote what a server
// sent, which must not keep the message from being sent.
func causeText(text string) string { return strings.ToValidUTF8(text, "\uFFFD") }
