/* Hash map of structs by a string key, based on Concurrency Kit's hash set. */

#include "map.h"

#include <stdlib.h>

#include <ck_hs.h>
#include <ck_malloc.h>

#define MAP_CAPACITY 16
#define MAP_SEED     0x77697374

static void *map_malloc(size_t size)
{
	return wl_alloc(size);
}

static void *map_realloc(void *at, size_t before, size_t after, bool defer)
{
	(void)before;
	(void)defer;
	return wl_realloc(at, after);
}

static void map_release(void *at, size_t size, bool defer)
{
	(void)size;
	(void)defer;
	free(at);
}

static struct ck_malloc map_memory = {
	.malloc = map_malloc,
	.realloc = map_realloc,
	.free = map_release,
};

static unsigned long map_hash(const void *item, unsigned long seed)
{
	return wl_str_hash(*(const wl_str_t *)item, seed);
}

static bool map_compare(const void *a, const void *b)
{
	return wl_str_equal(*(const wl_str_t *)a, *(const wl_str_t *)b);
}

/*
 * wl_map_init - initialize an empty map
 */
void wl_map_init(wl_map_t *map)
{
	map->set = wl_alloc(sizeof(*map->set));
	if (!ck_hs_init(map->set, CK_HS_MODE_SPMC | CK_HS_MODE_DELETE, map_hash, map_compare,
			&map_memory, MAP_CAPACITY, MAP_SEED))
		abort();
}

/*
 * wl_map_free - release the map, but not the structs in it
 */
void wl_map_free(wl_map_t *map)
{
	if (!map->set)
		return;
	ck_hs_destroy(map->set);
	free(map->set);
	map->set = NULL;
}

/*
 * wl_map_get - find a struct
 *
 * Return: the struct, or NULL.
 */
void *wl_map_get(const wl_map_t *map, wl_str_t key)
{
	return ck_hs_get(map->set, CK_HS_HASH(map->set, map_hash, &key), &key);
}

/*
 * wl_map_put - insert a struct whose first member is its key
 *
 * Return: false if the map holds a struct with the same key.
 */
bool wl_map_put(wl_map_t *map, void *item)
{
	return ck_hs_put(map->set, CK_HS_HASH(map->set, map_hash, item), item);
}

/*
 * wl_map_remove - remove a struct
 *
 * Return: the struct, or NULL if the map does not hold the key.
 */
void *wl_map_remove(wl_map_t *map, wl_str_t key)
{
	return ck_hs_remove(map->set, CK_HS_HASH(map->set, map_hash, &key), &key);
}

/*
 * wl_map_count - get the number of structs in the map
 */
size_t wl_map_count(const wl_map_t *map)
{
	return ck_hs_count(map->set);
}
