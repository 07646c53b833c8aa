#ifndef TESTS_FAKE_HOST_INTERNAL_H
#define TESTS_FAKE_HOST_INTERNAL_H

#include <stdio.h>

#include <libwlbase/units.h>
#include <libwlnet/http_client.h>
#include <libwlnet/http_server.h>

#include "fake.h"
#include "host.h"

#define MAX_ADDRESSES 64

/* A reply that is sent when its service time has passed. */
typedef struct host_reply {
	uint64_t call;
	uint64_t due_ns;
	fake_reply_t reply;
	TAILQ_ENTRY(host_reply) link;
} host_reply_t;

/* An event that was received while its target was frozen. */
typedef struct host_deferred {
	wl_event_t *event;
	TAILQ_ENTRY(host_deferred) link;
} host_deferred_t;

typedef struct host_target {
	fake_t *fake;
	wl_buf_t name;
	wl_buf_t listen;
	wl_buf_t address; /* announced address */
	wl_buf_t rack;
	wl_buf_t availability_zone;
	wl_http_server_t *server;
	bool announcing;
	uint64_t announce_ns;
	size_t announce_to;
	TAILQ_HEAD(host_replies, host_reply) replies;
	TAILQ_HEAD(host_deferreds, host_deferred) deferred;
} host_target_t;

struct host {
	const host_settings_t *settings;
	wl_ring_t *ring;
	wl_http_client_t *client;
	wl_http_server_t *control;
	host_target_t *targets;
	size_t count;
	wl_list_t services; /* strings */
	wl_str_t announce_to[MAX_ADDRESSES];
	size_t announce_count;
	wl_buf_t authorization;
	FILE *record;
};

/* host.c */
uint64_t host_boot_new(void);
bool host_listen(host_t *host, size_t index, wl_err_t *err);

/* host_target.c */
void host_reply_send(wl_http_server_t *server, uint64_t call, fake_reply_t *fake);
void host_replies_send(host_target_t *target, uint64_t now);
void host_replies_drop(host_target_t *target);
void host_deferred_drop(host_target_t *target);
void host_deferred_run(host_target_t *target, uint64_t now);
void host_target_event(host_target_t *target, wl_event_t *event, uint64_t now);
void host_event_free(wl_event_t *event);

/* host_control.c */
void host_control_handle(host_t *host, wl_event_t *event, uint64_t now);

#endif
