/* Eras of a store that reverts to an older copy: which copy a process adopts,
 * and which version of the configuration it acts on.
 *
 * Two processes. The store holds two keys of back ends and the configuration,
 * and is written up to LAST - 1 times in each era. It reverts once, to its first
 * revision: revisions are then assigned again with other contents. Process 0
 * reads the store in two pages and adopts what it read at any later time;
 * process 1 reads at once. Both also adopt what the other one has.
 *
 * Guards, each of which is removed with -DNO_<guard>:
 *   era_first     generations are ordered by era before revision
 *   one_era       pages of two eras are never combined
 *   keep_routes   a process keeps its configuration if another one, with what it
 *                 adopts, has a lower version
 *   routes_first  of two contents with one generation, the one with the later
 *                 configuration wins
 *   fetch_equal   a process also asks a peer that has other contents with the
 *                 same generation and a lower digest
 *
 * Steps named in the code: adopt, compare, begin_era.
 */

#define PROCESSES 2
#define LAST 2

typedef contents {
  bit era;
  byte revision;
  byte first;   /* written at revision % 4 of era / 4 */
  byte second;
  byte version; /* of the configuration */
}

contents store;
contents in_force[PROCESSES];
contents read[PROCESSES];    /* as far as read */
byte pages[PROCESSES];       /* read so far; 2: all */
byte members = 0;            /* that have finished */
bit was_reverted = 0;

#define DIGEST(c) (c.first * 8 + c.second)
#define WRITTEN (store.era * 4 + store.revision)

#ifndef NO_era_first
#define NUMBER(c) (c.era * 4 + c.revision)
#else
#define NUMBER(c) (c.revision)
#endif

inline copy(to, from) {
  to.era = from.era;
  to.revision = from.revision;
  to.first = from.first;
  to.second = from.second
}

/* adopt: takes the contents if they are later, but never a lower version. */
inline adopt(own, other) {
  if
  :: NUMBER(other) > NUMBER(own) -> copy(own, other); take_routes(own, other)
  :: NUMBER(other) == NUMBER(own) ->
     if
#ifndef NO_routes_first
     :: other.version > own.version -> copy(own, other); own.version = other.version
     :: other.version == own.version && DIGEST(other) > DIGEST(own) -> copy(own, other)
#else
     :: DIGEST(other) > DIGEST(own) -> copy(own, other); take_routes(own, other)
#endif
     :: else -> skip
     fi
  :: else -> skip
  fi
}

inline take_routes(own, other) {
#ifndef NO_keep_routes
  if
  :: other.version > own.version -> own.version = other.version
  :: else -> skip
  fi
#else
  assert(other.version >= own.version); /* must not go back */
  own.version = other.version
#endif
}

/* compare: process `own` sees the digest of `other`. */
inline compare(own, other) {
  if
  :: NUMBER(other) > NUMBER(own) -> adopt(own, other)
#ifndef NO_fetch_equal
  :: NUMBER(other) == NUMBER(own) -> adopt(own, other)
#else
  :: NUMBER(other) == NUMBER(own) && DIGEST(other) * 4 + other.version > DIGEST(own) * 4 + own.version ->
     adopt(own, other)
#endif
  :: else -> skip
  fi
}

inline read_page(p) {
  if
  :: pages[p] == 0 ->
     read[p].era = store.era;
     read[p].revision = store.revision;
     read[p].first = store.first;
     pages[p] = 1
  :: pages[p] == 1 ->
     if
#ifndef NO_one_era
     :: read[p].era != store.era -> pages[p] = 0 /* begin_era */
#endif
     :: else ->
        read[p].era = store.era;
        read[p].second = store.second;
        read[p].version = store.version;
        pages[p] = 2
     fi
  :: else -> skip
  fi
}

inline use_read(p) {
  adopt(in_force[p], read[p]);
  pages[p] = 0;
  read[p].era = 0;
  read[p].revision = 0;
  read[p].first = 0;
  read[p].second = 0;
  read[p].version = 0
}

proctype member(byte p) {
  do
  :: atomic { p == 0 && pages[p] < 2 -> read_page(p) }
  :: atomic { p == 0 && pages[p] == 2 -> use_read(p) }
  :: atomic { p == 1 -> read_page(p); read_page(p); use_read(p) }
  :: atomic { in_force[1 - p].revision > 0 -> compare(in_force[p], in_force[1 - p]) }
  :: atomic { members++; break }
  od
}

proctype operator() {
  do
  :: atomic { store.revision < LAST -> store.revision++; store.first = WRITTEN }
  :: atomic { store.revision < LAST -> store.revision++; store.second = WRITTEN }
  :: atomic {
       store.revision < LAST && store.version < 2 ->
       store.revision++;
       store.version++
     }
  :: atomic {
       !was_reverted ->
       was_reverted = 1;
       store.era = 1;
       store.revision = 1;
       store.first = 1;
       store.second = 1;
       store.version = 1
     }
  :: break
  od;
  /* The store is quiescent. */
  atomic {
    members == PROCESSES ->
    if
    :: true ->
       /* A process reads the store; the peers exchange what they have. */
       if
       :: pages[0] == 2 -> use_read(0)
       :: else -> skip
       fi;
       pages[0] = 0;
       read_page(0);
       read_page(0);
       use_read(0);
       compare(in_force[1], in_force[0]);
       compare(in_force[0], in_force[1]);
       compare(in_force[1], in_force[0]);
       /* Nothing that the store holds is ignored. */
       assert(in_force[0].era == store.era);
       assert(in_force[0].first == store.first);
       assert(in_force[0].second == store.second);
       assert(in_force[0].version >= store.version)
    :: /* Without the store, the peers only exchange what they have. */
       in_force[0].revision > 0 && in_force[1].revision > 0 ->
       compare(in_force[1], in_force[0]);
       compare(in_force[0], in_force[1]);
       compare(in_force[1], in_force[0])
    fi;
    /* All processes agree. */
    assert(NUMBER(in_force[0]) == NUMBER(in_force[1]));
    assert(in_force[0].first == in_force[1].first);
    assert(in_force[0].second == in_force[1].second);
    assert(in_force[0].version == in_force[1].version)
  }
}

init {
  atomic {
    store.revision = 1;
    store.first = 1;
    store.second = 1;
    store.version = 1;
    run member(0);
    run member(1);
    run operator()
  }
}
