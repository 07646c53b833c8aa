#ifndef WL_ADVERTISE_H
#define WL_ADVERTISE_H

#include <sys/queue.h>

#include <libwlcore/owner/ledger.h>
#include <libwlcore/model/msg.h>

/*
 * Free capacity that an entry advertises to its peers; only changes are sent.
 *
 * Three messages report capacity: an announce, from a target to its owner; an
 * offer, from an owner to the leader (offer.c); and an advertisement, from an
 * entry to its peers (WL_MSG_CAPACITY).
 */

typedef struct wl_advert_row {
	wl_str_t key;
	wl_buf_t key_text;
	wl_room_row_t now;
	wl_room_row_t sent; /* last sent values; only the numbers are set */
	bool resend;	    /* a peer may know less free capacity than was sent */
	TAILQ_ENTRY(wl_advert_row) link;
} wl_advert_row_t;

typedef struct wl_advert {
	wl_map_t by_key;
	TAILQ_HEAD(wl_advert_rows, wl_advert_row) rows;
} wl_advert_t;

void wl_advert_init(wl_advert_t *advert);
void wl_advert_free(wl_advert_t *advert);
void wl_advert_update(wl_advert_t *advert, const wl_ledger_t *ledger);
void wl_advert_resend(wl_advert_t *advert, wl_str_t service);
void wl_advert_take_changes(wl_advert_t *advert, wl_list_t *rows);
void wl_advert_copy_all(const wl_advert_t *advert, wl_list_t *rows);

#endif
