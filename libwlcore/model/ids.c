/* Look-up of structs by a number, over wl_map_t. */

#include "ids.h"

static wl_str_t id_key(const uint64_t *id)
{
	return (wl_str_t){(const char *)id, sizeof(*id)};
}

/*
 * wl_id_put - add a struct under a number
 * @node: embedded in the struct; in no map yet
 * @id: not in use
 * @owner: the struct
 */
void wl_id_put(wl_map_t *ids, wl_id_node_t *node, uint64_t id, void *owner)
{
	node->id = id;
	node->key = id_key(&node->id);
	node->owner = owner;
	wl_map_put(ids, node);
}

/*
 * wl_id_get - find a struct by its number
 *
 * Return: the struct, or NULL.
 */
void *wl_id_get(const wl_map_t *ids, uint64_t id)
{
	const wl_id_node_t *node = wl_map_get(ids, id_key(&id));

	return node ? node->owner : NULL;
}

/*
 * wl_id_remove - remove a struct; no effect if it is not in the map
 */
void wl_id_remove(wl_map_t *ids, wl_id_node_t *node)
{
	if (!node->owner)
		return;
	wl_map_remove(ids, node->key);
	node->owner = NULL;
}
