/* Slowdown between kinds of work, merged from what the owners learnt. */

#include "internal.h"

#include <stdlib.h>

#define UNKNOWN_PERMILLE     1000
#define INTERFERING_PERMILLE 1250
#define MAX_WEIGHT_MILLI     100000
#define HALF_LIFE_NS	     600000000000ULL

static void pair_text(wl_str_t kind, wl_str_t beside, wl_buf_t *text)
{
	wl_buf_set(text, kind);
	wl_buf_append(text, (wl_str_t){"", 1});
	wl_buf_append(text, beside);
}

static wl_place_pair_t *pair_find(const wl_place_t *place, wl_str_t kind, wl_str_t beside)
{
	wl_buf_t text = {0};
	wl_place_pair_t *pair;

	pair_text(kind, beside, &text);
	pair = wl_map_get(&place->by_pair, wl_buf_str(&text));
	wl_buf_free(&text);
	return pair;
}

static wl_place_pair_t *pair_add(wl_place_t *place, wl_str_t kind, wl_str_t beside)
{
	wl_place_pair_t *pair = wl_alloc(sizeof(*pair));

	pair_text(kind, beside, &pair->text);
	pair->key = wl_buf_str(&pair->text);
	wl_map_put(&place->by_pair, pair);
	TAILQ_INSERT_TAIL(&place->pairs, pair, link);
	return pair;
}

static void pair_decay(wl_place_pair_t *pair, uint64_t now_ns)
{
	while (pair->weight_milli > 0 && now_ns >= pair->decayed_ns + HALF_LIFE_NS) {
		pair->weight_milli /= 2;
		pair->decayed_ns += HALF_LIFE_NS;
	}
	if (pair->weight_milli == 0)
		pair->decayed_ns = now_ns;
}

static void add_interfering(wl_place_t *place, wl_str_t kind)
{
	if (!wl_strings_contain(&place->interfering_kinds, kind))
		wl_strings_add(&place->interfering_kinds, kind);
}

/*
 * wl_place_pair_learn - merge what an owner learnt of a pair of kinds
 * @now_ns: monotonic time; the weight of older values halves every ten minutes
 */
void wl_place_pair_learn(wl_place_t *place, uint64_t now_ns, const wl_pair_row_t *row)
{
	wl_str_t kind = wl_buf_str(&row->kind);
	wl_str_t beside = wl_buf_str(&row->colocated_kind);
	uint64_t more = row->weight_milli < MAX_WEIGHT_MILLI ? row->weight_milli : MAX_WEIGHT_MILLI;
	wl_place_pair_t *pair = pair_find(place, kind, beside);
	uint64_t sum;

	if (more == 0)
		return;
	if (!pair)
		pair = pair_add(place, kind, beside);
	pair_decay(pair, now_ns);
	sum = pair->weight_milli + more;
	pair->slowdown_permille =
		(pair->slowdown_permille * pair->weight_milli + row->slowdown_permille * more) /
		sum;
	pair->weight_milli = sum < MAX_WEIGHT_MILLI ? sum : MAX_WEIGHT_MILLI;
	if (pair->slowdown_permille >= INTERFERING_PERMILLE) {
		add_interfering(place, kind);
		add_interfering(place, beside);
	}
}

/*
 * wl_place_slowdown - expected slowdown of a kind beside another
 *
 * Return: permille; 1000 when nothing was learnt.
 */
uint64_t wl_place_slowdown(const wl_place_t *place, wl_str_t kind, wl_str_t beside)
{
	const wl_place_pair_t *pair = pair_find(place, kind, beside);

	if (!pair || pair->slowdown_permille < UNKNOWN_PERMILLE)
		return UNKNOWN_PERMILLE;
	return pair->slowdown_permille;
}

/*
 * wl_place_pairs_clear - release everything learnt of pairs
 */
void wl_place_pairs_clear(wl_place_t *place)
{
	wl_place_pair_t *pair;

	while ((pair = TAILQ_FIRST(&place->pairs))) {
		TAILQ_REMOVE(&place->pairs, pair, link);
		wl_buf_free(&pair->text);
		free(pair);
	}
	wl_map_free(&place->by_pair);
	wl_strings_free(&place->interfering_kinds);
}
