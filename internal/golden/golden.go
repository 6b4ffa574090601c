// Package golden helps tests compare their output with golden files in the testdata folders of their packages. Only tests use
// it. "go test ./package -update" rewrites the golden files.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files from the output of the tests")

// Check fails the test if got differs in any byte from the file of that name in testdata.
func Check(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		writeFile(t, path, got)
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := string(data); got != want {
		t.Errorf("%s differs from the output of the test:\n%s", path, firstDifference(want, got))
	}
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// firstDifference returns the lines around the first difference. Lines of the golden file are marked -, lines of the test +.
func firstDifference(want, got string) string {
	const contextLines, maxLines = 3, 12
	w, g := strings.Split(want, "\n"), strings.Split(got, "\n")
	first := 0
	for first < len(w) && first < len(g) && w[first] == g[first] {
		first++
	}
	var out strings.Builder
	fmt.Fprintf(&out, "line %d\n", first+1)
	writeLines(&out, ' ', w[max(0, first-contextLines):first])
	writeLines(&out, '-', w[first:min(len(w), first+maxLines)])
	writeLines(&out, '+', g[first:min(len(g), first+maxLines)])
	return out.String()
}

func writeLines(out *strings.Builder, sign rune, lines []string) {
	for _, line := range lines {
		fmt.Fprintf(out, "%c %s\n", sign, line)
	}
}
