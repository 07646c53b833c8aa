/*
 * Segments of the log: writing and removal.
 *
 * Segments are append-only.  Each sync appends one frame: a header with length and
 * checksum, then an encoded record of the entries and of the index from which
 * earlier entries are void.  A crash can therefore leave only the last frame
 * incomplete, and a truncation is never read without the entries that follow it.
 */

#include "store_log_internal.h"

#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "store_file.h"

static const wl_field_t frame_fields[] = {
	WL_FIELD(wl_store_frame_t, truncate_from, WL_FIELD_U64),
	WL_FIELD_MANY(wl_store_frame_t, entries, &wl_raft_entry_schema),
};

const wl_schema_t wl_store_frame_schema = WL_SCHEMA(wl_store_frame_t, frame_fields);

/*
 * wl_segment_name - format the file name of a segment
 */
void wl_segment_name(uint64_t seq, char name[WL_SEGMENT_NAME_BYTES])
{
	snprintf(name, WL_SEGMENT_NAME_BYTES, WL_SEGMENT_PREFIX "%016llx", (unsigned long long)seq);
}

/*
 * wl_frame_checksum - checksum of a frame
 *
 * It depends on the segment number, so that stale disk blocks of another segment
 * fail the check.
 */
uint64_t wl_frame_checksum(uint64_t seq, wl_str_t payload)
{
	return wl_str_hash(payload, seq ^ (uint64_t)payload.len << 32);
}

/*
 * wl_segment_add - add a segment to the end of the list
 */
wl_segment_t *wl_segment_add(wl_store_log_t *log, uint64_t seq)
{
	if (log->count == log->capacity) {
		log->capacity = log->capacity ? 2 * log->capacity : 4;
		log->segments = wl_realloc(log->segments, log->capacity * sizeof(*log->segments));
	}
	log->segments[log->count] = (wl_segment_t){.seq = seq};
	log->next_seq = seq + 1;
	return &log->segments[log->count++];
}

/*
 * wl_segment_open - open the last segment for appending
 * @size: size of its valid part, bytes
 * @err: WL_E_IO
 */
bool wl_segment_open(wl_store_log_t *log, uint64_t size, wl_err_t *err)
{
	char name[WL_SEGMENT_NAME_BYTES];

	wl_segment_name(log->segments[log->count - 1].seq, name);
	log->fd = openat(log->folder_fd, name, O_WRONLY | O_CLOEXEC);
	log->size = size;
	return log->fd >= 0 || wl_store_io_failed(log->folder, name, "open", err);
}

static void segment_close(wl_store_log_t *log)
{
	if (log->fd >= 0)
		close(log->fd);
	log->fd = -1;
}

static bool segment_create(wl_store_log_t *log, wl_err_t *err)
{
	char name[WL_SEGMENT_NAME_BYTES];
	wl_segment_head_t head = {
		.magic = htole32(WL_SEGMENT_MAGIC),
		.version = htole32(WL_SEGMENT_VERSION),
		.seq = htole64(log->next_seq),
	};

	segment_close(log);
	wl_segment_name(log->next_seq, name);
	if (!wl_store_replace(log->write, log->folder_fd, name,
			      (wl_str_t){(const char *)&head, sizeof(head)}))
		return wl_store_io_failed(log->folder, name, "create", err);
	wl_segment_add(log, log->next_seq);
	return wl_segment_open(log, sizeof(head), err);
}

/*
 * Each removal is synced before the next one, so that a crash leaves no gap between segments.
 * The file is missing already if the sync failed the last time.
 */
static bool segment_remove_first(wl_store_log_t *log, wl_err_t *err)
{
	char name[WL_SEGMENT_NAME_BYTES];

	wl_segment_name(log->segments[0].seq, name);
	if ((unlinkat(log->folder_fd, name, 0) != 0 && errno != ENOENT) ||
	    fsync(log->folder_fd) != 0)
		return wl_store_io_failed(log->folder, name, "remove", err);
	log->count--;
	memmove(log->segments, log->segments + 1, log->count * sizeof(*log->segments));
	return true;
}

/*
 * wl_store_log_close - close and free a log; pending changes are lost
 */
void wl_store_log_close(wl_store_log_t *log)
{
	segment_close(log);
	free(log->segments);
	wl_record_free(&wl_store_frame_schema, &log->pending);
}

/*
 * wl_store_log_truncate - void the entries from an index on, with the next sync
 */
