/*
 * Interference between kinds of work.
 *
 * Each sample moves a weighted mean; the weight of old samples halves with
 * time, so that the table follows shifts of load.
 */

#include "pairs.h"

#include <stdlib.h>

#define MOST_PAIRS	  4096
#define MOST_WEIGHT_MILLI 16000
#define SAMPLE_MILLI	  1000
#define HALF_LIFE_NS	  600000000000ull
#define MOST_PERMILLE	  100000
#define TOLD_SHARE	  20 /* told again when moved by a twentieth */

/*
 * wl_pairs_init - make an empty table
 */
void wl_pairs_init(wl_pairs_t *pairs)
{
	wl_map_init(&pairs->by_kinds);
	TAILQ_INIT(&pairs->all);
	TAILQ_INIT(&pairs->changes);
}

static void pair_drop(wl_pairs_t *pairs, wl_pair_t *pair)
{
	wl_map_remove(&pairs->by_kinds, pair->key);
	TAILQ_REMOVE(&pairs->all, pair, link);
	if (pair->changed)
		TAILQ_REMOVE(&pairs->changes, pair, of_changed);
	wl_buf_free(&pair->text);
	wl_record_free(&wl_pair_row_schema, &pair->row);
	free(pair);
}

/*
 * wl_pairs_free - release the table
 */
void wl_pairs_free(wl_pairs_t *pairs)
{
	while (!TAILQ_EMPTY(&pairs->all))
		pair_drop(pairs, TAILQ_FIRST(&pairs->all));
	wl_map_free(&pairs->by_kinds);
}

static wl_pair_t *pair_find(const wl_pairs_t *pairs, wl_str_t kind, wl_str_t beside)
{
	wl_buf_t text = {0};
	wl_pair_t *pair;

	wl_buf_printf(&text, WL_STR_FMT "\n" WL_STR_FMT, WL_STR_ARG(kind), WL_STR_ARG(beside));
	pair = wl_map_get(&pairs->by_kinds, wl_buf_str(&text));
	wl_buf_free(&text);
	return pair;
}

static wl_pair_t *pair_add(wl_pairs_t *pairs, wl_str_t kind, wl_str_t beside)
{
	wl_pair_t *pair = wl_alloc(sizeof(*pair));

	if (wl_map_count(&pairs->by_kinds) >= MOST_PAIRS)
		pair_drop(pairs, TAILQ_FIRST(&pairs->all));
	wl_buf_printf(&pair->text, WL_STR_FMT "\n" WL_STR_FMT, WL_STR_ARG(kind),
		      WL_STR_ARG(beside));
	pair->key = wl_buf_str(&pair->text);
	wl_buf_set(&pair->row.kind, kind);
	wl_buf_set(&pair->row.colocated_kind, beside);
	wl_map_put(&pairs->by_kinds, pair);
	TAILQ_INSERT_TAIL(&pairs->all, pair, link);
	return pair;
}

static void pair_changed(wl_pairs_t *pairs, wl_pair_t *pair)
{
	if (pair->changed)
		return;
	pair->changed = true;
	TAILQ_INSERT_TAIL(&pairs->changes, pair, of_changed);
}

/*
 * wl_pairs_learn - take in one sample
 * @kind: the work that was slowed down
 * @beside: other work on the same target then
 * @slowdown_permille: 1000: none
 */
void wl_pairs_learn(wl_pairs_t *pairs, wl_str_t kind, wl_str_t beside, uint64_t slowdown_permille,
		    uint64_t now_ns)
{
	wl_pair_t *pair = pair_find(pairs, kind, beside);
	wl_pair_row_t *row;
	uint64_t told;
	uint64_t moved;

	if (slowdown_permille > MOST_PERMILLE)
		slowdown_permille = MOST_PERMILLE;
	if (!pair)
		pair = pair_add(pairs, kind, beside);
	TAILQ_REMOVE(&pairs->all, pair, link);
	TAILQ_INSERT_TAIL(&pairs->all, pair, link);

	row = &pair->row;
	for (; row->weight_milli && pair->seen_ns + HALF_LIFE_NS <= now_ns;
	     pair->seen_ns += HALF_LIFE_NS)
		row->weight_milli /= 2;
	row->slowdown_permille =
		(row->slowdown_permille * row->weight_milli + slowdown_permille * SAMPLE_MILLI) /
		(row->weight_milli + SAMPLE_MILLI);
	row->weight_milli += SAMPLE_MILLI;
	if (row->weight_milli > MOST_WEIGHT_MILLI)
		row->weight_milli = MOST_WEIGHT_MILLI;
	pair->seen_ns = now_ns;

	told = pair->told_permille;
	moved = told > row->slowdown_permille ? told - row->slowdown_permille
					      : row->slowdown_permille - told;
	if (moved * TOLD_SHARE > told)
		pair_changed(pairs, pair);
}

/*
 * wl_pairs_slowdown - what is known of a pair
 *
 * Return: permille; zero when nothing was learnt.
 */
uint64_t wl_pairs_slowdown(const wl_pairs_t *pairs, wl_str_t kind, wl_str_t beside)
{
	const wl_pair_t *pair = pair_find(pairs, kind, beside);

	return pair ? pair->row.slowdown_permille : 0;
}

/*
 * wl_pairs_take_changes - the rows that moved since they were last told
 * @rows: wl_pair_row_t, added to
 * @most: rows to add; the rest comes next time
 */
void wl_pairs_take_changes(wl_pairs_t *pairs, wl_list_t *rows, size_t most)
{
	wl_pair_t *pair;

	while (most-- && (pair = TAILQ_FIRST(&pairs->changes))) {
		TAILQ_REMOVE(&pairs->changes, pair, of_changed);
		pair->changed = false;
		pair->told_permille = pair->row.slowdown_permille;
		wl_record_copy(&wl_pair_row_schema, wl_list_add(&wl_pair_row_schema, rows),
			       &pair->row);
	}
}

/*
 * wl_pairs_tell_all - have every row told again, to a new leader
 */
void wl_pairs_tell_all(wl_pairs_t *pairs)
{
	wl_pair_t *pair;

	TAILQ_FOREACH (pair, &pairs->all, link)
		pair_changed(pairs, pair);
}
