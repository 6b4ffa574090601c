package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// violationLog collects the distinct violations of an execution. Each text begins with the name of the property.
type violationLog struct{ texts []string }

func (l *violationLog) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(l.texts, text) {
		l.texts = append(l.texts, text)
	}
}

// propertyName returns the name of the violated property, with which the text begins.
func propertyName(violation string) string {
	name, _, _ := strings.Cut(violation, " ")
	return name
}
