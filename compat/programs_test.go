package compat_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// siteSettings is a settings file as the users' platform writes it.
const siteSettings = `node: gw-1
zone: a
region: east
zones: {a: east}
ip: 127.0.0.1
internal_ports: [7002, 7003]
listen: {front: "127.0.0.1:7000", ready: "127.0.0.1:7001", directory: "127.0.0.1:7004"}
limits: {memory_mb: 200, link_mbps: 1000}
bounds: {grace_s: 8, version_ms: 8000}
platform: {address: "127.0.0.1:7005"}
`

const entrySettings = `{"vm": "e1", "zone": "a", "region": "r", "caller": "127.0.0.1:7000", "operator": "127.0.0.1:7001",
"peer": "127.0.0.1:7002", "platform": ["http://127.0.0.1:80"], "origin": "http://127.0.0.1:81",
"telemetry": {"observe": "127.0.0.1:7003", "logLevel": "info"}}`

const agentSettings = `{"vm": "m1", "zone": "a", "region": "r", "peer": "127.0.0.1:7002", "engine": "http://127.0.0.1:8000",
"entries": ["127.0.0.1:7002"], "origin": "http://127.0.0.1:81", "telemetry": {"observe": "127.0.0.1:7003", "logLevel": "info"}}`

func TestProgramsKeepTheirCommandLines(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "github.com/silverdeck/silverdeck/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	files := map[string]string{"site.yaml": siteSettings, "entry.json": entrySettings, "agent.json": agentSettings,
		"wrong.json": `{"vm": 1}`, "wrong.yaml": "{node: x, zone: a, ip: 127.0.0.1}"}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	calls := []string{
		"silverdeck-entry --config entry.json --print-config", "silverdeck-entry --config entry.json --check-config",
		"silverdeck-entry --config wrong.json --check-config", "silverdeck-entry --config absent.json",
		"silverdeck-agent --config agent.json --print-config", "silverdeck-agent --config wrong.json",
		"silverdeck-gateway --config site.yaml --check-config", "silverdeck-gateway --config wrong.yaml",
		"silverdeck-sidecar --config site.yaml --check-config", "silverdeck-sidecar --config wrong.yaml",
	}
	for _, program := range programs(t, dir) {
		calls = append(calls, program+" --help", program+" --no-such-flag")
	}
	for _, verb := range []string{"apply", "get", "describe", "delete", "label", "diff", "rollout", "drain", "undrain", "events", "validate",
		"manifest", "key"} {
		calls = append(calls, "silverdeck "+verb+" --help")
	}
	var out strings.Builder
	for _, call := range calls {
		fmt.Fprintf(&out, "$ %s\n%s\n", call, run(dir, strings.Fields(call)))
	}
	golden(t, "programs.golden", strings.ReplaceAll(out.String(), dir, "DIR"))
}

func programs(t *testing.T, dir string) []string {
	files, err := filepath.Glob(filepath.Join(dir, "silverdeck*"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range files {
		files[i] = filepath.Base(files[i])
	}
	slices.Sort(files)
	return files
}

// run returns what a program prints, and its exit status.
func run(dir string, words []string) string {
	c := exec.Command(filepath.Join(dir, words[0]), words[1:]...)
	c.Dir = dir
	out, _ := c.CombinedOutput()
	return fmt.Sprintf("%sexit %d", out, c.ProcessState.ExitCode())
}
