#ifndef WL_ADVERTISE_H
#define WL_ADVERTISE_H

#include <sys/queue.h>

#include <libwlcore/owner/ledger.h>
#include <libwlcore/model/msg.h>

/* The own free room as it was told to peers, so that only changes are told. */

typedef struct wl_tell_row {
	wl_str_t key;
	wl_buf_t key_text;
	wl_room_row_t now;
	wl_room_row_t told; /* numbers only */
	TAILQ_ENTRY(wl_tell_row) link;
} wl_tell_row_t;

typedef struct wl_tell {
	wl_map_t by_key;
	TAILQ_HEAD(wl_tell_rows, wl_tell_row) rows;
} wl_tell_t;

void wl_tell_init(wl_tell_t *tell);
void wl_tell_free(wl_tell_t *tell);
void wl_tell_measure(wl_tell_t *tell, const wl_ledger_t *ledger);
void wl_tell_changes(wl_tell_t *tell, wl_list_t *rows);
void wl_tell_all(const wl_tell_t *tell, wl_list_t *rows);

#endif
