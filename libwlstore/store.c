/*
 * Files of one replica.
 *
 * identity: id of the replica
 * group: founding record
 * vote: term and vote
 * snapshot: state and membership at an index
 * log-N: segments of the log
 */

#include "store.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include "store_file.h"
#include "store_log.h"

#define FILE_IDENTITY "identity"
#define FILE_GROUP    "group"
#define FILE_VOTE     "vote"
#define FILE_SNAPSHOT "snapshot"
#define FILE_LOCK     "lock"

#define SEGMENT_BYTES_DEFAULT (16UL * 1024 * 1024)
#define FOLDER_MODE	      0700
#define LOCK_MODE	      0600

typedef struct store_identity {
	uint64_t id;
} store_identity_t;

typedef struct store_vote {
	uint64_t term;
	uint64_t vote;
} store_vote_t;

typedef struct store_snapshot {
	uint64_t index;
	uint64_t term;
	wl_raft_members_t members;
	wl_buf_t state;
} store_snapshot_t;

static const wl_field_t identity_fields[] = {
	WL_FIELD(store_identity_t, id, WL_FIELD_U64),
};
static const wl_schema_t identity_schema = WL_SCHEMA(store_identity_t, identity_fields);

static const wl_field_t vote_fields[] = {
	WL_FIELD(store_vote_t, term, WL_FIELD_U64),
	WL_FIELD(store_vote_t, vote, WL_FIELD_U64),
};
static const wl_schema_t vote_schema = WL_SCHEMA(store_vote_t, vote_fields);

static const wl_field_t snapshot_fields[] = {
	WL_FIELD(store_snapshot_t, index, WL_FIELD_U64),
	WL_FIELD(store_snapshot_t, term, WL_FIELD_U64),
	WL_FIELD_NEST(store_snapshot_t, members, &wl_raft_members_schema),
	WL_FIELD(store_snapshot_t, state, WL_FIELD_BYTES),
};
static const wl_schema_t snapshot_schema = WL_SCHEMA(store_snapshot_t, snapshot_fields);

struct wl_store {
	wl_buf_t folder;
	int folder_fd;
	int lock_fd;
	uint64_t id;
	wl_store_log_t log;
	store_vote_t vote;
	bool vote_dirty; /* written once by the next sync, even after several changes */
	bool failed;	 /* a write failed: the content of the disk is unknown */
	wl_err_t failure;
};

static wl_str_t folder_name(const wl_store_t *store)
{
	return wl_buf_str(&store->folder);
}

