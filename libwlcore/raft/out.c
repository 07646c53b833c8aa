/* Actions of the replicated log: construction, deferred sending and release. */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#define OUT_MIN_CAPACITY      8
#define DEFERRED_MIN_CAPACITY 8

/*
 * wl_raft_persist_free - free the contents of a change to stored state and zero it
 */
void wl_raft_persist_free(wl_raft_persist_t *persist)
{
	wl_record_free(&wl_raft_members_schema, &persist->members);
	wl_buf_free(&persist->snapshot);
	wl_list_free(&wl_raft_entry_schema, &persist->entries);
	*persist = (wl_raft_persist_t){0};
}

/*
 * wl_raft_saved_free - free the contents of stored state and zero it
 */
void wl_raft_saved_free(wl_raft_saved_t *saved)
{
	wl_record_free(&wl_raft_members_schema, &saved->members);
	wl_buf_free(&saved->snapshot);
	wl_list_free(&wl_raft_entry_schema, &saved->entries);
	*saved = (wl_raft_saved_t){0};
}

/*
 * wl_raft_out_init - initialize an empty list of actions
 */
void wl_raft_out_init(wl_raft_out_t *out)
{
	*out = (wl_raft_out_t){0};
}

/*
 * wl_raft_out_clear - free all actions and the memory of the list
 */
void wl_raft_out_clear(wl_raft_out_t *out)
{
	for (size_t i = 0; i < out->count; i++) {
		wl_raft_action_t *action = &out->actions[i];

		wl_buf_free(&action->name);
		wl_record_free(&wl_raft_msg_schema, &action->msg);
		wl_raft_persist_free(&action->persist);
		wl_record_free(&wl_raft_entry_schema, &action->entry);
		wl_buf_free(&action->data);
	}
	free(out->actions);
	*out = (wl_raft_out_t){0};
}

/*
 * wl_raft_out_free - free all actions and the memory of the list
 */
void wl_raft_out_free(wl_raft_out_t *out)
{
	wl_raft_out_clear(out);
}

/*
 * wl_raft_out_add - append an action to those of the current step
 *
 * Return: the zeroed action, valid until the next one is added.
 */
wl_raft_action_t *wl_raft_out_add(wl_raft_t *raft, wl_raft_action_kind_t kind)
{
	wl_raft_out_t *out = raft->out;
	wl_raft_action_t *action;

	if (out->count == out->capacity) {
		out->capacity = out->capacity ? 2 * out->capacity : OUT_MIN_CAPACITY;
		out->actions = wl_realloc(out->actions, out->capacity * sizeof(*out->actions));
	}
	action = &out->actions[out->count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	return action;
}

static void msg_fill_header(const wl_raft_t *raft, wl_raft_msg_t *msg)
{
	msg->from = raft->id;
	if (!msg->group)
		msg->group = raft->members.group;
	if (!msg->term)
		msg->term = raft->term;
	wl_buf_set(&msg->name, wl_buf_str(&raft->name));
}

static void send_filled(wl_raft_t *raft, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_action_t *action = wl_raft_out_add(raft, WL_RAFT_DO_SEND);

	wl_buf_set(&action->name, name);
	action->msg = *msg;
	*msg = (wl_raft_msg_t){0};
}

/*
 * wl_raft_send - send a message at once
 * @name: of the receiving daemon
 * @msg: ownership is taken; the sender, and group and term where zero, are filled in
 */
void wl_raft_send(wl_raft_t *raft, wl_str_t name, wl_raft_msg_t *msg)
{
	msg_fill_header(raft, msg);
	send_filled(raft, name, msg);
}

/*
 * wl_raft_send_after - send a message once a PERSIST is synced
 * @ticket: of the PERSIST that the message depends on
 * @msg: as for wl_raft_send()
 */
void wl_raft_send_after(wl_raft_t *raft, uint64_t ticket, wl_str_t name, wl_raft_msg_t *msg)
{
	wl_raft_deferred_msg_t *deferred;

	if (ticket <= raft->synced_ticket) {
		wl_raft_send(raft, name, msg);
		return;
	}
	if (raft->deferred_count == raft->deferred_capacity) {
		raft->deferred_capacity = raft->deferred_capacity ? 2 * raft->deferred_capacity
								  : DEFERRED_MIN_CAPACITY;
		raft->deferred = wl_realloc(raft->deferred,
					    raft->deferred_capacity * sizeof(*raft->deferred));
	}
	msg_fill_header(raft, msg);
	deferred = &raft->deferred[raft->deferred_count++];
	*deferred = (wl_raft_deferred_msg_t){.ticket = ticket, .msg = *msg};
	wl_buf_set(&deferred->name, name);
	*msg = (wl_raft_msg_t){0};
}
