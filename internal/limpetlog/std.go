package limpetlog

import (
	"bytes"
	"log"
)

// Std returns a logger of the standard library whose lines become events, for
// servers that log by themselves.
func (l *Logger) Std(e Event) *log.Logger { return log.New(stdWriter{l, e}, "", 0) }

type stdWriter struct {
	logger *Logger
	event  Event
}

// Write implements io.Writer.
func (w stdWriter) Write(line []byte) (int, error) {
	w.logger.Emit(w.event, Value("cause", string(bytes.TrimSpace(line))))
	return len(line), nil
}
