/*
 * Hash map of structs by a string key: open addressing with linear probing.
 *
 * A slot keeps the hash of its key, so that a search reads a struct only if it is very likely the
 * one that is sought.  A removal moves later slots of the run back instead of leaving a mark.
 */

#include "map.h"

#include <stdlib.h>

#define MAP_CAPACITY 16 /* initial; a power of two */
#define MAP_SEED     0x77697374
/* At most this share of the slots is in use. */
#define LOAD_NUMERATOR	 3
#define LOAD_DENOMINATOR 4

struct wl_map_slot {
	void *item; /* NULL: the slot is free */
	uint64_t hash;
};

static const wl_str_t *item_key(const void *item)
{
	return item;
}

static wl_map_slot_t *slots_new(size_t capacity)
{
	wl_map_slot_t *slots = wl_alloc(capacity * sizeof(*slots));

	memset(slots, 0, capacity * sizeof(*slots));
	return slots;
}

/* Returns the slot of a key, or the free one where it belongs. */
static size_t slot_find(const wl_map_t *map, wl_str_t key, uint64_t hash)
{
	size_t at = hash & (map->capacity - 1);

	while (map->slots[at].item &&
	       (map->slots[at].hash != hash || !wl_str_equal(*item_key(map->slots[at].item), key)))
		at = (at + 1) & (map->capacity - 1);
	return at;
}

static void map_grow(wl_map_t *map)
{
	wl_map_slot_t *old = map->slots;
	size_t count = map->capacity;

	map->capacity *= 2;
	map->slots = slots_new(map->capacity);
	for (size_t i = 0; i < count; i++)
		if (old[i].item)
			map->slots[slot_find(map, *item_key(old[i].item), old[i].hash)] = old[i];
	free(old);
}

/*
 * wl_map_init - initialize an empty map
 */
void wl_map_init(wl_map_t *map)
{
	map->capacity = MAP_CAPACITY;
	map->count = 0;
	map->slots = slots_new(map->capacity);
}

/*
 * wl_map_free - release the map, but not the structs in it
 */
void wl_map_free(wl_map_t *map)
{
	free(map->slots);
	*map = (wl_map_t){0};
}

/*
 * wl_map_get - find a struct
 *
 * Return: the struct, or NULL.
 */
void *wl_map_get(const wl_map_t *map, wl_str_t key)
{
	return map->slots[slot_find(map, key, wl_str_hash(key, MAP_SEED))].item;
}

/*
 * wl_map_put - insert a struct whose first member is its key
 *
 * Return: false if the map holds a struct with the same key.
 */
bool wl_map_put(wl_map_t *map, void *item)
{
	uint64_t hash = wl_str_hash(*item_key(item), MAP_SEED);
	size_t at = slot_find(map, *item_key(item), hash);

	if (map->slots[at].item)
		return false;
	if ((map->count + 1) * LOAD_DENOMINATOR > map->capacity * LOAD_NUMERATOR) {
		map_grow(map);
		at = slot_find(map, *item_key(item), hash);
	}
	map->slots[at] = (wl_map_slot_t){item, hash};
	map->count++;
	return true;
}

/* Whether a slot whose key belongs at @home may move from @from to the free slot @to before it. */
static bool may_move(size_t home, size_t from, size_t to, size_t mask)
{
	return ((from - home) & mask) >= ((from - to) & mask);
}

/*
 * wl_map_remove - remove a struct
 *
 * Return: the struct, or NULL if the map does not hold the key.
 */
void *wl_map_remove(wl_map_t *map, wl_str_t key)
{
	size_t mask = map->capacity - 1;
	size_t hole = slot_find(map, key, wl_str_hash(key, MAP_SEED));
	void *item = map->slots[hole].item;

	if (!item)
		return NULL;
	for (size_t at = (hole + 1) & mask; map->slots[at].item; at = (at + 1) & mask) {
		if (!may_move(map->slots[at].hash & mask, at, hole, mask))
			continue;
		map->slots[hole] = map->slots[at];
		hole = at;
	}
	map->slots[hole].item = NULL;
	map->count--;
	return item;
}

/*
 * wl_map_count - get the number of structs in the map
 */
size_t wl_map_count(const wl_map_t *map)
{
	return map->count;
}
