/*
 * The thread that writes the store's files.
 *
 * Queued persists are written as one batch and synced once.  Each gets its PERSISTED event only
 * after that sync.  When the disk is full, the write is retried; after any other failure nothing
 * more is written, since the content of the disk is no longer known.
 */

#include "disk.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>

#include <libwlbase/clock.h>
#include <libwlbase/log.h>

#define BATCH_MAX	   256 /* persists per sync */
#define QUEUE_WAIT_MS	   100
#define PUSH_RETRY_MS	   1
#define DISK_FULL_RETRY_MS 200 /* between attempts to write to a full disk */

struct wl_disk {
	wl_disk_options_t options;
	wl_ring_t *queue;
	pthread_t thread;
	unsigned int stopping;
	unsigned int failed;
	uint64_t syncs;
};

static void persist_free(wl_raft_persist_t *persist)
{
	wl_raft_persist_free(persist);
	free(persist);
}

static bool disk_mark_failed(wl_disk_t *disk, const wl_err_t *err)
{
	wl_log_event(WL_ERROR, "disk-failed", "reason=\"%s\"", err->text);
	ck_pr_store_uint(&disk->failed, 1);
	return false;
}

static void disk_full_log(const wl_err_t *err, bool *logged)
{
	if (!*logged)
		wl_log_event(WL_ERROR, "disk-full", "reason=\"%s\" retry_ms=%d", err->text,
			     DISK_FULL_RETRY_MS);
	*logged = true;
}

static void disk_room_log(bool logged)
{
	if (logged)
		wl_log_event(WL_INFO, "disk-room", "written=yes");
}

/*
 * wl_disk_store_open - open a store, and wait for room if the disk is full
 * @options: copied
 * @saved: as for wl_store_open()
 * @wait: called with @context between two attempts
 * @err: as for wl_store_open(); WL_E_DISK_FULL if @wait returned true
 *
 * A blank folder needs room for the identity; a written one may need a sync.
 *
 * Return: the store, or NULL.
 */
wl_store_t *wl_disk_store_open(const wl_store_options_t *options, wl_raft_saved_t *saved,
			       wl_disk_wait_t wait, void *context, wl_err_t *err)
{
	bool logged = false;
	wl_store_t *store;

	while (!(store = wl_store_open(options, saved, err))) {
		if (err->code != WL_E_DISK_FULL)
			return NULL;
		disk_full_log(err, &logged);
		if (wait(context, DISK_FULL_RETRY_MS))
			return NULL;
	}
	disk_room_log(logged);
	return store;
}

/*
 * Waits before a retry if the disk is full; returns false for any other failure or when stopping.
 * Space may be freed later, and the other replicas keep the group available in the meantime.
 */
static bool disk_full_wait(wl_disk_t *disk, const wl_err_t *err, bool *logged)
{
	if (err->code != WL_E_DISK_FULL || ck_pr_load_uint(&disk->stopping))
		return false;
	disk_full_log(err, logged);
	poll(NULL, 0, DISK_FULL_RETRY_MS);
	return true;
}

static bool persist_write(wl_disk_t *disk, const wl_raft_persist_t *persist, wl_err_t *err)
{
	bool logged = false;

	while (!wl_store_write(disk->options.store, persist, err))
		if (!disk_full_wait(disk, err, &logged))
			return false;
	disk_room_log(logged);
	return true;
}

static bool batch_sync(wl_disk_t *disk, wl_err_t *err)
{
	bool logged = false;

	while (!wl_store_sync(disk->options.store, err))
		if (!disk_full_wait(disk, err, &logged))
			return false;
	disk_room_log(logged);
	return true;
}

/* Writes the persist and those queued behind it, then syncs. */
static bool batch_write(wl_disk_t *disk, wl_raft_persist_t *persist, uint64_t *tickets,
			size_t *count)
{
	bool ok = true;
	wl_err_t err;

	*count = 0;
	while (ok && persist) {
		ok = persist_write(disk, persist, &err);
		tickets[(*count)++] = persist->ticket;
		persist_free(persist);
		persist = *count < BATCH_MAX ? wl_ring_pop(disk->queue) : NULL;
	}
	if (persist)
		persist_free(persist);
	if (!ok || !batch_sync(disk, &err))
		return disk_mark_failed(disk, &err);
	ck_pr_inc_64(&disk->syncs);
	return true;
}

