#ifndef WL_VIEW_H
#define WL_VIEW_H

#include <sys/queue.h>

#include <libwlbase/map.h>
#include <libwlcore/model/lists.h>
#include <libwlcore/model/msg.h>

/* A target in the view of an entry. */
typedef struct wl_view_target {
	wl_str_t key;
	wl_owner_row_t row;
	uint64_t changed; /* owners_to of the view message that changed it last */
	TAILQ_ENTRY(wl_view_target) link;
} wl_view_target_t;

/* An entry's copy of the group's state; never replaced by an older one. */
typedef struct wl_view {
	uint64_t group;
	uint64_t term;
	uint64_t revision;
	uint64_t owners_index;
	uint64_t customers_version;
	uint64_t plans_version;
	wl_lists_t *lists;  /* NULL before the first view */
	wl_list_t members;  /* wl_member_t */
	wl_list_t replicas; /* strings: names of the group's members */
	wl_map_t by_target;
	TAILQ_HEAD(wl_view_targets, wl_view_target) targets; /* newest change last */
} wl_view_t;

void wl_view_init(wl_view_t *view);
void wl_view_free(wl_view_t *view);
bool wl_view_apply(wl_view_t *view, const wl_msg_view_t *msg, wl_err_t *err);
const wl_owner_row_t *wl_view_owner(const wl_view_t *view, wl_str_t target);
const wl_member_t *wl_view_member(const wl_view_t *view, wl_str_t entry);

#endif
