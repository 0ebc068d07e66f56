package router

import (
	"context"
	"time"

	"tarragongw/core/membership"
	"tarragongw/core/spread"
)

// maxAnswers bounds the answers to one question that wait to be read.
const maxAnswers = 1024

// askWindow is how long answers of other routers are collected where some are missing.
// It exceeds what the tree of a data centre of 5,600 waits for its silent ones, and the
// way to another region and back.
const askWindow = time.Second

// askAll asks every router what it has in force and returns the youngest report on
// each. It ends as soon as all routers that live have answered.
func (d *recordDuty) askAll(ctx context.Context) map[string]spread.Row {
	answers := make(chan []spread.Row, maxAnswers)
	d.mu.Lock()
	d.seq++
	seq := d.seq
	d.asks[seq] = answers
	d.mu.Unlock()
	defer d.forget(seq)
	silent := make(map[string]bool)
	for _, member := range d.r.members.live() {
		silent[member.Name] = true
	}
	delete(silent, d.r.self.Name)
	found := make(map[string]spread.Row)
	defer d.nameSilent(found)
	d.duty.Tell(spread.AskAll{Seq: seq})
	ctx, cancel := context.WithTimeout(ctx, askWindow)
	defer cancel()
	for len(silent) > 0 {
		select {
		case rows := <-answers:
			spread.MergeRows(found, rows)
			for i := range rows {
				if ownReport(&rows[i]) {
					delete(silent, rows[i].Router)
				}
			}
		case <-ctx.Done():
			return found
		}
	}
	return found
}

// ownReport says whether a router reported itself.
func ownReport(row *spread.Row) bool { return row.Reporter == row.Router }

// nameSilent adds a row without a revision for each remembered router that neither
// answered nor was reported on by another, so that nobody is missing without a word:
// those that were asked in vain, and those that are lost and were not asked.
func (d *recordDuty) nameSilent(found map[string]spread.Row) {
	view := d.r.members.view.Load()
	for _, dc := range view.DataCentres() {
		for _, member := range view.Members(dc) {
			_, known := found[member.Name]
			if known || member.State == membership.Left || member.Name == d.r.self.Name {
				continue
			}
			found[member.Name] = spread.Row{Router: member.Name, DataCentre: dc, State: member.State.String()}
		}
	}
}

func (d *recordDuty) forget(seq uint64) {
	d.mu.Lock()
	delete(d.asks, seq)
	d.mu.Unlock()
}

// answered hands an answer to whoever asked; answers that come too late or find
// the asker's queue full are dropped, as the next question brings them again.
func (d *recordDuty) answered(a spread.Answered) {
	d.mu.Lock()
	answers := d.asks[a.Seq]
	d.mu.Unlock()
	select {
	case answers <- a.Rows:
	default:
	}
}
