/* An entry's copy of the group's state: the lists, the owners of targets, and the entries. */

#include "view.h"

#include <stdlib.h>
#include <string.h>

/*
 * wl_view_init - initialize an empty view
 */
void wl_view_init(wl_view_t *view)
{
	memset(view, 0, sizeof(*view));
	wl_map_init(&view->by_target);
	TAILQ_INIT(&view->targets);
}

static void view_target_remove(wl_view_t *view, wl_view_target_t *target)
{
	wl_map_remove(&view->by_target, target->key);
	TAILQ_REMOVE(&view->targets, target, link);
	wl_record_free(&wl_owner_row_schema, &target->row);
	free(target);
}

/*
 * wl_view_free - release a view
 */
void wl_view_free(wl_view_t *view)
{
	wl_view_target_t *target;

	while ((target = TAILQ_FIRST(&view->targets)))
		view_target_remove(view, target);
	wl_map_free(&view->by_target);
	wl_lists_free(view->lists);
	wl_list_free(&wl_member_schema, &view->members);
	wl_strings_free(&view->replicas);
}

static void view_put_row(wl_view_t *view, const wl_owner_row_t *row, uint64_t changed)
{
	wl_view_target_t *target = wl_map_get(&view->by_target, wl_buf_str(&row->target));

	if (target)
		view_target_remove(view, target);
	if (row->forgotten)
		return;

	target = wl_alloc(sizeof(*target));
	wl_record_copy(&wl_owner_row_schema, &target->row, row);
	target->key = wl_buf_str(&target->row.target);
	target->changed = changed;
	wl_map_put(&view->by_target, target);
	TAILQ_INSERT_TAIL(&view->targets, target, link);
}

/* Removes the targets that the last whole table did not contain; @mark is its index. */
static void view_remove_older(wl_view_t *view, uint64_t mark)
{
	wl_view_target_t *target;
	wl_view_target_t *next;

	for (target = TAILQ_FIRST(&view->targets); target; target = next) {
		next = TAILQ_NEXT(target, link);
		if (target->changed != mark)
			view_target_remove(view, target);
	}
}

static void view_put_rows(wl_view_t *view, const wl_msg_view_t *msg)
{
	const wl_owner_row_t *rows = msg->owners.items;
	wl_view_target_t *target;

	if (msg->owners_from == 0)
		TAILQ_FOREACH (target, &view->targets, link)
			target->changed = 0;
	for (size_t i = 0; i < msg->owners.count; i++)
		view_put_row(view, &rows[i], msg->owners_to ? msg->owners_to : 1);
	if (msg->owners_from == 0)
		view_remove_older(view, msg->owners_to ? msg->owners_to : 1);
	view->owners_index = msg->owners_to;
}

static bool view_put_lists(wl_view_t *view, const wl_msg_view_t *msg, wl_err_t *err)
{
	wl_lists_t *lists;

	if (!msg->has_lists)
		return true;
	lists = wl_lists_new(wl_buf_str(&msg->customers), wl_buf_str(&msg->plans), err);
	if (!lists)
		return false;
	wl_lists_free(view->lists);
	view->lists = lists;
	view->revision = msg->revision;
	view->customers_version = msg->customers_version;
	view->plans_version = msg->plans_version;
	return true;
}

static bool view_unusable(const wl_view_t *view, const wl_msg_view_t *msg, wl_err_t *err)
{
	if (view->group != 0 && msg->group != view->group)
		return !wl_err_set(err, WL_E_CONFLICT, WL_NOT_RUN, "view belongs to another group");
	if (msg->revision < view->revision || msg->owners_to < view->owners_index)
		return !wl_err_set(err, WL_E_STALE, WL_NOT_RUN,
				   "view is older than the present one");
	if (msg->owners_from > view->owners_index)
		return !wl_err_set(err, WL_E_STALE, WL_NOT_RUN,
				   "view lacks ownership changes before owners_from");
	if (!msg->has_lists && msg->revision != view->revision)
		return !wl_err_set(err, WL_E_STALE, WL_NOT_RUN,
				   "view has a new revision but no lists");
	return false;
}

/*
 * wl_view_apply - update the view from a message of the leader
 * @view: unchanged on error
 * @msg: the lists, and the ownership changes since owners_from
 * @err: WL_E_CONFLICT for another group, WL_E_STALE for an older state,
 *	WL_E_BAD_INPUT for invalid lists
 *
 * Return: false on error.
 */
bool wl_view_apply(wl_view_t *view, const wl_msg_view_t *msg, wl_err_t *err)
{
	if (view_unusable(view, msg, err))
		return false;
	if (!view_put_lists(view, msg, err))
		return false;
	view_put_rows(view, msg);
	wl_list_free(&wl_member_schema, &view->members);
	for (size_t i = 0; i < msg->members.count; i++)
		wl_record_copy(&wl_member_schema, wl_list_add(&wl_member_schema, &view->members),
			       (const wl_member_t *)msg->members.items + i);
	wl_strings_set(&view->replicas, &msg->replicas);
	view->group = msg->group;
	if (msg->term > view->term)
		view->term = msg->term;
	return true;
}

/*
 * wl_view_owner - find the ownership row of a target
 *
 * Return: its row, or NULL if the target is not known.
 */
const wl_owner_row_t *wl_view_owner(const wl_view_t *view, wl_str_t target)
{
	const wl_view_target_t *found = wl_map_get(&view->by_target, target);

	return found ? &found->row : NULL;
}

/*
 * wl_view_member - find an entry by name
 *
 * Return: the entry, or NULL if it has no session.
 */
const wl_member_t *wl_view_member(const wl_view_t *view, wl_str_t entry)
{
	const wl_member_t *members = view->members.items;

	for (size_t i = 0; i < view->members.count; i++)
		if (wl_str_equal(wl_buf_str(&members[i].entry), entry))
			return &members[i];
	return NULL;
}
