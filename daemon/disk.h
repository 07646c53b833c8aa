#ifndef WL_DISK_H
#define WL_DISK_H

#include <libwlbase/ring.h>
#include <libwlcore/model/event.h>
#include <libwlstore/store.h>

/* The thread that writes the store's files.  It batches persists and syncs once per batch. */

typedef struct wl_disk_options {
	wl_store_t *store;
	wl_ring_t *events; /* receives a wl_event_t * (WL_EVENT_PERSISTED) per persist, in order */
	uint32_t queue_slots; /* power of two */
} wl_disk_options_t;

typedef struct wl_disk wl_disk_t;

/* Waits for a time; returns true if the daemon was told to stop. */
typedef bool (*wl_disk_wait_t)(void *context, int wait_ms);

wl_disk_t *wl_disk_start(const wl_disk_options_t *options, wl_err_t *err);
wl_store_t *wl_disk_store_open(const wl_store_options_t *options, wl_raft_saved_t *saved,
			       wl_disk_wait_t wait, void *context, wl_err_t *err);
bool wl_disk_persist(wl_disk_t *disk, wl_raft_persist_t *persist);
bool wl_disk_failed(const wl_disk_t *disk);
uint64_t wl_disk_syncs(const wl_disk_t *disk);
void wl_disk_stop(wl_disk_t *disk);

#endif
