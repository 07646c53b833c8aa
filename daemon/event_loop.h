#ifndef WL_EVENT_LOOP_H
#define WL_EVENT_LOOP_H

#include <libwlcore/node/node.h>
#include <libwlnet/http_client.h>
#include <libwlnet/http_server.h>
#include <libwlnet/peer.h>

#include "disk.h"

/* The thread that feeds events to the node and executes the actions that it returns. */

/* Ids of HTTP calls are unique across listeners: each starts at its own id and steps by three. */
#define WL_CALLER_FIRST	 1
#define WL_CONTROL_FIRST 2
#define WL_METRICS_FIRST 3
#define WL_CALL_STEP	 3

typedef enum wl_outcome {
	WL_OUTCOME_NONE,    /* still running */
	WL_OUTCOME_DRAINED, /* the drain completed */
	WL_OUTCOME_LATE,    /* the drain exceeded --drain-ms */
	WL_OUTCOME_FATAL,   /* stored state is damaged or the disk failed */
} wl_outcome_t;

typedef struct wl_event_loop_options {
	wl_node_t *node;
	wl_ring_t *events;
	uint32_t queue_slots; /* events that are taken from it ahead */
	wl_peers_t *peers;
	wl_http_client_t *client;
	wl_http_server_t *caller; /* NULL without the role entry */
	wl_http_server_t *control;
	wl_http_server_t *metrics; /* NULL without --metrics-listen */
	wl_disk_t *disk;	   /* NULL without the role store */
	int outcome_fd;		   /* eventfd, written when the outcome is set */
} wl_event_loop_options_t;

typedef struct wl_event_loop wl_event_loop_t;

wl_event_loop_t *wl_event_loop_start(const wl_event_loop_options_t *options, wl_err_t *err);
void wl_event_loop_drain(wl_event_loop_t *loop);
wl_outcome_t wl_event_loop_outcome(const wl_event_loop_t *loop);
void wl_event_loop_stop(wl_event_loop_t *loop);

#endif
