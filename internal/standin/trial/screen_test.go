//go:build screen

package trial

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/chromedp/chromedp"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// browser opens the screen of an entry in a headless Chromium of its own.
func browser(t *testing.T, url string, dark bool) context.Context {
	t.Helper()

	// Chromium's children may still write when the test ends, so what is left
	// of the profile is no failure.
	profile, err := os.MkdirTemp("", "screen")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(profile) })

	opts := append(chromedp.DefaultExecAllocatorOptions[:],
		chromedp.NoSandbox, chromedp.DisableGPU, chromedp.WindowSize(1920, 1080),
		chromedp.Flag("disable-quic", true), chromedp.Flag("no-first-run", true),
		chromedp.Flag("disable-background-networking", true), chromedp.Flag("disable-sync", true),
		chromedp.UserDataDir(profile))
	if dark {
		opts = append(opts, chromedp.Flag("force-dark-mode", true), chromedp.Flag("blink-settings", "preferredColorScheme=0"))
	}

	ctx, cancel := chromedp.NewExecAllocator(t.Context(), opts...)
	t.Cleanup(cancel)

	ctx, cancel = chromedp.NewContext(ctx)
	t.Cleanup(cancel)

	ctx, cancel = context.WithTimeout(ctx, time.Minute)
	t.Cleanup(cancel)

	assert.NilError(t, chromedp.Run(ctx, chromedp.Navigate(url), chromedp.WaitVisible("#plans table")))

	return ctx
}

// shown reads the number and all that the page shows of the board.
func shown(t *testing.T, ctx context.Context) (number, text string) {
	t.Helper()
	assert.NilError(t, chromedp.Run(ctx,
		chromedp.Evaluate(`[document.querySelector('#number').textContent, document.querySelector('main').innerText]`, &[]*string{&number, &text})))

	return number, text
}

// TestScreen is the story of two people in one room before two screens that
// two entries serve: at the same number both must see the same state, and an
// edit made at one is seen on the other.
func TestScreen(t *testing.T) {
	if _, err := exec.LookPath("chromium"); err != nil {
		t.Skip("chromium is not installed")
	}

	site, err := Start(t.Context(), Options{Seed: 1, For: 25 * time.Second, Logger: zerolog.Nop()})
	assert.NilError(t, err)
	t.Cleanup(site.Stop)

	loaded := make(chan struct{})

	go func() {
		defer close(loaded)

		site.load(t.Context())
	}()

	url := func(i int) string {
		return fmt.Sprintf("http://ana:%s@%s/", OperatorKey, site.Entries()[i].Operators())
	}
	first, second := browser(t, url(0), false), browser(t, url(1), true)

	boards := make(map[string]string)
	same := 0

	for range 100 {
		for _, ctx := range []context.Context{first, second} {
			number, text := shown(t, ctx)
			if before, ok := boards[number]; ok && before == text {
				same++
			} else if ok {
				t.Fatalf("board %s differs:\n%s\n---\n%s", number, before, text)
			}

			boards[number] = text
		}

		time.Sleep(100 * time.Millisecond)
	}

	assert.Assert(t, same > 50 && len(boards) >= 5, "%d equal looks, %d boards", same, len(boards))

	var outcome string

	assert.NilError(t, chromedp.Run(first,
		chromedp.Click(`[data-list="plans"]`), chromedp.WaitVisible("#document"), chromedp.Sleep(300*time.Millisecond),
		chromedp.Evaluate(`(() => { const d = document.querySelector('#document'); d.value = d.value.replace('"priority": 5', '"priority": 6'); d.dispatchEvent(new Event('input')); })()`, nil),
		chromedp.Click("#put"), chromedp.WaitVisible("#outcome.good"), chromedp.Text("#outcome", &outcome)))
	assert.Assert(t, len(outcome) > 0 && outcome[:8] == "Accepted", outcome)

	assert.NilError(t, chromedp.Run(second, chromedp.Poll(
		`document.querySelector('#lists').textContent.includes('version 2 in force on 3 of 3')`, nil)))

	if dir := os.Getenv("SCREENSHOTS"); dir != "" {
		screenshot(t, second, filepath.Join(dir, "screen-dark.png"))
		assert.NilError(t, chromedp.Run(first, chromedp.Click("#cancel")))
		screenshot(t, first, filepath.Join(dir, "screen-light.png"))
	}

	<-loaded
}

func screenshot(t *testing.T, ctx context.Context, file string) {
	t.Helper()

	var png []byte

	assert.NilError(t, chromedp.Run(ctx, chromedp.CaptureScreenshot(&png)))
	assert.NilError(t, os.WriteFile(file, png, 0o600))
}
