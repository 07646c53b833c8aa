/*
 * Interference between kinds of work.
 *
 * The slowdown of a pair is a weighted mean of samples; the weight of old
 * samples halves with time, so that the table follows changes of the load.
 */

#include "pairs.h"

#include <stdlib.h>

#define MAX_PAIRS	    4096
#define MAX_WEIGHT_MILLI    16000
#define SAMPLE_WEIGHT_MILLI 1000
#define HALF_LIFE_NS	    600000000000ull
#define MAX_PERMILLE	    100000
#define RESEND_DIVISOR	    20 /* a row is sent again after a change by a twentieth */

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
		TAILQ_REMOVE(&pairs->changes, pair, change_link);
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

	if (wl_map_count(&pairs->by_kinds) >= MAX_PAIRS)
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
	TAILQ_INSERT_TAIL(&pairs->changes, pair, change_link);
}

/*
 * wl_pairs_learn - add a sample
 * @kind: the work that was slowed down
 * @beside: work on the same target at that time
 * @slowdown_permille: 1000 is no slowdown
 */
void wl_pairs_learn(wl_pairs_t *pairs, wl_str_t kind, wl_str_t beside, uint64_t slowdown_permille,
		    uint64_t now_ns)
{
	wl_pair_t *pair = pair_find(pairs, kind, beside);
	wl_pair_row_t *row;
	uint64_t sent;
	uint64_t change;

	if (slowdown_permille > MAX_PERMILLE)
		slowdown_permille = MAX_PERMILLE;
	if (!pair)
		pair = pair_add(pairs, kind, beside);
	TAILQ_REMOVE(&pairs->all, pair, link);
	TAILQ_INSERT_TAIL(&pairs->all, pair, link);

	row = &pair->row;
	for (; row->weight_milli && pair->decayed_ns + HALF_LIFE_NS <= now_ns;
	     pair->decayed_ns += HALF_LIFE_NS)
		row->weight_milli /= 2;
	row->slowdown_permille = (row->slowdown_permille * row->weight_milli +
				  slowdown_permille * SAMPLE_WEIGHT_MILLI) /
				 (row->weight_milli + SAMPLE_WEIGHT_MILLI);
	row->weight_milli += SAMPLE_WEIGHT_MILLI;
	if (row->weight_milli > MAX_WEIGHT_MILLI)
		row->weight_milli = MAX_WEIGHT_MILLI;
	pair->decayed_ns = now_ns;

	sent = pair->sent_permille;
	change = sent > row->slowdown_permille ? sent - row->slowdown_permille
					       : row->slowdown_permille - sent;
	if (change * RESEND_DIVISOR > sent)
		pair_changed(pairs, pair);
}

/*
 * wl_pairs_slowdown - learnt slowdown of a kind beside another
 *
 * Return: permille; zero when nothing was learnt.
 */
uint64_t wl_pairs_slowdown(const wl_pairs_t *pairs, wl_str_t kind, wl_str_t beside)
{
	const wl_pair_t *pair = pair_find(pairs, kind, beside);

	return pair ? pair->row.slowdown_permille : 0;
}

/*
 * wl_pairs_take_changes - copy rows that changed since they were last sent, and mark them as sent
 * @rows: wl_pair_row_t; rows are appended
 * @most: number of rows at most; the others stay marked as changed
 */
void wl_pairs_take_changes(wl_pairs_t *pairs, wl_list_t *rows, size_t most)
{
	wl_pair_t *pair;

	while (most-- && (pair = TAILQ_FIRST(&pairs->changes))) {
		TAILQ_REMOVE(&pairs->changes, pair, change_link);
		pair->changed = false;
		pair->sent_permille = pair->row.slowdown_permille;
		wl_record_copy(&wl_pair_row_schema, wl_list_add(&wl_pair_row_schema, rows),
			       &pair->row);
	}
}

/*
 * wl_pairs_resend_all - mark every row as changed, for a new leader
 */
void wl_pairs_resend_all(wl_pairs_t *pairs)
{
	wl_pair_t *pair;

	TAILQ_FOREACH (pair, &pairs->all, link)
		pair_changed(pairs, pair);
}