static void persisted_push(wl_disk_t *disk, uint64_t ticket)
{
	wl_event_t *event = wl_alloc(sizeof(*event));

	wl_event_init(event, WL_EVENT_PERSISTED);
	event->ticket = ticket;
	event->made_ns = wl_clock_ns();
	while (!wl_ring_push(disk->options.events, event)) {
		if (ck_pr_load_uint(&disk->stopping)) {
			free(event);
			return;
		}
		poll(NULL, 0, PUSH_RETRY_MS);
	}
}

static void *disk_main(void *arg)
{
	wl_disk_t *disk = arg;
	uint64_t tickets[BATCH_MAX];
	wl_raft_persist_t *persist;
	unsigned int stopping;
	size_t count;

	pthread_setname_np(pthread_self(), "wl-disk");
	for (;;) {
		stopping = ck_pr_load_uint(&disk->stopping);
		ck_pr_fence_load(); /* all persists are queued before the stop */
		persist = wl_ring_wait(disk->queue, stopping ? 0 : QUEUE_WAIT_MS);
		if (!persist && stopping)
			return NULL;
		if (!persist)
			continue;
		if (ck_pr_load_uint(&disk->failed)) {
			persist_free(persist);
			continue;
		}
		if (!batch_write(disk, persist, tickets, &count))
			continue;
		for (size_t i = 0; i < count; i++)
			persisted_push(disk, tickets[i]);
	}
}

/*
 * wl_disk_start - start the disk thread
 * @options: store and ring must outlive the thread
 * @err: WL_E_BAD_INPUT, WL_E_IO
 *
 * Return: the disk, or NULL.
 */
wl_disk_t *wl_disk_start(const wl_disk_options_t *options, wl_err_t *err)
{
	wl_disk_t *disk = wl_alloc(sizeof(*disk));

	memset(disk, 0, sizeof(*disk));
	disk->options = *options;
	disk->queue = wl_ring_new(options->queue_slots, err);
	if (disk->queue && pthread_create(&disk->thread, NULL, disk_main, disk) == 0)
		return disk;
	if (disk->queue)
		wl_err_set(err, WL_E_IO, WL_NOT_RUN, "disk: pthread_create failed");
	wl_ring_free(disk->queue);
	free(disk);
	return NULL;
}

/*
 * wl_disk_persist - queue a persist for the disk thread
 * @persist: moved from and zeroed on success
 *
 * Return: false if the queue is full; @persist is unchanged then, and the caller must submit it
 * again before any later one.
 */
bool wl_disk_persist(wl_disk_t *disk, wl_raft_persist_t *persist)
{
	wl_raft_persist_t *copy = wl_alloc(sizeof(*copy));

	*copy = *persist;
	if (!wl_ring_push(disk->queue, copy)) {
		free(copy);
		return false;
	}
	memset(persist, 0, sizeof(*persist));
	return true;
}

/*
 * wl_disk_failed - check whether a write or a sync failed
 *
 * Return: true after a failure; no further PERSISTED event is sent then.
 */
bool wl_disk_failed(const wl_disk_t *disk)
{
	return ck_pr_load_uint(&disk->failed) != 0;
}

/*
 * wl_disk_syncs - count the syncs made so far
 */
uint64_t wl_disk_syncs(const wl_disk_t *disk)
{
	return ck_pr_load_64(&disk->syncs);
}

/*
 * wl_disk_stop - write queued persists, then stop the thread; NULL is allowed
 */
void wl_disk_stop(wl_disk_t *disk)
{
	if (!disk)
		return;
	ck_pr_store_uint(&disk->stopping, 1);
	pthread_join(disk->thread, NULL);
	wl_ring_free(disk->queue);
	free(disk);
}
