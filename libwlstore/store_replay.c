/*
 * Segments of the log: reading at start.
 *
 * An invalid frame is the remainder of an incomplete write only if no valid frame
 * follows it and it is in the last segment.  Otherwise synced data is damaged and
 * the store does not open.
 */

#include <dirent.h>
#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "store_file.h"
#include "store_log_internal.h"

#define HEX_DIGITS 16

/* State of the replay; the segment is the one being read. */
typedef struct wl_replay {
	wl_store_log_t *log;
	wl_list_t *entries;
	wl_segment_t *segment;
	char name[WL_SEGMENT_NAME_BYTES];
	wl_buf_t bytes;
	bool has_entry; /* an entry was read */
} wl_replay_t;

static int seq_compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static bool segment_seq(const char *name, uint64_t *seq)
{
	size_t prefix = sizeof(WL_SEGMENT_PREFIX) - 1;
	char *end;

	if (strncmp(name, WL_SEGMENT_PREFIX, prefix) != 0 || strlen(name) != prefix + HEX_DIGITS)
		return false;
	*seq = strtoull(name + prefix, &end, 16);
	return *end == '\0';
}

static bool segments_list(wl_store_log_t *log, uint64_t **seqs, size_t *count, wl_err_t *err)
{
	int fd = openat(log->folder_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	DIR *folder = fd >= 0 ? fdopendir(fd) : NULL;
	const struct dirent *entry;

	*seqs = NULL;
	*count = 0;
	if (!folder) {
		if (fd >= 0)
			close(fd);
		return wl_store_io_failed(log->folder, ".", "list", err);
	}
	while ((entry = readdir(folder))) {
		uint64_t seq;

		if (!segment_seq(entry->d_name, &seq))
			continue;
		*seqs = wl_realloc(*seqs, (*count + 1) * sizeof(**seqs));
		(*seqs)[(*count)++] = seq;
	}
	closedir(folder);
	if (*count)
		qsort(*seqs, *count, sizeof(**seqs), seq_compare);
	return true;
}

static bool replay_damaged(const wl_replay_t *replay, uint64_t offset, const char *what,
			   wl_err_t *err)
{
	return wl_store_damaged(replay->log->folder, replay->name, offset, what, err);
}

/* Returns the size of the valid frame at an offset in bytes, or zero. */
static uint64_t frame_at(const wl_replay_t *replay, uint64_t offset, wl_str_t *payload)
{
	wl_frame_head_t head;
	uint64_t left = replay->bytes.len - offset;

	if (left < sizeof(head))
		return 0;
	memcpy(&head, replay->bytes.at + offset, sizeof(head));
	if (le32toh(head.magic) != WL_FRAME_MAGIC || le32toh(head.len) > left - sizeof(head))
		return 0;
	*payload = (wl_str_t){replay->bytes.at + offset + sizeof(head), le32toh(head.len)};
	if (wl_frame_checksum(replay->segment->seq, *payload) != le64toh(head.checksum))
		return 0;
	return sizeof(head) + payload->len;
}

static bool valid_frame_after(const wl_replay_t *replay, uint64_t offset)
{
	uint32_t magic = htole32(WL_FRAME_MAGIC);
	wl_str_t payload;

	for (uint64_t at = offset + 1; at < replay->bytes.len; at++) {
		const char *found = memmem(replay->bytes.at + at, replay->bytes.len - at, &magic,
					   sizeof(magic));

		if (!found)
			return false;
		at = (uint64_t)(found - replay->bytes.at);
		if (frame_at(replay, at, &payload))
			return true;
	}
	return false;
}

static void entries_truncate(wl_list_t *entries, uint64_t from)
{
	wl_raft_entry_t *items = entries->items;

	while (entries->count && items[entries->count - 1].index >= from)
		wl_record_free(&wl_raft_entry_schema, &items[--entries->count]);
}

static bool entry_replay(wl_replay_t *replay, uint64_t offset, wl_raft_entry_t *entry,
			 wl_err_t *err)
{
	wl_store_log_t *log = replay->log;

	if (replay->has_entry ? entry->index != log->last_index + 1
			      : entry->index > log->snapshot_index + 1)
		return replay_damaged(
			replay, offset,
			"gap in the log indices: the entries before this one are missing", err);
	replay->has_entry = true;
	log->last_index = entry->index;
	if (entry->index > replay->segment->last_index)
		replay->segment->last_index = entry->index;
	if (entry->index <= log->snapshot_index)
		return true;
	*(wl_raft_entry_t *)wl_list_add(&wl_raft_entry_schema, replay->entries) = *entry;
	*entry = (wl_raft_entry_t){0};
	return true;
}

static bool frame_replay(wl_replay_t *replay, uint64_t offset, wl_str_t payload, wl_err_t *err)
{
	wl_store_frame_t frame;
	wl_raft_entry_t *items;
	bool ok = true;

	if (!wl_record_unpack(&wl_store_frame_schema, payload, &frame, NULL))
		return replay_damaged(replay, offset, "record cannot be decoded", err);
	if (frame.truncate_from) {
		entries_truncate(replay->entries, frame.truncate_from);
		if (replay->has_entry && frame.truncate_from <= replay->log->last_index)
			replay->log->last_index = frame.truncate_from - 1;
	}
	items = frame.entries.items;
	for (size_t i = 0; ok && i < frame.entries.count; i++)
		ok = entry_replay(replay, offset, &items[i], err);
	wl_record_free(&wl_store_frame_schema, &frame);
	return ok;
}

static bool head_check(const wl_replay_t *replay, wl_err_t *err)
{
	wl_segment_head_t head;

	if (replay->bytes.len < sizeof(head))
		return replay_damaged(replay, replay->bytes.len, "file ends within its header",
				      err);
	memcpy(&head, replay->bytes.at, sizeof(head));
	if (le32toh(head.magic) != WL_SEGMENT_MAGIC ||
	    le32toh(head.version) != WL_SEGMENT_VERSION ||
	    le64toh(head.seq) != replay->segment->seq)
		return replay_damaged(replay, 0,
				      "header has an unknown magic number or version, or another "
				      "segment number than the file name",
				      err);
	return true;
}

static bool tail_truncate(const wl_replay_t *replay, uint64_t size, wl_err_t *err)
{
	int fd = openat(replay->log->folder_fd, replay->name, O_WRONLY | O_CLOEXEC);
	bool ok = fd >= 0 && ftruncate(fd, (off_t)size) == 0 && fsync(fd) == 0;

	if (fd >= 0)
		close(fd);
	return ok || wl_store_io_failed(replay->log->folder, replay->name, "cut", err);
}

static bool segment_read(wl_replay_t *replay, bool last, uint64_t *size, wl_err_t *err)
{
	uint64_t offset = sizeof(wl_segment_head_t);
	wl_str_t payload;
	bool exists;

	wl_buf_clear(&replay->bytes);
	if (!wl_store_read_file(replay->log->folder_fd, replay->name, &replay->bytes, &exists))
		return wl_store_io_failed(replay->log->folder, replay->name, "read", err);
	if (!head_check(replay, err))
		return false;
	while (offset < replay->bytes.len) {
		uint64_t bytes = frame_at(replay, offset, &payload);

		if (!bytes)
			break;
		if (!frame_replay(replay, offset, payload, err))
			return false;
		offset += bytes;
	}
	*size = offset;
	if (offset == replay->bytes.len)
		return true;
	if (!last || valid_frame_after(replay, offset))
		return replay_damaged(replay, offset,
				      "invalid frame (magic number, length or checksum) before the "
				      "end of the log",
				      err);
	return tail_truncate(replay, offset, err);
}

static bool segments_read(wl_replay_t *replay, const uint64_t *seqs, size_t count, wl_err_t *err)
{
	uint64_t size = 0;

	for (size_t i = 0; i < count; i++) {
		wl_segment_name(seqs[i], replay->name);
		if (i && seqs[i] != seqs[i - 1] + 1)
			return replay_damaged(
				replay, 0,
				"gap in the segment numbers: the previous segment is missing", err);
		replay->segment = wl_segment_add(replay->log, seqs[i]);
		if (!segment_read(replay, i + 1 == count, &size, err))
			return false;
	}
	return count == 0 || wl_segment_open(replay->log, size, err);
}

/*
 * wl_store_log_open - read the log
 * @log: folder and segment size are set, the rest is zero
 * @snapshot_index: entries up to it are skipped
 * @entries: receives the entries after it
 * @err: WL_E_DAMAGED naming file and offset, or WL_E_IO
 */
bool wl_store_log_open(wl_store_log_t *log, uint64_t snapshot_index, wl_list_t *entries,
		       wl_err_t *err)
{
	wl_replay_t replay = {.log = log, .entries = entries};
	uint64_t *seqs;
	size_t count;
	bool ok;

	log->fd = -1;
	log->next_seq = 1;
	log->snapshot_index = snapshot_index;
	ok = segments_list(log, &seqs, &count, err) && segments_read(&replay, seqs, count, err);
	free(seqs);
	wl_buf_free(&replay.bytes);
	if (!ok)
		return false;
	log->stored_index = log->last_index;
	return wl_store_log_compact(log, snapshot_index, err);
}
