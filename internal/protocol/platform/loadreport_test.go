package platform

import (
	"strings"
	"testing"

	"sandcourse/internal/routing"
)

func TestParseLoadComment(t *testing.T) {
	codec := NewCodec([]string{"x0", "x1"})
	for text, valid := range map[string]bool{"TEXT x0=0.5, x1=2": true, "x0=0.5,x1=2,new=1": true, "TEXT x0=0.5": false,
		"TEXT x0=0.5, x1=nan": false, "TEXT x0=0.5, x1=-1": false, "TEXT x0=0.5, x1=inf": false, "{": false, "": false,
		"TEXT x0=0.5, x1": false, strings.Repeat("x0=1,", 1000) + "x1=1": false} {
		got := codec.ParseLoadComment([]byte(" Server-Load: " + text))
		if (got != nil) != valid || valid && *got != (routing.LoadReport{MemoryShare: 0.5, QueuedWork: 2}) {
			t.Errorf("%.40q is parsed as %v", text, got)
		}
	}
	if codec.ParseLoadComment([]byte(" keep-alive")) != nil || NewCodec(nil).ParseLoadComment([]byte(" Server-Load: TEXT x0=1, x1=1")) != nil {
		t.Error("a comment that is not a load report is parsed as one")
	}
}
