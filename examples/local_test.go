package examples_test

import (
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/examples"
	"github.com/siskinrill/siskinrill/internal/config/file"
)

// copyWithFreePorts copies an example and moves its ports to a free range, because several checkouts may run this test on one host.
func copyWithFreePorts(t *testing.T, nam string) string {
	t.Helper()
	old := map[string]string{examples.Rangsudhar: "127.0.0.1:18", examples.Bassma: "127.0.0.1:19"}[nam]
	dir := t.TempDir()
	for range 100 {
		base := fmt.Sprintf("127.0.0.1:%d", 20+rand.IntN(12))
		lis, err := net.Listen("tcp", base+"999")
		if err != nil {
			continue
		}
		if !portsFree(base) {
			_ = lis.Close()
			continue
		}
		// The open listener keeps other runs of this test from using the range.
		t.Cleanup(func() { _ = lis.Close() })
		must.NoError(t, os.CopyFS(filepath.Join(dir, nam), os.DirFS(nam)))
		must.NoError(t, filepath.WalkDir(dir, func(pth string, ent fs.DirEntry, err error) error {
			if err != nil || ent.IsDir() {
				return err
			}
			dat, err := os.ReadFile(pth)
			if err != nil {
				return err
			}
			return os.WriteFile(pth, []byte(strings.ReplaceAll(string(dat), old, base)), 0o600)
		}))
		return dir
	}
	t.Fatal("no free range of ports found in 100 attempts")
	return ""
}

func portsFree(base string) bool {
	for _, prt := range []int{101, 111, 201, 221, 241, 261, 281, 292} {
		lis, err := net.Listen("tcp", fmt.Sprintf("%s%03d", base, prt))
		if err != nil {
			return false
		}
		_ = lis.Close()
	}
	return true
}

func runLocal(dir string, args ...string) (string, error) {
	cmd := exec.Command("./local.sh", args...)
	cmd.Env = append(os.Environ(), "SISKINRILL_EXAMPLES="+dir)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// TestLocal guards against an example that does not start or serve as separate processes, and against a stop
// that leaves processes running or ends processes of others.
func TestLocal(t *testing.T) {
	for nam, tcs := range map[string]struct{ method, path, service, key string }{
		examples.Rangsudhar: {"POST", "/orders/R7/payment", "checkout", "R7"},
		examples.Bassma:     {"PUT", "/scans/S7", "empreinte", "S7"},
	} {
		t.Run(nam, func(t *testing.T) {
			t.Parallel()
			dir, sta := copyWithFreePorts(t, nam), t.TempDir()
			out, err := runLocal(dir, "start", nam, sta)
			must.NoError(t, err, must.Sprint(out))
			t.Cleanup(func() { _, _ = runLocal(dir, "stop", sta) })
			must.StrContains(t, out, "ready processes=29 ")
			pids := readPIDs(t, sta)
			must.MapLen(t, 29, pids)
			again, err := runLocal(dir, "start", nam, sta)
			must.Error(t, err, must.Sprint(again))
			var lis, adm string
			_, err = fmt.Sscanf(out, "ready processes=29 listen=%s admin=%s", &lis, &adm)
			must.NoError(t, err)
			must.Eq(t, "complete 200", sendRequest(t, tcs.method, "http://"+lis+tcs.path))
			other := strings.TrimSuffix(adm, "111") + "113"
			bin := filepath.Join(sta, "siskinrill")
			must.Eq(t, runCommand(t, bin, "owner", tcs.service, tcs.key, "--admin", adm), runCommand(t, bin, "owner", tcs.service, tcs.key, "--admin", other))
			must.StrContains(t, runCommand(t, bin, "status", "--admin", other), "configuration 1")
			foreign := exec.Command("sleep", "60")
			must.NoError(t, foreign.Start())
			out, err = runLocal(dir, "stop", sta)
			must.NoError(t, err, must.Sprint(out))
			for prc, pid := range pids {
				lnk, _ := os.Readlink("/proc/" + pid + "/exe")
				must.NotEq(t, bin, lnk, must.Sprint(prc))
				must.StrContains(t, readFile(t, filepath.Join(sta, prc+".log")), "Stopped.", must.Sprint(prc))
			}
			must.NoError(t, foreign.Process.Kill())
			must.ErrorContains(t, foreign.Wait(), "killed")
		})
	}
}

func readFile(t *testing.T, pth string) string {
	t.Helper()
	dat, err := os.ReadFile(pth)
	must.NoError(t, err)
	return string(dat)
}

func readPIDs(t *testing.T, sta string) map[string]string {
	t.Helper()
	fls, err := filepath.Glob(filepath.Join(sta, "*.pid"))
	must.NoError(t, err)
	out := map[string]string{}
	for _, fil := range fls {
		out[strings.TrimSuffix(filepath.Base(fil), ".pid")] = strings.TrimSpace(readFile(t, fil))
	}
	return out
}

func runCommand(t *testing.T, bin string, args ...string) string {
	t.Helper()
	out, err := exec.Command(bin, args...).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return string(out)
}

func sendRequest(t *testing.T, mth, url string) string {
	t.Helper()
	req, err := http.NewRequest(mth, url, strings.NewReader("body"))
	must.NoError(t, err)
	cli := &http.Client{Timeout: 10 * time.Second}
	res, err := cli.Do(req)
	must.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	must.NoError(t, err)
	return fmt.Sprintf("%s %d", res.Header.Get("Siskinrill-Outcome"), res.StatusCode)
}

// TestConfig guards against an example whose configuration is not valid.
func TestConfig(t *testing.T) {
	for nam, rts := range map[string]int{examples.Rangsudhar: 4, examples.Bassma: 3} {
		dir, err := examples.Config(nam)
		must.NoError(t, err)
		cfg, err := file.LoadFS(dir)
		must.NoError(t, err)
		must.Len(t, rts, cfg.GetRoutes())
	}
}