void wl_store_log_truncate(wl_store_log_t *log, uint64_t from)
{
	wl_store_frame_t *pending = &log->pending;
	wl_raft_entry_t *entries = pending->entries.items;

	while (pending->entries.count && entries[pending->entries.count - 1].index >= from)
		wl_record_free(&wl_raft_entry_schema, &entries[--pending->entries.count]);
	if (from <= log->stored_index) {
		pending->truncate_from = from;
		log->stored_index = from - 1;
	}
	if (from <= log->last_index)
		log->last_index = from - 1;
}

/*
 * wl_store_log_append - append entries, with the next sync
 * @err: WL_E_BAD_INPUT if their indexes leave a gap
 */
bool wl_store_log_append(wl_store_log_t *log, const wl_list_t *entries, wl_err_t *err)
{
	const wl_raft_entry_t *items = entries->items;

	for (size_t i = 0; i < entries->count; i++) {
		unsigned long long expected = log->last_index + 1;

		if (items[i].index != expected)
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "log: got entry %llu to append, expected entry %llu",
					  (unsigned long long)items[i].index, expected);
		wl_record_copy(&wl_raft_entry_schema,
			       wl_list_add(&wl_raft_entry_schema, &log->pending.entries),
			       &items[i]);
		log->last_index++;
	}
	return true;
}

static bool frame_write(wl_store_log_t *log, wl_err_t *err)
{
	char name[WL_SEGMENT_NAME_BYTES];
	wl_buf_t payload = {0};
	wl_buf_t bytes = {0};
	wl_frame_head_t head;
	bool ok;

	wl_record_pack(&wl_store_frame_schema, &log->pending, &payload);
	head.magic = htole32(WL_FRAME_MAGIC);
	head.len = htole32((uint32_t)payload.len);
	head.checksum = htole64(wl_frame_checksum(log->next_seq - 1, wl_buf_str(&payload)));
	wl_buf_append(&bytes, (wl_str_t){(const char *)&head, sizeof(head)});
	wl_buf_append(&bytes, wl_buf_str(&payload));
	wl_segment_name(log->next_seq - 1, name);
	ok = wl_store_write_all(log->write, log->fd, wl_buf_str(&bytes), log->size) ||
	     wl_store_io_failed(log->folder, name, "write", err);
	/* After a failed sync the disk content is unknown: ENOSPC is not a full disk here. */
	if (ok && fdatasync(log->fd) != 0)
		ok = wl_err_set(err, WL_E_IO, WL_UNKNOWN, WL_STR_FMT "/%s: sync: %s",
				WL_STR_ARG(log->folder), name, strerrordesc_np(errno));
	if (ok)
		log->size += bytes.len;
	wl_buf_free(&payload);
	wl_buf_free(&bytes);
	return ok;
}

/*
 * wl_store_log_sync - write and sync the pending changes
 * @err: WL_E_IO or WL_E_DISK_FULL, naming the file
 */
bool wl_store_log_sync(wl_store_log_t *log, wl_err_t *err)
{
	wl_segment_t *segment;

	if (log->pending.entries.count == 0 && log->pending.truncate_from == 0)
		return true;
	if ((log->fd < 0 || log->size >= log->segment_bytes) && !segment_create(log, err))
		return false;
	if (!frame_write(log, err))
		return false;

	segment = &log->segments[log->count - 1];
	if (log->last_index > segment->last_index)
		segment->last_index = log->last_index;
	log->stored_index = log->last_index;
	wl_record_free(&wl_store_frame_schema, &log->pending);
	return true;
}

/* Ends the log at a snapshot beyond it: what the segments hold is void. */
static void log_empty(wl_store_log_t *log, uint64_t snapshot_index)
{
	wl_record_free(&wl_store_frame_schema, &log->pending);
	log->last_index = snapshot_index;
	log->stored_index = snapshot_index;
	segment_close(log);
	for (size_t i = 0; i < log->count; i++)
		log->segments[i].last_index = 0;
}

/*
 * wl_store_log_compact - remove the segments that a durable snapshot covers
 * @snapshot_index: index of the snapshot; a log that ends before it is emptied and
 *                  continues after it
 * @err: WL_E_IO, or WL_E_DISK_FULL, after which the call may be repeated
 *
 * The last segment stays if it is open for appending.
 */
bool wl_store_log_compact(wl_store_log_t *log, uint64_t snapshot_index, wl_err_t *err)
{
	size_t kept;

	log->snapshot_index = snapshot_index;
	if (log->last_index < snapshot_index)
		log_empty(log, snapshot_index);
	kept = log->fd >= 0 ? 1 : 0;
	while (log->count > kept && log->segments[0].last_index <= snapshot_index)
		if (!segment_remove_first(log, err))
			return false;
	return true;
}
