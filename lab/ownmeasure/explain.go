package ownmeasure

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// explainBefore is how long before the loss a trial's explanation begins.
	explainBefore = 500 * time.Millisecond
	// explainSlow is how long a request takes at least that is printed with a good answer.
	explainSlow = 100 * time.Millisecond
	// explainRequests bounds the requests of one key that are printed.
	explainRequests = 40
)

// routerLog keeps the lines that the routers of a trial log, with their times.
type routerLog struct {
	mu    sync.Mutex
	lines []logLine
}

type logLine struct {
	at   time.Time
	text string
}

// logger returns one that writes to l, with the router's name in each line.
func (l *routerLog) logger() *slog.Logger {
	noTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	return slog.New(slog.NewTextHandler(l, &slog.HandlerOptions{ReplaceAttr: noTime}))
}

// Write implements io.Writer for one line.
func (l *routerLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, logLine{time.Now(), string(bytes.TrimSpace(line))})
	return len(line), nil
}

// print writes the lines since shortly before the loss.
func (l *routerLog) print(out io.Writer, lostAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if at := line.at.Sub(lostAt); at >= -explainBefore {
			fmt.Fprintf(out, "%6d ms %s\n", at.Milliseconds(), line.text)
		}
	}
}

// asked is one request of a watch.
type asked struct {
	key     string
	began   time.Time
	took    time.Duration
	outcome string
}

// note keeps a request that did not end as it should, or took longer than explainSlow.
func (w *watch) note(key string, began time.Time, outcome string) {
	took := time.Since(began)
	if took < explainSlow && strings.HasPrefix(outcome, "200") {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = append(w.asked, asked{key, began, took, outcome})
}

// explain says what the routers logged around the loss, and how the requests for the key
// that was away longest ended. The watch has ended.
func (w *watch) explain(l *routerLog, struck holder, lostAt time.Time) string {
	var b strings.Builder
	key := ""
	for k := range w.gap {
		if key == "" || w.gap[k] > w.gap[key] {
			key = k
		}
	}
	fmt.Fprintf(&b, "# %s was away for %v; target %s, grantor %s\n", key, w.gap[key].Round(time.Millisecond), struck.target, struck.grantor)
	l.print(&b, lostAt)
	slices.SortFunc(w.asked, func(a, b asked) int { return a.began.Compare(b.began) })
	printed := 0
	for _, a := range w.asked {
		at := a.began.Sub(lostAt)
		if a.key != key || at < -explainBefore || printed == explainRequests {
			continue
		}
		printed++
		fmt.Fprintf(&b, "%6d ms request took %d ms: %s\n", at.Milliseconds(), a.took.Milliseconds(), a.outcome)
	}
	return b.String()
}
