#ifndef WL_EVENT_LOOP_H
#define WL_EVENT_LOOP_H

#include <libwlcore/node/node.h>
#include <libwlnet/http_client.h>
#include <libwlnet/http_server.h>
#include <libwlnet/peer.h>

#include "disk.h"

/* The thread that steps the node and carries out what it asks for. */

/* Ids of HTTP calls: one sequence for all listeners, each takes every third. */
#define WL_CALLER_FIRST	 1
#define WL_CONTROL_FIRST 2
#define WL_METRICS_FIRST 3
#define WL_CALL_STEP	 3

typedef enum wl_outcome {
	WL_OUTCOME_NONE,    /* goes on */
	WL_OUTCOME_DRAINED, /* the planned stop is over */
	WL_OUTCOME_LATE,    /* the planned stop took too long */
	WL_OUTCOME_FATAL,   /* the stored state can't be trusted */
} wl_outcome_t;

typedef struct wl_decide_options {
	wl_node_t *node;
	wl_ring_t *events;
	wl_peers_t *peers;
	wl_http_client_t *client;
	wl_http_server_t *caller; /* NULL without the role entry */
	wl_http_server_t *control;
	wl_http_server_t *metrics; /* NULL without --metrics-listen */
	wl_disk_t *disk;	   /* NULL without the role store */
	int notice_fd;		   /* eventfd, written once there is an outcome */
} wl_decide_options_t;

typedef struct wl_decide wl_decide_t;

wl_decide_t *wl_decide_start(const wl_decide_options_t *options, wl_err_t *err);
void wl_decide_drain(wl_decide_t *decide);
wl_outcome_t wl_decide_outcome(const wl_decide_t *decide);
void wl_decide_stop(wl_decide_t *decide);

#endif
