#ifndef WL_SESSION_H
#define WL_SESSION_H

#include <libwlcore/model/event.h>
#include <libwlcore/node/view.h>

/* An entry's lease from the leader; the entry accepts new work only while it is valid. */

typedef struct wl_session_options {
	wl_str_t entry;
	wl_str_t address; /* peer address at which other daemons dial this one */
	wl_str_t availability_zone;
	uint64_t boot;
	const wl_str_t *stores; /* names of the replicas */
	size_t store_count;
	uint64_t renew_ms;
} wl_session_options_t;

typedef struct wl_session {
	wl_session_options_t options;
	uint64_t id; /* 0: none */
	uint64_t valid_until_ns;
	uint64_t next_renew_ns;
	uint64_t last_answer_ns;
	uint64_t granted_sent_ns; /* when the newest renewal that was granted was sent */
	size_t next_store;
	wl_buf_t leader; /* name; empty: not known */
	wl_buf_t silent; /* the last leader, if it has not answered; followed only if it grants */
	bool draining;
	bool closed; /* no longer renewed */
} wl_session_t;

void wl_session_init(wl_session_t *session, const wl_session_options_t *options, uint64_t now_ns);
void wl_session_free(wl_session_t *session);
void wl_session_step(wl_session_t *session, wl_view_t *view, uint64_t now_ns,
		     const wl_event_t *event, wl_out_t *out);
void wl_session_stores_set(wl_session_t *session, const wl_str_t *stores, size_t count);
void wl_session_close(wl_session_t *session);
bool wl_session_valid(const wl_session_t *session, uint64_t now_ns);

#endif
