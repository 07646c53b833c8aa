/*
 * The replicas that a daemon knows: those named in its settings, and the
 * members of the group.
 *
 * If the settings name only seeds, each replica's name is its IP address, so
 * that the name suffices to dial it.
 */

#include "internal.h"

#include <stdlib.h>

static void replica_dial(wl_node_t *node, wl_str_t name, wl_out_t *out)
{
	wl_buf_t address = {0};

	if (wl_str_equal(name, node->options.name))
		return;
	wl_buf_printf(&address, WL_STR_FMT ":%u", WL_STR_ARG(name), node->options.replica_port);
	wl_node_dial(out, name, wl_buf_str(&address));
	wl_buf_free(&address);
}

/* Dials the replicas whose addresses are in the settings. */
static void stores_dial(wl_node_t *node, wl_out_t *out)
{
	for (size_t i = 0; i < node->options.store_count; i++) {
		const wl_node_peer_t *store = &node->options.stores[i];

		if (!wl_str_equal(store->name, node->options.name))
			wl_node_dial(out, store->name, store->address);
	}
}

static void names_add(wl_list_t *names, const wl_list_t *more)
{
	const wl_buf_t *items = more->items;

	for (size_t i = 0; i < more->count; i++)
		if (!wl_strings_contain(names, wl_buf_str(&items[i])))
			wl_strings_add(names, wl_buf_str(&items[i]));
}

static void replicas_collect(wl_node_t *node, wl_list_t *names)
{
	for (size_t i = 0; i < node->options.store_count; i++)
		wl_strings_add(names, node->options.stores[i].name);
	if (node->options.replica_port == 0)
		return;
	names_add(names, &node->seeds);
	names_add(names, &node->view.replicas);
	if (!node->raft)
		return;
	wl_raft_member_names(node->raft, names);
	wl_raft_known_names(node->raft, names);
}

static void session_set_replicas(wl_node_t *node)
{
	const wl_buf_t *names = node->replicas.items;

	free(node->store_names);
	node->store_names = wl_alloc((node->replicas.count + 1) * sizeof(*node->store_names));
	for (size_t i = 0; i < node->replicas.count; i++)
		node->store_names[i] = wl_buf_str(&names[i]);
	wl_session_stores_set(&node->session, node->store_names, node->replicas.count);
}

/*
 * wl_node_replicas_update - dial replicas that became known, and pass their names to the session
 */
void wl_node_replicas_update(wl_node_t *node, wl_out_t *out)
{
	wl_list_t before = node->replicas;
	wl_list_t names = {0};

	replicas_collect(node, &names);
	if (wl_strings_equal(&names, &node->replicas)) {
		wl_strings_free(&names);
		return;
	}
	node->replicas = names;
	session_set_replicas(node);
	for (size_t i = 0; i < before.count; i++)
		wl_node_undial(node, wl_buf_str((const wl_buf_t *)before.items + i), out);
	wl_strings_free(&before);
	if (node->options.replica_port == 0) {
		stores_dial(node, out);
		return;
	}
	for (size_t i = 0; i < names.count; i++)
		replica_dial(node, wl_buf_str((const wl_buf_t *)names.items + i), out);
}

/*
 * wl_node_leader_hint - add the leader that a replica named, if it is not yet known
 * @name: of the leader; empty: none
 */
void wl_node_leader_hint(wl_node_t *node, wl_str_t name, wl_out_t *out)
{
	if (node->options.replica_port == 0 || name.len == 0 ||
	    wl_strings_contain(&node->replicas, name))
		return;
	wl_strings_add(&node->view.replicas, name);
	wl_node_replicas_update(node, out);
}

/*
 * wl_node_seeds_set - replace the seeds after a change of the settings
 * @seeds: strings, copied
 */
void wl_node_seeds_set(wl_node_t *node, const wl_list_t *seeds, wl_out_t *out)
{
	wl_str_t *names = wl_alloc((seeds->count + 1) * sizeof(*names));

	wl_strings_set(&node->seeds, seeds);
	for (size_t i = 0; i < seeds->count; i++)
		names[i] = wl_buf_str((const wl_buf_t *)node->seeds.items + i);
	if (node->raft)
		wl_raft_seeds_set(node->raft, names, seeds->count);
	free(names);
	wl_node_replicas_update(node, out);
}
