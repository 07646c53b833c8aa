#ifndef WL_PAIRS_H
#define WL_PAIRS_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlcore/model/msg.h>

/* Slowdown of one kind of work beside another, learnt from samples that decay with time. */

typedef struct wl_pair {
	wl_str_t key;
	wl_buf_t text;
	wl_pair_row_t row;
	uint64_t decayed_ns;
	uint64_t sent_permille; /* last sent to the leader; 0: never */
	bool changed;
	TAILQ_ENTRY(wl_pair) link;
	TAILQ_ENTRY(wl_pair) change_link;
} wl_pair_t;

typedef struct wl_pairs {
	wl_map_t by_kinds;
	TAILQ_HEAD(wl_pair_list, wl_pair) all; /* least recently updated first */
	TAILQ_HEAD(wl_pair_changes, wl_pair) changes;
} wl_pairs_t;

void wl_pairs_init(wl_pairs_t *pairs);
void wl_pairs_free(wl_pairs_t *pairs);
void wl_pairs_learn(wl_pairs_t *pairs, wl_str_t kind, wl_str_t beside, uint64_t slowdown_permille,
		    uint64_t now_ns);
uint64_t wl_pairs_slowdown(const wl_pairs_t *pairs, wl_str_t kind, wl_str_t beside);
void wl_pairs_take_changes(wl_pairs_t *pairs, wl_list_t *rows, size_t most);
void wl_pairs_resend_all(wl_pairs_t *pairs);

#endif
