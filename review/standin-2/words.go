package main

import (
	_ "embed"
	"strings"
)

// What the platform's protocols name, in files of their own: the settings of a process, the
// configuration of the cases, a heartbeat, and single words.
var (
	//go:embed settings.txt
	settingsText string
	// configuration is one database on a primary route.
	//go:embed configuration.txt
	configuration string
	//go:embed heartbeat.txt
	heartbeatText string
	//go:embed words.txt
	wordsText string
)

// words holds the words by the names that the stand-ins use.
var words = readWords()

func readWords() map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(wordsText) {
		name, word, _ := strings.Cut(strings.TrimSpace(line), " ")
		m[name] = word
	}
	return m
}
