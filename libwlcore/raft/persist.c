/*
 * Persistence of the replicated log.
 *
 * Changes are collected while a PERSIST is in flight and written together by the
 * next one, so that a slow disk leads to larger batches and not to a longer queue.
 */

#include "internal.h"

#include <string.h>

static uint64_t next_ticket(const wl_raft_t *raft)
{
	return raft->issued_ticket + 1;
}

/*
 * wl_raft_set_term - change term and vote; they are durable once vote_ticket is synced
 */
void wl_raft_set_term(wl_raft_t *raft, uint64_t term, uint64_t vote)
{
	if (raft->term == term && raft->vote == vote)
		return;
	raft->term = term;
	raft->vote = vote;
	raft->vote_dirty = true;
	raft->vote_ticket = next_ticket(raft);
}

static bool persist_needed(const wl_raft_t *raft)
{
	return raft->vote_dirty || raft->group_dirty || raft->snapshot_dirty ||
	       raft->truncate_from || raft->unsaved_from <= wl_raft_last_index(raft);
}

static void persist_entries(wl_raft_t *raft, wl_raft_persist_t *persist)
{
	uint64_t last = wl_raft_last_index(raft);

	for (uint64_t i = raft->unsaved_from; i <= last; i++)
		wl_record_copy(&wl_raft_entry_schema,
			       wl_list_add(&wl_raft_entry_schema, &persist->entries),
			       wl_raft_log_at(raft, i));
	raft->unsaved_from = last + 1;
	raft->issued_index = last;
}

/*
 * wl_raft_persist_flush - emit a PERSIST of all unsaved changes, unless one is in flight
 */
void wl_raft_persist_flush(wl_raft_t *raft)
{
	wl_raft_persist_t *persist;

	if (raft->issued_ticket != raft->synced_ticket || !persist_needed(raft))
		return;

	persist = &wl_raft_out_add(raft, WL_RAFT_DO_PERSIST)->persist;
	persist->ticket = ++raft->issued_ticket;
	persist->has_vote = raft->vote_dirty;
	persist->term = raft->term;
	persist->vote = raft->vote;
	persist->has_members = raft->group_dirty;
	persist->has_snapshot = raft->snapshot_dirty;
	if (persist->has_members || persist->has_snapshot)
		wl_record_copy(&wl_raft_members_schema, &persist->members, &raft->base);
	if (persist->has_snapshot) {
		persist->snapshot_index = raft->snapshot_index;
		persist->snapshot_term = raft->snapshot_term;
		wl_buf_set(&persist->snapshot, wl_buf_str(&raft->snapshot));
	}
	persist->truncate_from = raft->truncate_from;
	persist_entries(raft, persist);

	raft->vote_dirty = false;
	raft->group_dirty = false;
	raft->snapshot_dirty = false;
	raft->truncate_from = 0;
}

static void send_deferred(wl_raft_t *raft)
{
	size_t kept = 0;

	for (size_t i = 0; i < raft->deferred_count; i++) {
		wl_raft_deferred_msg_t *deferred = &raft->deferred[i];

		if (deferred->ticket > raft->synced_ticket) {
			raft->deferred[kept++] = *deferred;
			continue;
		}
		wl_raft_send(raft, wl_buf_str(&deferred->name), &deferred->msg);
		wl_buf_free(&deferred->name);
	}
	raft->deferred_count = kept;
}

/*
 * wl_raft_persist_done - record that a PERSIST is synced, and send the messages deferred for it
 *
 * Return: false if @ticket is not the one in flight.
 */
bool wl_raft_persist_done(wl_raft_t *raft, uint64_t ticket)
{
	if (ticket != raft->issued_ticket || ticket == raft->synced_ticket)
		return false;
	raft->synced_ticket = ticket;
	raft->synced_index = raft->issued_index;
	send_deferred(raft);
	return true;
}
