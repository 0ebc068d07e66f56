package spread

import (
	"slices"
	"strings"
	"time"
)

// AskID identifies one question. It is the same on all routers that the question reaches in
// one data centre.
type AskID struct {
	// Root is the router down whose tree the question is sent. Incarnation is that of the
	// asker, and Seq is unique within it.
	Root        string
	Incarnation uint64
	Seq         uint64
}

// question is a question for which this router collects the answers of its subtree.
type question struct {
	id AskID
	to string
	// deadline is when the rows collected so far are sent on, even if answers are missing.
	deadline time.Time
	// unanswered are the routers of the subtree that have not answered.
	unanswered map[string]bool
	rows       map[string]Row
}

// askAll asks every router of this data centre down this router's tree, and one watcher of
// each other data centre to do the same there. The answers are merged on their way up the
// trees: this router gets one message from each of its children and one, or a few, from each
// other data centre, instead of one from each router.
func (c *Core) askAll(seq uint64) {
	c.receiveAsk(&Message{Kind: Ask, Root: c.self, Incarnation: c.incarnation, Seq: seq, ReplyTo: c.self, Reply: true})
	for _, dc := range c.members.Remote {
		watchers := c.watchersOf(dc.Name, dc.Live, nil)
		if len(watchers) > 0 {
			c.send(watchers[0], Message{Kind: Ask, Root: watchers[0], Incarnation: c.incarnation, Seq: seq, ReplyTo: c.self, Reply: true})
		}
	}
}

// receiveAsk passes a question on and asks the shell for this router's own answer. If Reply is
// set, this router collects the answers of its subtree first. A router of an earlier version
// doesn't set Reply, or passes the question on unchanged, so that its subtree answers the
// asker directly.
func (c *Core) receiveAsk(m *Message) {
	id := AskID{Root: m.Root, Incarnation: m.Incarnation, Seq: m.Seq}
	if c.questionByID(id) != nil {
		return
	}
	next, to := *m, m.ReplyTo
	if m.Reply && to != c.self && len(c.questions) < c.cfg.MaxQuestions {
		if subtree, height := c.subtree(m.Root); len(subtree) > 0 {
			c.questions = append(c.questions, &question{
				id: id, to: to, unanswered: subtree, rows: map[string]Row{},
				deadline: c.now.Add(time.Duration(height) * c.cfg.AnswerWaitPerLevel),
			})
			next.ReplyTo, to = c.self, c.self
		}
	}
	for _, child := range c.children(m.Root) {
		c.send(child, next)
	}
	c.actions = append(c.actions, Asked{To: to, ID: id})
}

func (c *Core) questionByID(id AskID) *question {
	for _, q := range c.questions {
		if q.id == id {
			return q
		}
	}
	return nil
}

// subtree returns the routers below this one in the tree of root, and this router itself, and
// the number of levels below. It returns nil and zero if there are none below. A router waits
// AnswerWaitPerLevel for each level below it, so that the wait of a child ends before that of
// its parent.
func (c *Core) subtree(root string) (members map[string]bool, height int) {
	order := c.treeOrder(root)
	first := slices.Index(order, c.self)
	if first < 0 || first*c.cfg.Fanout+1 >= len(order) {
		return nil, 0
	}
	members = map[string]bool{c.self: true}
	last := first
	for {
		first, last = first*c.cfg.Fanout+1, last*c.cfg.Fanout+c.cfg.Fanout
		if first >= len(order) {
			return members, height
		}
		height++
		for _, name := range order[first:min(last+1, len(order))] {
			members[name] = true
		}
	}
}

// answer handles the shell's answer to Asked.
func (c *Core) answer(e *Answer) {
	if q := c.questionByID(e.ID); q != nil {
		c.collect(q, c.self, e.Rows)
		return
	}
	if e.To != c.self {
		c.sendRows(e.To, e.ID, e.Rows)
	}
}

// receiveRows handles answers, either of the subtree to a question that this router passed on,
// or to a question of its own. Answers that arrive after a question was finished are dropped.
func (c *Core) receiveRows(from string, m *Message) {
	id := AskID{Root: m.Root, Incarnation: m.Incarnation, Seq: m.Seq}
	if m.Root == "" {
		c.receiveLegacyRows(from, m)
		return
	}
	if q := c.questionByID(id); q != nil {
		c.collect(q, from, m.Rows)
		return
	}
	if m.Incarnation == c.incarnation {
		c.actions = append(c.actions, Answered{From: from, Seq: m.Seq, Rows: m.Rows})
	}
}

// receiveLegacyRows handles an answer of an earlier version, which doesn't say whose question
// it answers. It counts for each question with its number that waits for this router.
func (c *Core) receiveLegacyRows(from string, m *Message) {
	for _, q := range slices.Clone(c.questions) {
		if q.id.Seq == m.Seq && q.unanswered[from] {
			c.collect(q, from, m.Rows)
		}
	}
	c.actions = append(c.actions, Answered{From: from, Seq: m.Seq, Rows: m.Rows})
}

// collect merges answers into a question. A router has answered if it sent rows itself or if
// the rows include its own report on itself.
func (c *Core) collect(q *question, from string, rows []Row) {
	delete(q.unanswered, from)
	for _, row := range rows {
		if row.Reporter == row.Router {
			delete(q.unanswered, row.Router)
		}
	}
	MergeRows(q.rows, rows)
	if len(q.unanswered) == 0 {
		c.finish(q)
	}
}

// expireQuestions finishes the questions whose deadline has passed. Without a deadline, one
// router that died before it answered would hold back the answers of all others.
func (c *Core) expireQuestions() {
	for _, q := range slices.Clone(c.questions) {
		if !c.now.Before(q.deadline) {
			c.finish(q)
		}
	}
}

func (c *Core) finish(q *question) {
	c.questions = slices.DeleteFunc(c.questions, func(o *question) bool { return o == q })
	rows := make([]Row, 0, len(q.rows))
	for _, row := range q.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Router, b.Router) })
	c.sendRows(q.to, q.id, rows)
}

// maxRows bounds the rows of one message, which take about 60 bytes each.
const maxRows = 1000

// sendRows sends answers to a question. An earlier version's question has no incarnation and
// is answered in the format of that version.
func (c *Core) sendRows(to string, id AskID, rows []Row) {
	if id.Incarnation == 0 {
		id.Root = ""
	}
	for {
		n := min(len(rows), maxRows)
		c.send(to, Message{Kind: Rows, Root: id.Root, Incarnation: id.Incarnation, Seq: id.Seq, Rows: rows[:n:n]})
		rows = rows[n:]
		if len(rows) == 0 {
			return
		}
	}
}

// MergeRows merges rows into found. For each router it keeps the router's own report, or else
// the highest revision that others report.
func MergeRows(found map[string]Row, rows []Row) {
	for _, row := range rows {
		old, known := found[row.Router]
		itself := row.Reporter == row.Router
		if !known || itself || old.Reporter != old.Router && row.Revision > old.Revision {
			found[row.Router] = row
		}
	}
}
