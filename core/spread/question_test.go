package spread

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ask makes a router ask all others. It returns the rows received within d, and how many
// messages brought them.
func (f *fleet) ask(asker string, seq uint64, d time.Duration) (found map[string]Row, messages int) {
	n := f.nodes[asker]
	n.answered = nil
	n.step(f.net.Now(), AskAll{Seq: seq})
	f.net.Run(d)
	found = map[string]Row{}
	for _, a := range n.answered {
		if a.Seq == seq {
			MergeRows(found, a.Rows)
			messages++
		}
	}
	return found, messages
}

// Answers must be merged on their way up the tree. Without that, an asker got one message from
// each of 5,600 routers and was busy with them for a quarter of a second.
func TestAnswersOfAllRoutersComeMerged(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 17, 100, "doto", "nemuro", "visayas")
	most := map[string]int{}
	f.net.OnSend = func(_, to string, m Message) {
		if m.Kind == Rows {
			most[to]++
		}
	}
	asker := f.dcs["doto"][9]
	found, messages := f.ask(asker, 4, 200*time.Millisecond)
	assert.Equal(t, len(found), 299, "all but the asker answer")
	for name, row := range found {
		assert.Equal(t, row.Reporter, name)
	}
	// One from each child, and one from each other data centre.
	assert.Assert(t, messages <= f.cfg.Fanout+2, "%d messages", messages)
	for name, n := range most {
		assert.Assert(t, n <= f.cfg.Fanout+2, "%d messages to %s", n, name)
	}
	again, _ := f.ask(asker, 5, 200*time.Millisecond)
	assert.Equal(t, len(again), 299, "all but the asker answer again")
	for name, n := range f.nodes {
		assert.Equal(t, len(n.core.questions), 0, name)
	}
}

// Dead routers must not hold back the answers of all others. The routers die before the
// question is sent and are still in the member view, so that other routers wait for answers
// that never come.
func TestSilentRoutersDoNotDelayOtherAnswers(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 18, 300, "doto")
	asker := f.dcs["doto"][0]
	order := f.nodes[asker].core.treeOrder(asker)
	below := f.nodes[order[1]].core
	subtree, height := below.subtree(asker)
	leaf := ""
	for name := range subtree {
		if len(f.nodes[name].core.children(asker)) == 0 {
			leaf = name
		}
	}
	f.kill(leaf)
	// The longest wait of the asker's own child: AnswerWaitPerLevel for each level below it.
	found, _ := f.ask(asker, 1, time.Duration(height)*f.cfg.AnswerWaitPerLevel+20*time.Millisecond)
	assert.Equal(t, len(found), 298, "all but the asker and the dead router answer")
	inner := order[2]
	lost, _ := f.nodes[inner].core.subtree(asker)
	f.kill(inner)
	found, _ = f.ask(asker, 2, time.Duration(height+1)*f.cfg.AnswerWaitPerLevel)
	for name := range f.nodes {
		_, answered := found[name]
		assert.Equal(t, answered, name != asker && !lost[name], name)
	}
}

// During an upgrade, routers of an earlier version and the routers below them must not be
// missing from the answers. An earlier version asks without Reply, or passes a question on
// without collecting answers.
func TestAnEarlierVersionAsksAndPassesOn(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 19, 60, "doto")
	asker := f.dcs["doto"][3]
	order := f.nodes[asker].core.treeOrder(asker)
	// An earlier version passes the question on unchanged, and its subtree answers the asker
	// directly.
	for _, name := range order[1:] {
		f.nodes[name].legacyQuestions = true
		found, _ := f.ask(asker, 1, 90*time.Millisecond)
		assert.Equal(t, len(found), 59, "%s of an earlier version", name)
		f.nodes[name].legacyQuestions = false
	}

	n := f.nodes[asker]
	n.answered = nil
	for _, child := range n.core.children(asker) {
		f.net.Send(asker, child, Message{Kind: Ask, Root: asker, Seq: 7, ReplyTo: asker})
	}
	f.net.Run(200 * time.Millisecond)
	from := map[string]bool{}
	for _, a := range n.answered {
		assert.Equal(t, a.Seq, uint64(7))
		from[a.From] = true
	}
	assert.Equal(t, len(from), 59, "each router answers an earlier version directly")
}

// The number of questions for which a router collects answers is bounded, so that its memory
// is. Questions beyond the bound must still be answered.
func TestQuestionsBeyondTheBoundAreStillAnswered(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxQuestions = 3
	f := newFleet(cfg, reliable(), 20, 60, "doto")
	var askers []*node
	for _, name := range f.dcs["doto"][:40] {
		askers = append(askers, f.nodes[name])
	}
	for _, n := range askers {
		n.step(f.net.Now(), AskAll{Seq: 1})
	}
	held := 0
	f.net.OnSend = func(_, to string, _ Message) { held = max(held, len(f.nodes[to].core.questions)) }
	f.net.Run(300 * time.Millisecond)
	for _, n := range askers {
		found := map[string]Row{}
		for _, a := range n.answered {
			MergeRows(found, a.Rows)
		}
		assert.Equal(t, len(found), 59, n.name)
	}
	assert.Assert(t, held > 0 && held <= f.cfg.MaxQuestions, "%d questions collected at once", held)
}
