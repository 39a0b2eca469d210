package front

import (
	"log"

	"go.uber.org/zap"
)

// quiet is a logger for what net/http has to say of single client sessions:
// at the default level, nothing.
func quiet(to *zap.Logger) *log.Logger {
	l, err := zap.NewStdLogAt(to, zap.DebugLevel)
	if err != nil { // only for a level that is none
		return zap.NewStdLog(to)
	}
	return l
}
