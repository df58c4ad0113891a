package comfreydecision_test

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreylog"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// BenchmarkRecord measures the log line for the routing of a generation, the
// longest line that a gateway logs for every request.
func BenchmarkRecord(b *testing.B) {
	l := logrus.New()
	l.SetOutput(comfreylog.New(comfreylog.Config{Out: io.Discard}))
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: comfreylog.TimeLayout})
	r := comfreydecision.New(comfreydecision.Config{Process: "edge-1", Logger: l})
	b.ReportAllocs()
	for b.Loop() {
		r.Record("9c41d07be2a35f68", comfreydecision.KindRoute, comfreyverdict.ReasonLeastLoaded, map[string]any{
			"after-ms": 0, "sent": 0, "offered": 0, "route": "r-iztqh", "version": uint64(13), "replica": "i-345c663d7d",
			"running": 4, "used-tokens": 13107, "report-age-ms": 918, "prompt-tokens": 3938, "expected-tokens": 476,
			"unread-tokens": 2174, "candidates": 37,
		})
	}
}
