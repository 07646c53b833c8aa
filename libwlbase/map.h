#ifndef WL_MAP_H
#define WL_MAP_H

#include <stdbool.h>
#include <stddef.h>

#include <libwlbase/str.h>

struct ck_hs;

/*
 * Finds structs by a key.  A struct kept in a map has its key, a wl_str_t
 * over bytes that the struct keeps alive, as its first member.  The map owns
 * nothing; keep the structs in a TAILQ for iteration in a stable order.
 */
typedef struct wl_map {
	struct ck_hs *set;
} wl_map_t;

void wl_map_init(wl_map_t *map);
void wl_map_free(wl_map_t *map);
void *wl_map_get(const wl_map_t *map, wl_str_t key);
bool wl_map_put(wl_map_t *map, void *item);
void *wl_map_remove(wl_map_t *map, wl_str_t key);
size_t wl_map_count(const wl_map_t *map);

#endif
