// Command sites builds the site files of the variants in this folder from a site file of the operators' kit. The repository
// holds only the changes of each variant, not the files built from the kit.
//
//	deploy/sites/build.sh PATH/TO/SITE.toml
//
// The command writes site.toml to the folder of each variant, and copies real.json, wire.json and unlock.txt there from
// the folder of the kit's site file. It exits with status 2 on any error.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// changesFile is the name of the file with the changes of a variant: one "path = value" per line, # begins a comment. A path
// is a section and a key, such as net.zones; repeated sections are numbered from 0, as in class.1.worth.
const changesFile = "changes.txt"

// companionFiles are the files that the benchmark reads from the folder of a site file.
var companionFiles = []string{"real.json", "wire.json", "unlock.txt"}

// change is a new value for one key. applied is set once the value has been written to the site file.
type change struct {
	section, key, value string
	applied             bool
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: deploy/sites/build.sh PATH/TO/SITE.toml")
		os.Exit(2)
	}
	if err := buildAll(os.Args[1], "deploy/sites"); err != nil {
		fmt.Fprintln(os.Stderr, "sites:", err)
		os.Exit(2)
	}
}

// buildAll builds every variant under folder.
func buildAll(site, folder string) error {
	text, err := os.ReadFile(site)
	if err != nil {
		return fmt.Errorf("read the kit's site file: %w", err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*", changesFile))
	if err != nil {
		return fmt.Errorf("find %s under %s: %w", changesFile, folder, err)
	}
	if len(files) == 0 {
		return fmt.Errorf("no %s under %s; run the command from the root of the repository", changesFile, folder)
	}
	for _, file := range files {
		if err := build(string(text), filepath.Dir(site), file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		fmt.Println("built", filepath.Join(filepath.Dir(file), "site.toml"))
	}
	return nil
}

func build(site, kit, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	changes, err := readChanges(string(text))
	if err != nil {
		return err
	}
	changed, err := apply(site, changes)
	if err != nil {
		return err
	}
	variantFolder := filepath.Dir(file)
	if err := os.WriteFile(filepath.Join(variantFolder, "site.toml"), []byte(changed), 0o644); err != nil {
		return err
	}
	for _, name := range companionFiles {
		data, err := os.ReadFile(filepath.Join(kit, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(variantFolder, name), data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func readChanges(text string) (changes []*change, err error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		path, value, ok := strings.Cut(line, " = ")
		if !ok {
			return nil, fmt.Errorf("line %d: %q is not of the form path = value", i+1, line)
		}
		dot := strings.LastIndexByte(path, '.')
		changes = append(changes, &change{section: path[:max(0, dot)], key: path[dot+1:], value: value})
	}
	return changes, nil
}

// apply sets keys in the text of a site file. Keys that a section lacks are added to the end of the section.
func apply(site string, changes []*change) (string, error) {
	var out []string
	section := ""
	sectionCounts := map[string]int{}
	addMissingKeys := func() {
		for _, c := range changes {
			if c.section == section && !c.applied {
				c.applied = true
				out = append(out, c.key+" = "+c.value)
			}
		}
	}
	lines := bufio.NewScanner(strings.NewReader(site))
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "[") {
			addMissingKeys()
			name := strings.Trim(line, "[]")
			section = name
			if strings.HasPrefix(line, "[[") {
				section += "." + strconv.Itoa(sectionCounts[name])
				sectionCounts[name]++
			}
		}
		key, _, _ := strings.Cut(line, " = ")
		i := slices.IndexFunc(changes, func(c *change) bool { return c.section == section && c.key == key })
		if i >= 0 {
			line = key + " = " + changes[i].value
			changes[i].applied = true
		}
		out = append(out, line)
	}
	addMissingKeys()
	var missingSections []error
	for _, c := range changes {
		if !c.applied {
			missingSections = append(missingSections, fmt.Errorf("site file has no section %q", c.section))
		}
	}
	return strings.Join(out, "\n") + "\n", errors.Join(append(missingSections, lines.Err())...)
}
