/* Removals: a key that the platform has removed is not in use again, whatever
 * was read or received in between.
 *
 * One platform with two keys and up to five revisions, each of which adds or
 * removes one key; two processes, each of which may restart once and then knows
 * nothing. Both follow the platform from their own revision. Process 0 also reads
 * it key by key, as in pages that are no snapshot, and sends its changes to
 * process 1, which may get them any time later, or never.
 *
 * Guards, each of which is removed with -DNO_<guard>:
 *   newer_only   changes are adopted only if they lead to a later revision
 *   digest       the result must have the sender's digest: a sender that has
 *                read the whole catalog doesn't know what was removed before
 *   first_page   a full read counts as of the revision of its first page
 *
 * Steps named in the code: read_page, follow, change, adopt.
 */

#define KEYS 2
#define LAST 5
#define BIT(k) (1 << (k))

/* Keys that exist at each revision; bit k for key k. */
byte history[LAST + 1];
byte published = 1;

/* What a process holds, and since which revision it knows all removals. */
byte revision[2];
byte held[2];
byte knows_since[2];
bit was_restarted[2];

/* A full read in progress: 0 none, else the next page; its revisions. */
byte next_page[2];
byte first_revision[2];
byte read_keys[2];
byte read_revision[2];

/* One message to each process. */
bit is_sent[2];
byte base[2];
byte to[2];
byte changed[2];  /* all keys of the sender; the digest is that of these */
byte removed[2];

/* Every key held was there at the process's revision or later: pages may be
 * newer than the revision. Every key that is missing was missing so. */
inline check(p) {
  d_step {
    k = 0;
    do
    :: k < KEYS ->
       was_so = 0;
       r = revision[p];
       do
       :: r <= published ->
          if
          :: (history[r] & BIT(k)) == (held[p] & BIT(k)) -> was_so = 1
          :: else -> skip
          fi;
          r++
       :: else -> break
       od;
       assert(revision[p] == 0 || was_so);
       k++
    :: else -> break
    od;
    k = 0; r = 0; was_so = 0
  }
}

proctype member(byte p) {
  byte k;
  byte r;
  byte result;
  bit was_so;
  do
  /* read_page */
  :: atomic {
       p == 0 && next_page[p] == 0 ->
       first_revision[p] = published;
       read_keys[p] = history[published] & BIT(0);
       next_page[p] = 1
     }
  :: atomic {
       next_page[p] == 1 ->
       read_keys[p] = read_keys[p] | (history[published] & BIT(1));
#ifndef NO_first_page
       read_revision[p] = first_revision[p];
#else
       read_revision[p] = published;
#endif
       next_page[p] = 0;
       if
       :: read_revision[p] > revision[p] ->
          revision[p] = read_revision[p];
          held[p] = read_keys[p];
          knows_since[p] = read_revision[p]
       :: else -> skip
       fi;
       read_keys[p] = 0; first_revision[p] = 0; read_revision[p] = 0;
       check(p)
     }
  /* follow: the events of the next revision */
  :: atomic {
       revision[p] > 0 && revision[p] < published ->
       result = history[revision[p]] ^ history[revision[p] + 1];
       revision[p]++;
       held[p] = (held[p] & ~result) | (history[revision[p]] & result);
       result = 0;
       check(p)
     }
  /* change: to process 1, from the revision that it has */
  :: atomic {
       p == 0 && revision[p] > revision[1 - p] && !is_sent[1 - p] ->
       is_sent[1 - p] = 1;
       base[1 - p] = revision[1 - p];
       to[1 - p] = revision[p];
       changed[1 - p] = held[p];
       removed[1 - p] = 0;
       /* Keys that were removed before the sender knew them are not told. */
       r = revision[1 - p];
       if
       :: r < knows_since[p] -> r = knows_since[p]
       :: else -> skip
       fi;
       do
       :: r < revision[p] ->
          removed[1 - p] = removed[1 - p] | (history[r] & ~history[r + 1]);
          r++
       :: else -> break
       od;
       removed[1 - p] = removed[1 - p] & ~held[p];
       r = 0
     }
  /* A message is lost. */
  :: atomic { is_sent[p] -> is_sent[p] = 0 }
  /* adopt */
  :: atomic {
       is_sent[p] ->
       is_sent[p] = 0;
       result = (held[p] & ~removed[p]) | changed[p];
       if
       :: base[p] == 0 -> result = changed[p]
       :: else -> skip
       fi;
       if
#ifndef NO_newer_only
       :: to[p] <= revision[p] -> skip
#endif
       :: base[p] > revision[p] -> skip
#ifndef NO_digest
       :: result != changed[p] -> skip
#endif
       :: else ->
          assert(to[p] >= revision[p]); /* must not go back */
          revision[p] = to[p];
          held[p] = result;
          if
          :: base[p] == 0 -> knows_since[p] = to[p]
          :: else -> skip
          fi;
          check(p)
       fi;
       result = 0; base[p] = 0; to[p] = 0; changed[p] = 0; removed[p] = 0
     }
  :: atomic {
       !was_restarted[p] ->
       was_restarted[p] = 1;
       revision[p] = 0; held[p] = 0; knows_since[p] = 0;
       next_page[p] = 0; read_keys[p] = 0; first_revision[p] = 0
     }
  od
}

proctype publisher() {
  do
  :: atomic {
       published < LAST ->
       if
       :: history[published + 1] = history[published] ^ BIT(0)
       :: history[published + 1] = history[published] ^ BIT(1)
       fi;
       published++
     }
  :: published == LAST -> break
  od
}

init {
  atomic {
    history[1] = BIT(0) | BIT(1);
    run member(0);
    run member(1);
    run publisher()
  }
}
