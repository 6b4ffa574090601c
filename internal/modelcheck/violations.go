package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// violationLog is the violations of an execution, each once. A text begins with the name of its property.
type violationLog struct{ texts []string }

func (l *violationLog) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(l.texts, text) {
		l.texts = append(l.texts, text)
	}
}

// propertyName is the property that a violation's text begins with.
func propertyName(violation string) string {
	name, _, _ := strings.Cut(violation, " ")
	return name
}
