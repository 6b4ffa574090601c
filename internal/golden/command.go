package golden

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// commandTimeout bounds the run of a command, in case it does not reject invalid arguments and keeps running.
const commandTimeout = 10 * time.Second

// RunCommands runs a program once for each line of arguments, in a temporary directory with the given files, and returns the
// output and exit codes. The path of the directory is replaced by FOLDER.
func RunCommands(t testing.TB, binary string, files map[string]string, lines []string) string {
	t.Helper()
	directory := t.TempDir()
	for name, text := range files {
		writeFile(t, filepath.Join(directory, name), text)
	}
	var b strings.Builder
	for _, line := range lines {
		b.WriteString(runCommand(t, binary, directory, line))
	}
	return strings.ReplaceAll(b.String(), directory, "FOLDER")
}

func runCommand(t testing.TB, binary, directory, line string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var stdout, stderr bytes.Buffer
	command := exec.CommandContext(ctx, binary, strings.Fields(line)...)
	command.Dir, command.Stdout, command.Stderr = directory, &stdout, &stderr
	var exit *exec.ExitError
	if err := command.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return fmt.Sprintf("$ %s %s\n%s%sexit %d\n\n", filepath.Base(binary), line, stdout.String(), stderr.String(),
		command.ProcessState.ExitCode())
}