/* If the new folder were lost in a crash, the replica would restart as a blank one. */
static bool parent_sync(const wl_store_t *store)
{
	int parent = openat(store->folder_fd, "..", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	bool ok = parent >= 0 && fsync(parent) == 0;

	if (parent >= 0)
		close(parent);
	return ok;
}

static bool folder_open(wl_store_t *store, wl_err_t *err)
{
	bool made = mkdir(store->folder.at, FOLDER_MODE) == 0;

	if (!made && errno != EEXIST)
		return wl_store_io_failed(folder_name(store), ".", "create", err);
	store->folder_fd = open(store->folder.at, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (store->folder_fd < 0)
		return wl_store_io_failed(folder_name(store), ".", "open", err);
	if (made && !parent_sync(store))
		return wl_store_io_failed(folder_name(store), "..", "sync", err);
	store->lock_fd =
		openat(store->folder_fd, FILE_LOCK, O_RDWR | O_CREAT | O_CLOEXEC, LOCK_MODE);
	if (store->lock_fd < 0)
		return wl_store_io_failed(folder_name(store), FILE_LOCK, "open", err);
	if (flock(store->lock_fd, LOCK_EX | LOCK_NB) != 0)
		return wl_err_set(err, WL_E_CONFLICT, WL_NOT_RUN,
				  WL_STR_FMT "/" FILE_LOCK ": locked by another process",
				  WL_STR_ARG(store->folder));
	return true;
}

/* A process that was killed while the disk was full left files that keep its space. */
static void temps_remove(const wl_store_t *store)
{
	static const char *const files[] = {FILE_IDENTITY, FILE_GROUP, FILE_VOTE, FILE_SNAPSHOT};

	for (size_t i = 0; i < sizeof(files) / sizeof(files[0]); i++)
		wl_store_temp_remove(store->folder_fd, files[i]);
}

static bool identity_make(wl_store_t *store, wl_err_t *err)
{
	store_identity_t identity = {0};

	while (identity.id == 0)
		if (getrandom(&identity.id, sizeof(identity.id), 0) != sizeof(identity.id))
			return wl_store_io_failed(folder_name(store), FILE_IDENTITY, "random", err);
	store->id = identity.id;
	return wl_checksummed_write(store->log.write, store->folder_fd, folder_name(store),
				    FILE_IDENTITY, &identity_schema, &identity, err);
}

static bool record_read(wl_store_t *store, const char *file, const wl_schema_t *schema,
			void *record, bool *exists, wl_err_t *err)
{
	return wl_checksummed_read(store->folder_fd, folder_name(store), file, schema, record,
				   exists, err);
}

static bool snapshot_read(wl_store_t *store, wl_raft_saved_t *saved, bool *exists, wl_err_t *err)
{
	store_snapshot_t snapshot;

	if (!record_read(store, FILE_SNAPSHOT, &snapshot_schema, &snapshot, exists, err))
		return false;
	if (!*exists)
		return true;
	saved->snapshot_index = snapshot.index;
	saved->snapshot_term = snapshot.term;
	wl_buf_move(&saved->snapshot, &snapshot.state);
	wl_record_free(&wl_raft_members_schema, &saved->members);
	saved->members = snapshot.members;
	return true;
}

static uint64_t saved_last_term(const wl_raft_saved_t *saved)
{
	const wl_raft_entry_t *entries = saved->entries.items;

	return saved->entries.count ? entries[saved->entries.count - 1].term : saved->snapshot_term;
}

/*
 * A file that others depend on is written before them, so if it is missing while
 * they exist, it was lost.
 */
static bool files_consistent(wl_store_t *store, const wl_raft_saved_t *saved, bool identity,
			     bool group, bool vote, wl_err_t *err)
{
	bool state = store->log.count || saved->snapshot_index;
	const char *missing = NULL;

	if (!identity && (group || vote || state))
		missing = FILE_IDENTITY;
	else if (!group && (vote || state))
		missing = FILE_GROUP;
	else if (!vote && state)
		missing = FILE_VOTE;
	if (missing)
		return wl_store_damaged(folder_name(store), missing, 0, "missing", err);
	if (saved_last_term(saved) > saved->term)
		return wl_store_damaged(folder_name(store), FILE_VOTE, 0,
					"term is lower than the last term of the log", err);
	return true;
}

static bool files_read(wl_store_t *store, wl_raft_saved_t *saved, wl_err_t *err)
{
	store_identity_t identity;
	store_vote_t vote;
	bool has_identity;
	bool has_group;
	bool has_vote;
	bool has_snapshot;

	if (!record_read(store, FILE_IDENTITY, &identity_schema, &identity, &has_identity, err) ||
	    !record_read(store, FILE_GROUP, &wl_raft_members_schema, &saved->members, &has_group,
			 err) ||
	    !record_read(store, FILE_VOTE, &vote_schema, &vote, &has_vote, err) ||
	    !snapshot_read(store, saved, &has_snapshot, err) ||
	    !wl_store_log_open(&store->log, saved->snapshot_index, &saved->entries, err))
		return false;
	store->id = identity.id;
	saved->term = vote.term;
	saved->vote = vote.vote;
	if (!files_consistent(store, saved, has_identity, has_group, has_vote, err))
		return false;
	return has_identity || identity_make(store, err);
}

/*
 * wl_store_open - open a data folder, creating it if it does not exist
 * @options: copied
 * @saved: receives the stored state; empty after a failure
 * @err: WL_E_DAMAGED naming file and offset, WL_E_CONFLICT if another process has
 *       locked the folder, WL_E_IO
 *
 * An incomplete last frame of the log was never synced and is truncated.
 *
 * Return: the store, to be freed by wl_store_close(), or NULL.
 */
wl_store_t *wl_store_open(const wl_store_options_t *options, wl_raft_saved_t *saved, wl_err_t *err)
{
	wl_store_t *store = wl_alloc(sizeof(*store));

	*saved = (wl_raft_saved_t){0};
	wl_buf_set(&store->folder, options->folder);
	store->folder_fd = -1;
	store->lock_fd = -1;
	store->log.fd = -1;
	store->log.write = options->write_at ? options->write_at : pwrite;
	store->log.folder = folder_name(store);
	store->log.segment_bytes =
		options->segment_bytes ? options->segment_bytes : SEGMENT_BYTES_DEFAULT;
	if (folder_open(store, err)) {
		store->log.folder_fd = store->folder_fd;
		temps_remove(store);
		if (files_read(store, saved, err))
			return store;
	}
	wl_raft_saved_free(saved);
	wl_store_close(store);
	return NULL;
}

/*
 * wl_store_close - close and free a store; writes that were not synced may be lost
 */
void wl_store_close(wl_store_t *store)
{
	if (!store)
		return;
	wl_store_log_close(&store->log);
	if (store->lock_fd >= 0)
		close(store->lock_fd);
	if (store->folder_fd >= 0)
		close(store->folder_fd);
	wl_buf_free(&store->folder);
	free(store);
}

/*
 * wl_store_id - random id of the replica, generated once for each data folder
 */
uint64_t wl_store_id(const wl_store_t *store)
{
	return store->id;
}

static bool vote_write(wl_store_t *store, wl_err_t *err)
{
	if (!store->vote_dirty)
		return true;
	if (!wl_checksummed_write(store->log.write, store->folder_fd, folder_name(store), FILE_VOTE,
				  &vote_schema, &store->vote, err))
		return false;
	store->vote_dirty = false;
	return true;
}

/* The vote is written first, so that no entry or snapshot is stored before its term. */
static bool sync_parts(wl_store_t *store, wl_err_t *err)
{
	return vote_write(store, err) && wl_store_log_sync(&store->log, err);
}

static bool snapshot_write(wl_store_t *store, const wl_raft_persist_t *persist, wl_err_t *err)
{
	/* The pointers are borrowed for encoding only. */
	store_snapshot_t snapshot = {
		.index = persist->snapshot_index,
		.term = persist->snapshot_term,
		.members = persist->members,
		.state = persist->snapshot,
	};

	if (!wl_checksummed_write(store->log.write, store->folder_fd, folder_name(store),
				  FILE_SNAPSHOT, &snapshot_schema, &snapshot, err))
		return false;
	return wl_store_log_compact(&store->log, persist->snapshot_index, err);
}

/* The truncation of a log that conflicts with a snapshot must be durable before the snapshot. */
static bool write_parts(wl_store_t *store, const wl_raft_persist_t *persist, wl_err_t *err)
{
	if (persist->has_members &&
	    !wl_checksummed_write(store->log.write, store->folder_fd, folder_name(store),
				  FILE_GROUP, &wl_raft_members_schema, &persist->members, err))
		return false;
	if (persist->has_vote) {
		store->vote = (store_vote_t){persist->term, persist->vote};
		store->vote_dirty = true;
	}
	if (persist->truncate_from)
		wl_store_log_truncate(&store->log, persist->truncate_from);
	if (persist->has_snapshot &&
	    (!sync_parts(store, err) || !snapshot_write(store, persist, err)))
		return false;
	return wl_store_log_append(&store->log, &persist->entries, err);
}

static bool check_usable(const wl_store_t *store, wl_err_t *err)
{
	if (store->failed && err)
		*err = store->failure;
	return !store->failed;
}

static bool record_failure(wl_store_t *store, bool ok, const wl_err_t *why, wl_err_t *err)
{
	if (ok)
		return true;
	store->failed = why->code != WL_E_DISK_FULL;
	store->failure = *why;
	if (err)
		*err = *why;
	return false;
}

/*
 * wl_store_write - write a change to stored state
 * @persist: durable only after wl_store_sync()
 * @err: WL_E_IO naming the file, WL_E_BAD_INPUT for entries that leave a gap
 *
 * After any failure other than WL_E_DISK_FULL the store rejects all further
 * writes, since the content of the disk is unknown until the folder is opened
 * again.  After WL_E_DISK_FULL the same call may be repeated.
 */
bool wl_store_write(wl_store_t *store, const wl_raft_persist_t *persist, wl_err_t *err)
{
	wl_err_t why = {0};

	if (!check_usable(store, err))
		return false;
	return record_failure(store, write_parts(store, persist, &why), &why, err);
}

/*
 * wl_store_sync - make all earlier writes durable
 * @err: WL_E_IO or WL_E_DISK_FULL naming the file; the writes must not be acknowledged
 */
bool wl_store_sync(wl_store_t *store, wl_err_t *err)
{
	wl_err_t why = {0};

	if (!check_usable(store, err))
		return false;
	return record_failure(store, sync_parts(store, &why), &why, err);
}
