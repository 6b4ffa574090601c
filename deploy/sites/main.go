// Command sites builds the site files of this folder: each is a site of the operators' kit with changes of our own.
// The changes are kept here; what is built from the kit is not.
//
//	deploy/sites/build.sh PATH/TO/SITE.toml
//
// Beside each variant's changes it writes site.toml, and copies real.json, wire.json and unlock.txt, which lie beside
// the kit's site. It ends with 2 where there is no such site.
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

// changesName is the file that holds a variant's changes: one "path = value" a line, # begins a remark. A path is a
// section and a key, such as net.zones; sections that stand several times are counted from 0, as in class.1.worth.
const changesName = "changes.txt"

// besideSite are the files that a bench reads beside a site.
var besideSite = []string{"real.json", "wire.json", "unlock.txt"}

// change sets one key. Applied is set once its section has been met.
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
		return fmt.Errorf("the kit's site is needed: %w", err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*", changesName))
	if err != nil {
		return fmt.Errorf("look for %s under %s: %w", changesName, folder, err)
	}
	if len(files) == 0 {
		return fmt.Errorf("no %s under %s; run it from the repository's root", changesName, folder)
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
	to := filepath.Dir(file)
	if err := os.WriteFile(filepath.Join(to, "site.toml"), []byte(changed), 0o644); err != nil {
		return err
	}
	for _, name := range besideSite {
		data, err := os.ReadFile(filepath.Join(kit, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), data, 0o644); err != nil {
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

// apply sets keys in a site's text. Keys that a section lacks are added to its end.
func apply(site string, changes []*change) (string, error) {
	var out []string
	section := ""
	count := map[string]int{}
	finish := func() {
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
			finish()
			name := strings.Trim(line, "[]")
			section = name
			if strings.HasPrefix(line, "[[") {
				section += "." + strconv.Itoa(count[name])
				count[name]++
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
	finish()
	var unmet []error
	for _, c := range changes {
		if !c.applied {
			unmet = append(unmet, fmt.Errorf("the site has no section %q", c.section))
		}
	}
	return strings.Join(out, "\n") + "\n", errors.Join(append(unmet, lines.Err())...)
}
