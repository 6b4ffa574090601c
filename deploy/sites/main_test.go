package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sampleSite = "name = \"a\"\n[net]\nzones = [\"x\"]\n\n[[class]]\nworth = 1\n[[class]]\nworth = 5\nshare = 2\n"

func TestChangesAreApplied(t *testing.T) {
	changes, err := readChanges("# comment\nname = \"b\"\nclass.1.worth = [7, 8]\nclass.0.effect = \"keyed\"\n")
	if err != nil {
		t.Fatal(err)
	}
	got, err := apply(sampleSite, changes)
	want := "name = \"b\"\n[net]\nzones = [\"x\"]\n\n[[class]]\nworth = 1\neffect = \"keyed\"\n[[class]]\nworth = [7, 8]\nshare = 2\n"
	if err != nil || got != want {
		t.Errorf("%v\n%s", err, got)
	}
}

func TestInvalidInputIsReported(t *testing.T) {
	changes, _ := readChanges("class.2.worth = 1")
	if _, err := apply(sampleSite, changes); err == nil || !strings.Contains(err.Error(), "class.2") {
		t.Error(err)
	}
	if _, err := readChanges("worth 1"); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Error(err)
	}
	if err := buildAll(filepath.Join(t.TempDir(), "none.toml"), "."); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Error(err)
	}
}

// Every variant in this folder must be buildable from a site file with the sections of the kit, and must get its companion
// files.
func TestAllVariantsAreBuilt(t *testing.T) {
	kit, folder := t.TempDir(), t.TempDir()
	sections := "[day]\n[scale]\n[load]\n[net]\n[clients]\n[discovery]\n[allow]\n[rules]\n[goal]\n[prices]\n[[tier]]\n[tier.report]\n" +
		"[tier.conn]\n[tier.probe]\n[[tier.kind]]\n[[tier.kind]]\n[[class]]\n[[class]]\n[fam]\n[[fam.engine]]\n[[fam.engine]]\n" +
		"[[fam.class]]\n[[fam.class]]\n"
	for _, name := range append([]string{"site.toml"}, companionFiles...) {
		if err := os.WriteFile(filepath.Join(kit, name), []byte(sections), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	files, _ := filepath.Glob(filepath.Join("*", changesFile))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		os.MkdirAll(filepath.Join(folder, filepath.Dir(file)), 0o755)
		os.WriteFile(filepath.Join(folder, file), text, 0o644)
	}
	if err := buildAll(filepath.Join(kit, "site.toml"), folder); err != nil || len(files) < 2 {
		t.Fatal(err, files)
	}
	for _, file := range files {
		for _, name := range append([]string{"site.toml"}, companionFiles...) {
			if _, err := os.Stat(filepath.Join(folder, filepath.Dir(file), name)); err != nil {
				t.Error(err)
			}
		}
	}
}
