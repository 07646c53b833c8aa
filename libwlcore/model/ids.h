#ifndef WL_IDS_H
#define WL_IDS_H

#include <libwlbase/map.h>

/* Node embedded in a struct that is looked up by number; it must not move while in the map. */
typedef struct wl_id_node {
	wl_str_t key; /* over id */
	uint64_t id;
	void *owner; /* the struct that embeds it */
} wl_id_node_t;

void wl_id_put(wl_map_t *ids, wl_id_node_t *node, uint64_t id, void *owner);
void *wl_id_get(const wl_map_t *ids, uint64_t id);
void wl_id_remove(wl_map_t *ids, wl_id_node_t *node);

#endif
