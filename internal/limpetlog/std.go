package limpetlog

import (
	"bytes"
	"log"
)

// StdLogger returns a standard library logger that writes each line as event e,
// for example for http.Server.ErrorLog.
func (l *Logger) StdLogger(e Event) *log.Logger { return log.New(stdWriter{l, e}, "", 0) }

type stdWriter struct {
	logger *Logger
	event  Event
}

// Write implements io.Writer.
func (w stdWriter) Write(line []byte) (int, error) {
	w.logger.Emit(w.event, Value("cause", string(bytes.TrimSpace(line))))
	return len(line), nil
}
