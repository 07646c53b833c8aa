#ifndef WL_MAP_H
#define WL_MAP_H

#include <stdbool.h>
#include <stddef.h>

#include <libwlbase/str.h>

typedef struct wl_map_slot wl_map_slot_t;

/*
 * Hash map of structs by a string key.  The first member of a struct must be its
 * key, a wl_str_t whose bytes stay valid and unchanged while the struct is in the
 * map.  The map does not own the structs and has no iteration; callers that need
 * to iterate in a stable order keep the structs in a TAILQ as well.
 */
typedef struct wl_map {
	wl_map_slot_t *slots;
	size_t capacity; /* a power of two */
	size_t count;
} wl_map_t;

void wl_map_init(wl_map_t *map);
void wl_map_free(wl_map_t *map);
void *wl_map_get(const wl_map_t *map, wl_str_t key);
bool wl_map_put(wl_map_t *map, void *item);
void *wl_map_remove(wl_map_t *map, wl_str_t key);
size_t wl_map_count(const wl_map_t *map);

#endif
