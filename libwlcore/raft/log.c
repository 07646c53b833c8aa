/* In-memory log: the entries after the snapshot. */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

static wl_raft_entry_t *log_items(const wl_raft_t *raft)
{
	return raft->log.items;
}

/*
 * wl_raft_last_index - index of the newest entry, or of the snapshot
 */
uint64_t wl_raft_last_index(const wl_raft_t *raft)
{
	return raft->snapshot_index + raft->log.count;
}

/*
 * wl_raft_last_term - term of the newest entry, or of the snapshot
 */
uint64_t wl_raft_last_term(const wl_raft_t *raft)
{
	if (raft->log.count == 0)
		return raft->snapshot_term;
	return log_items(raft)[raft->log.count - 1].term;
}

/*
 * wl_raft_log_at - the entry at an index
 *
 * Return: NULL if it is in the snapshot or beyond the end.
 */
wl_raft_entry_t *wl_raft_log_at(const wl_raft_t *raft, uint64_t index)
{
	if (index <= raft->snapshot_index || index > wl_raft_last_index(raft))
		return NULL;
	return &log_items(raft)[index - raft->snapshot_index - 1];
}

/*
 * wl_raft_log_term - term of the entry at an index
 * @term: receives the term; zero for index zero
 *
 * Return: false if the index is compacted or beyond the end.
 */
bool wl_raft_log_term(const wl_raft_t *raft, uint64_t index, uint64_t *term)
{
	const wl_raft_entry_t *entry = wl_raft_log_at(raft, index);

	if (entry)
		*term = entry->term;
	else if (index == raft->snapshot_index)
		*term = raft->snapshot_term;
	else if (index == 0)
		*term = 0;
	else
		return false;
	return true;
}

/*
 * wl_raft_log_find_conflict - last index, at most @index, whose term is at most @term
 *
 * Skips entries of terms that the other replica cannot have, so that the common
 * prefix is found in few messages.
 */
uint64_t wl_raft_log_find_conflict(const wl_raft_t *raft, uint64_t index, uint64_t term)
{
	uint64_t last = wl_raft_last_index(raft);
	uint64_t own;

	if (index > last)
		index = last;
	while (index > raft->snapshot_index && wl_raft_log_term(raft, index, &own) && own > term)
		index--;
	return index;
}

/*
 * wl_raft_log_append - append an entry
 * @entry: ownership is taken; its index must be the next one
 */
void wl_raft_log_append(wl_raft_t *raft, wl_raft_entry_t *entry, uint64_t now_ns)
{
	wl_raft_members_t members;
	wl_raft_entry_t *added = wl_list_add(&wl_raft_entry_schema, &raft->log);

	*added = *entry;
	*entry = (wl_raft_entry_t){0};
	raft->log_ticket = raft->issued_ticket + 1;
	if (added->kind != WL_RAFT_MEMBERS)
		return;
	if (!wl_record_unpack(&wl_raft_members_schema, wl_buf_str(&added->data), &members, NULL))
		return;
	wl_raft_members_set(raft, &members, added->index, now_ns);
	wl_record_free(&wl_raft_members_schema, &members);
}

/*
 * wl_raft_log_truncate - remove the entry at an index and all after it
 * @from: above the commit index
 */
void wl_raft_log_truncate(wl_raft_t *raft, uint64_t from, uint64_t now_ns)
{
	wl_raft_members_t members;
	uint64_t index;

	for (uint64_t i = from; i <= wl_raft_last_index(raft); i++)
		wl_record_free(&wl_raft_entry_schema, wl_raft_log_at(raft, i));
	raft->log.count = from - raft->snapshot_index - 1;

	if (from < raft->unsaved_from) {
		if (!raft->truncate_from || from < raft->truncate_from)
			raft->truncate_from = from;
		raft->unsaved_from = from;
	}
	raft->log_ticket = raft->issued_ticket + 1;
	if (raft->synced_index >= from)
		raft->synced_index = from - 1;
	if (raft->issued_index >= from)
		raft->issued_index = from - 1;

	if (raft->members_index < from)
		return;
	wl_raft_members_before(raft, from, &members, &index);
	wl_raft_members_set(raft, &members, index, now_ns);
	wl_record_free(&wl_raft_members_schema, &members);
}

/*
 * wl_raft_log_compact - replace the log up to an index by a snapshot
 * @members: membership at the index; ownership is taken
 * @state: ownership is taken
 */
void wl_raft_log_compact(wl_raft_t *raft, uint64_t index, uint64_t term, wl_raft_members_t *members,
			 wl_buf_t *state)
{
	size_t removed = index - raft->snapshot_index;

	if (removed > raft->log.count)
		removed = raft->log.count;
	for (size_t i = 0; i < removed; i++)
		wl_record_free(&wl_raft_entry_schema, &log_items(raft)[i]);
	if (removed)
		memmove(log_items(raft), log_items(raft) + removed,
			(raft->log.count - removed) * sizeof(wl_raft_entry_t));
	raft->log.count -= removed;

	raft->snapshot_index = index;
	raft->snapshot_term = term;
	wl_buf_move(&raft->snapshot, state);
	wl_record_free(&wl_raft_members_schema, &raft->base);
	raft->base = *members;
	*members = (wl_raft_members_t){0};

	raft->snapshot_dirty = true;
	raft->log_ticket = raft->issued_ticket + 1;
	if (raft->unsaved_from <= index)
		raft->unsaved_from = index + 1;
}

/*
 * wl_raft_commit_to - emit COMMIT actions for the entries up to an index
 * @index: at most the last index of the log
 */
void wl_raft_commit_to(wl_raft_t *raft, uint64_t index)
{
	while (raft->commit < index) {
		wl_raft_entry_t *entry = wl_raft_log_at(raft, raft->commit + 1);
		wl_raft_action_t *action = wl_raft_out_add(raft, WL_RAFT_DO_COMMIT);

		wl_record_copy(&wl_raft_entry_schema, &action->entry, entry);
		action->entry.tag = entry->tag;
		entry->tag = 0;
		raft->commit++;
	}
}
