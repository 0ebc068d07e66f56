/* The rest of a request that a former grantor had begun, and the move of its unit.
 *
 * Router F handed the target over with one request begun on the unit; the record names it. B is the
 * grantor, and B and C take the duty from each other: by hand-over, or by a claim at any time, because
 * suspicion is unreliable. F may be suspended or cut off for any time. Writes are delayed, and so are
 * the replies to reads and to reports.
 *
 * Time is abstract, as in ownership.pml: a right may lapse at any moment, and a step that waits it out
 * forces the lapse, also of a right in a reply that is still under way, since a right counts from when
 * its question was sent.
 *
 * Each #ifdef of a mutant removes one rule; see mutants in spec_test.go.
 */
#define B 0
#define C 1

#define NONE 0    /* the record doesn't name F */
#define NAMED 1   /* F may finish */
#define REVOKED 2

#ifndef CHANGES
#define CHANGES 3 /* of the grantor */
#endif

/* the store */
byte gRouter = B, gTerm = 1, entry = NAMED;
bool moved;

/* F: whether the request is in flight, the right to finish it, and rights that are under way */
bool begun = 1, right, readReply;
byte grantReply; /* the router that granted, plus one */

typedef Local {
	bool serving, auth;
	byte term;
	byte view;             /* the entry as known here */
	bool done;             /* F has reported that nothing is in flight */
	bool waited;           /* the right was revoked and must have ended since */
	bool revoking, landed; /* the write that revokes is under way; it is known to be in the store */
	bool waitOut           /* the authority of the router before has to end first */
}
Local s[2];

#define ME s[r]
#define OTHER s[1-r]
#define CURRENT (gRouter == r && gTerm == ME.term)
#define MORE (gTerm < 1 + CHANGES)

#ifdef NO_FORMER_WAIT
#define GONE true
#else
#define GONE (ME.view == NONE || ME.done || ME.waited)
#endif

inline take() {
	ME.serving = 0; ME.term = gTerm; ME.view = entry; ME.done = 0; ME.waited = 0; ME.revoking = 0; ME.landed = 0
}

inline drop() {
	ME.serving = 0; ME.auth = 0; ME.term = 0; ME.view = NONE; ME.done = 0; ME.waited = 0; ME.revoking = 0; ME.landed = 0; ME.waitOut = 0
}

/* waiting out what F may do by a right that it was given earlier, and who may have given it */
inline endRight() { right = 0; readReply = 0; grantReply = 0; OTHER.auth = 0 }

proctype Router(byte r) {
end:	do
	/* claim, which revokes the right or doesn't; the router before may not know for long */
	:: atomic { !CURRENT && MORE ->
		gTerm++; gRouter = r;
		if
		:: entry == NAMED -> entry = REVOKED
		:: true
		fi;
#ifdef CLAIM_FORGETS
		entry = NONE;
#endif
		take(); ME.waitOut = 1; ME.landed = (entry == REVOKED) }
	:: atomic { CURRENT && !ME.serving && ME.waitOut ->
		OTHER.auth = 0; ME.waitOut = 0;
		if :: grantReply == 2 - r -> grantReply = 0 :: else fi }
	:: atomic { CURRENT && !ME.serving && !ME.waitOut -> ME.serving = 1 }
	/* hand-over: the gate is closed first */
	:: atomic { CURRENT && ME.serving && ME.auth && MORE && !ME.revoking ->
#ifdef HAND_OVER_FORGETS
		entry = NONE;
#endif
#ifdef HAND_OVER_DROPS_REVOKED
		if :: entry == REVOKED -> entry = NONE :: else fi;
#endif
		gTerm++; gRouter = 1 - r; drop() }
	:: atomic { gRouter == r && ME.term == 0 -> take(); ME.landed = (entry == REVOKED) }
	:: atomic { ME.term != 0 && !CURRENT -> drop() }
	:: atomic { CURRENT && ME.serving && !ME.auth -> ME.auth = 1 } /* confirmed */
	:: atomic { ME.auth -> ME.auth = 0 }
	/* revoke: the write, its reply, and the wait that counts from the reply */
	:: atomic { CURRENT && ME.serving && ME.view == NAMED && !ME.revoking && !ME.done -> ME.revoking = 1 }
	:: atomic { CURRENT && ME.revoking && entry == NAMED -> entry = REVOKED }
	:: atomic { CURRENT && ME.revoking && entry == REVOKED -> ME.view = REVOKED; ME.revoking = 0; ME.landed = 1 }
	:: atomic { CURRENT && ME.landed && !ME.waited ->
#ifndef NO_REVOKE_WAIT
		endRight();
#endif
		ME.waited = 1 }
	/* F's reports: what it reported to an earlier grantor is not known here */
	:: atomic { ME.serving && CURRENT && !begun && !ME.done -> ME.done = 1 }
	:: atomic { ME.serving && ME.auth && ME.view == NAMED && begun && grantReply == 0 -> grantReply = r + 1 }
	/* the move */
	:: atomic { CURRENT && ME.serving && ME.auth && !moved && GONE -> moved = 1 }
	od
}

proctype Former() {
end:	do
	:: atomic { begun && entry == NAMED && !readReply -> readReply = 1 }
#ifdef READ_ANY
	:: atomic { begun && entry != NONE && !readReply -> readReply = 1 }
#endif
	:: atomic { readReply -> readReply = 0; right = 1 }
	:: atomic { grantReply != 0 -> grantReply = 0; right = 1 }
	:: atomic { right -> right = 0 } /* by F's own clock */
	:: atomic { right && begun -> assert(!moved); begun = 0 }
	od
}

init {
	atomic {
		s[B].serving = 1; s[B].auth = 1; s[B].term = 1; s[B].view = NAMED;
		run Router(B); run Router(C); run Former()
	}
}
