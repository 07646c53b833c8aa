/*
 * The thread that writes the store's files.
 *
 * Changes that wait are written together and synced once; only then does each
 * get its PERSISTED event.  A full disk is tried again; after any other failure
 * nothing more is written: what is on the disk is no longer known.
 */

#include "disk.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>

#include <libwlbase/clock.h>
#include <libwlbase/log.h>

#define GROUP_MOST 256 /* changes with one sync */
#define WAIT_MS	   100
#define RETRY_MS   1
#define FULL_MS	   200 /* between two tries to write to a full disk */

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

static bool disk_fail(wl_disk_t *disk, const wl_err_t *err)
{
	wl_log_event(WL_ERROR, "disk-failed", "reason=\"%s\"", err->text);
	ck_pr_store_uint(&disk->failed, 1);
	return false;
}

/* A full disk refuses every write and may have room again: the others carry the group meanwhile. */
static bool full_wait(wl_disk_t *disk, const wl_err_t *err, bool *said)
{
	if (err->code != WL_E_DISK_FULL || ck_pr_load_uint(&disk->stopping))
		return false;
	if (!*said)
		wl_log_event(WL_ERROR, "disk-full", "reason=\"%s\" retry_ms=%d", err->text,
			     FULL_MS);
	*said = true;
	poll(NULL, 0, FULL_MS);
	return true;
}

static bool change_write(wl_disk_t *disk, const wl_raft_persist_t *persist, wl_err_t *err)
{
	bool said = false;

	while (!wl_store_write(disk->options.store, persist, err))
		if (!full_wait(disk, err, &said))
			return false;
	return true;
}

static bool changes_sync(wl_disk_t *disk, wl_err_t *err)
{
	bool said = false;

	while (!wl_store_sync(disk->options.store, err))
		if (!full_wait(disk, err, &said))
			return false;
	if (said)
		wl_log_event(WL_INFO, "disk-room", "written=yes");
	return true;
}

/* Writes the change and those that wait behind it, then syncs. */
static bool group_write(wl_disk_t *disk, wl_raft_persist_t *persist, uint64_t *tickets,
			size_t *count)
{
	bool ok = true;
	wl_err_t err;

	*count = 0;
	while (ok && persist) {
		ok = change_write(disk, persist, &err);
		tickets[(*count)++] = persist->ticket;
		persist_free(persist);
		persist = *count < GROUP_MOST ? wl_ring_pop(disk->queue) : NULL;
	}
	if (persist)
		persist_free(persist);
	if (!ok || !changes_sync(disk, &err))
		return disk_fail(disk, &err);
	ck_pr_inc_64(&disk->syncs);
	return true;
}

static void ticket_push(wl_disk_t *disk, uint64_t ticket)
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
		poll(NULL, 0, RETRY_MS);
	}
}

static void *disk_main(void *arg)
{
	wl_disk_t *disk = arg;
	uint64_t tickets[GROUP_MOST];
	wl_raft_persist_t *persist;
	size_t count;

	pthread_setname_np(pthread_self(), "wl-disk");
	for (;;) {
		persist = wl_ring_wait(disk->queue, WAIT_MS);
		if (!persist && ck_pr_load_uint(&disk->stopping))
			return NULL;
		if (!persist)
			continue;
		if (ck_pr_load_uint(&disk->failed)) {
			persist_free(persist);
			continue;
		}
		if (!group_write(disk, persist, tickets, &count))
			continue;
		for (size_t i = 0; i < count; i++)
			ticket_push(disk, tickets[i]);
	}
}

/*
 * wl_disk_start - start the thread
 * @options: store and ring must outlive it
 * @err: WL_E_BAD_INPUT, WL_E_IO
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
		wl_err_set(err, WL_E_IO, WL_NOT_RUN, "disk: no thread");
	wl_ring_free(disk->queue);
	free(disk);
	return NULL;
}

/*
 * wl_disk_persist - hand in a change
 * @persist: moved from
 *
 * Return: false if the queue is full; the change is kept and must be handed in again, in order.
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
 * wl_disk_failed - did a write or a sync fail? Then no PERSISTED event comes any more.
 */
bool wl_disk_failed(const wl_disk_t *disk)
{
	return ck_pr_load_uint(&disk->failed) != 0;
}

/*
 * wl_disk_syncs - syncs made so far
 */
uint64_t wl_disk_syncs(const wl_disk_t *disk)
{
	return ck_pr_load_64(&disk->syncs);
}

/*
 * wl_disk_stop - write what waits and end the thread
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
