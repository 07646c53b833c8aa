/* Checks settings against each other, beyond the limits of each, and reads the files they name. */

#include "settings.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include <libwlbase/endpoint.h>

#define NAME_BYTES_MAX	     64
#define SECRET_BYTES_MIN     16
#define FILE_BYTES_MAX	     (1 << 20)
#define FRAME_OVERHEAD_BYTES 65536 /* space in a frame for headers and names, beside a body */

static bool setting_invalid(wl_err_t *err, const char *flag, const char *reason)
{
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "--%s: %s", flag, reason);
}

static bool name_valid(wl_str_t name)
{
	static const char allowed[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

	if (name.len == 0 || name.len > NAME_BYTES_MAX)
		return false;
	for (size_t i = 0; i < name.len; i++)
		if (name.at[i] == '\0' || !strchr(allowed, name.at[i]))
			return false;
	return true;
}

static bool store_peer_add(wl_settings_t *settings, wl_str_t element, wl_err_t *err)
{
	wl_node_peer_t *store = &settings->stores[settings->store_count];

	if (settings->store_count == WL_STORES_MAX)
		return setting_invalid(err, "store-peers", "at most 5 replicas");
	if (!wl_str_split(element, '=', &store->name, &store->address) || !name_valid(store->name))
		return setting_invalid(err, "store-peers", "must be NAME=IP:port,...");
	if (!wl_endpoint_check(store->address, "--store-peers", err))
		return false;
	for (size_t i = 0; i < settings->store_count; i++)
		if (wl_str_equal(settings->stores[i].name, store->name))
			return setting_invalid(err, "store-peers", "names a replica twice");
	settings->store_count++;
	return true;
}

static bool store_peers_check(wl_settings_t *settings, wl_err_t *err)
{
	wl_str_t rest = wl_buf_str(&settings->store_peers);
	wl_str_t element;
	bool self_listed = false;

	while (rest.len > 0) {
		wl_str_split(rest, ',', &element, &rest);
		if (!store_peer_add(settings, element, err))
			return false;
	}
	if (settings->store_count % 2 == 0)
		return setting_invalid(err, "store-peers", "must name 1, 3 or 5 replicas");
	for (size_t i = 0; i < settings->store_count; i++)
		self_listed |= wl_str_equal(settings->stores[i].name, wl_buf_str(&settings->name));
	if (settings->store && !self_listed)
		return setting_invalid(err, "store-peers",
				       "must list this daemon, which has the role store");
	if (!settings->store && self_listed)
		return setting_invalid(err, "role",
				       "must include store, since --store-peers lists this daemon");
	return true;
}

/* Returns the address without its port, which is the name of a replica that a seed lists. */
static wl_str_t address_ip(wl_str_t address)
{
	wl_str_t ip;
	wl_str_t port;

	wl_str_split_last(address, ':', &ip, &port);
	return ip;
}

static bool seeds_check(wl_settings_t *settings, wl_err_t *err)
{
	wl_str_t rest = wl_buf_str(&settings->store_seeds);
	wl_str_t peer_ip;
	wl_str_t peer_port;
	wl_str_t element;
	uint64_t port = 0;

	while (rest.len > 0) {
		wl_str_split(rest, ',', &element, &rest);
		if (!wl_endpoint_check(element, "--store-seeds", err))
			return false;
		if (!name_valid(address_ip(element)))
			return setting_invalid(err, "store-seeds", "must be IP:port,... of IPv4");
		if (!wl_strings_contain(&settings->seeds, address_ip(element)))
			wl_strings_add(&settings->seeds, address_ip(element));
	}
	if (settings->store_peers.len > 0)
		return setting_invalid(err, "store-peers", "must be empty if --store-seeds is set");
	wl_str_split_last(wl_buf_str(&settings->peer_listen), ':', &peer_ip, &peer_port);
	if (!wl_str_equal(wl_buf_str(&settings->name), peer_ip))
		return setting_invalid(
			err, "name",
			"must be the IP address of --peer-listen if --store-seeds is set");
	if (!wl_str_u64(peer_port, &port) || port == 0)
		return setting_invalid(err, "peer-listen",
				       "must have a port other than 0 if --store-seeds is set");
	settings->replica_port = (uint16_t)port;
	return true;
}

static bool replicas_check(wl_settings_t *settings, wl_err_t *err)
{
	if (settings->store_seeds.len > 0)
		return seeds_check(settings, err);
	return store_peers_check(settings, err);
}

static bool addresses_check(wl_settings_t *settings, wl_err_t *err)
{
	wl_str_t listen = wl_buf_str(&settings->peer_listen);

	if (!name_valid(wl_buf_str(&settings->name)))
		return setting_invalid(err, "name",
				       "must be 1 to 64 letters, digits, '.', '_' or '-'");
	if (!name_valid(wl_buf_str(&settings->availability_zone)))
		return setting_invalid(err, "availability-zone",
				       "must be 1 to 64 letters, digits, '.', '_' or '-'");
	if (settings->store && settings->data_dir.len == 0)
		return setting_invalid(err, "data-dir", "must be set for the role store");
	if (settings->entry && settings->caller_listen.len == 0)
		return setting_invalid(err, "caller-listen", "must be set for the role entry");
	if (settings->control_listen.len == 0)
		return setting_invalid(err, "control-listen", "must be IP:port");
	if (listen.len == 0)
		return setting_invalid(err, "peer-listen", "must be IP:port");
	if (settings->peer_advertise.len == 0 &&
	    (wl_str_starts(listen, WL_STR("0.0.0.0:")) || wl_str_starts(listen, WL_STR("[::]:"))))
		return setting_invalid(err, "peer-advertise",
				       "must be set if --peer-listen is a wildcard address");
	return true;
}

static bool times_check(const wl_settings_t *s, wl_err_t *err)
{
	if (s->session_ms < 2 * s->renew_ms)
		return setting_invalid(err, "session-ms", "must be at least twice --renew-ms");
	if (s->session_ms < 2 * s->election_ms + s->renew_ms)
		return setting_invalid(err, "session-ms",
				       "must be at least twice --election-ms plus --renew-ms, to "
				       "outlast an election");
	if (s->election_ms < 3 * s->heartbeat_ms)
		return setting_invalid(err, "election-ms",
				       "must be at least three times --heartbeat-ms");
	if (s->silence_ms < 2 * s->announce_ms)
		return setting_invalid(err, "silence-ms", "must be at least twice --announce-ms");
	if (s->lease_ms < 3 * s->announce_ms)
		return setting_invalid(err, "lease-ms",
				       "must be at least three times --announce-ms");
	if (s->drift_ms >= s->session_ms || s->drift_ms >= s->lease_ms)
		return setting_invalid(err, "drift-ms",
				       "must be below --session-ms and --lease-ms");
	if (s->default_timeout_ms > s->max_timeout_ms)
		return setting_invalid(err, "default-timeout-ms",
				       "must not be above --max-timeout-ms");
	return true;
}

static bool sizes_check(const wl_settings_t *s, wl_err_t *err)
{
	if (s->max_frame_bytes < s->max_body_bytes + s->max_header_bytes + FRAME_OVERHEAD_BYTES)
		return setting_invalid(
			err, "max-frame-bytes",
			"must be at least --max-body-bytes plus --max-header-bytes plus 64 KiB");
	if (s->max_frame_bytes < s->max_response_bytes + FRAME_OVERHEAD_BYTES)
		return setting_invalid(err, "max-frame-bytes",
				       "must be at least --max-response-bytes plus 64 KiB");
	if (s->max_peer_queue_bytes < s->max_frame_bytes)
		return setting_invalid(err, "max-peer-queue-bytes",
				       "must be at least --max-frame-bytes");
	if (s->queue_slots & (s->queue_slots - 1))
		return setting_invalid(err, "queue-slots", "must be a power of two");
	return true;
}

/*
 * wl_settings_check - check the settings against each other and derive role, peers and seeds
 * @err: WL_E_BAD_INPUT, naming the setting
 */
bool wl_settings_check(wl_settings_t *settings, wl_err_t *err)
{
	wl_str_t head;
	wl_str_t tail;

	wl_str_split(wl_buf_str(&settings->role), ',', &head, &tail);
	settings->entry = wl_str_equal(head, WL_STR("entry"));
	settings->store =
		wl_str_equal(head, WL_STR("store")) || wl_str_equal(tail, WL_STR("store"));
	wl_level_parse(wl_buf_str(&settings->log_level), &settings->level);
	if (settings->peer_secret_file.len == 0)
		return setting_invalid(err, "peer-secret-file", "must name a file");
	return addresses_check(settings, err) && replicas_check(settings, err) &&
	       times_check(settings, err) && sizes_check(settings, err);
}

static bool file_error(wl_err_t *err, const char *path)
{
	return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "%.200s: %s", path, strerror(errno));
}

static bool file_read(const char *path, wl_buf_t *to, wl_err_t *err)
{
	FILE *file = fopen(path, "re");
	char bytes[4096];
	size_t n;

	if (!file)
		return file_error(err, path);
	wl_buf_clear(to);
	while (to->len <= FILE_BYTES_MAX && (n = fread(bytes, 1, sizeof(bytes), file)) > 0)
		wl_buf_append(to, (wl_str_t){bytes, n});
	explicit_bzero(bytes, sizeof(bytes));
	if (ferror(file)) {
		fclose(file);
		return file_error(err, path);
	}
	fclose(file);
	if (to->len > FILE_BYTES_MAX)
		return wl_err_set(err, WL_E_TOO_LARGE, WL_NOT_RUN, "%.200s: longer than 1 MiB",
				  path);
	return true;
}

static void secret_mode_warn(const char *path)
{
	struct stat status;

	if (stat(path, &status) == 0 && (status.st_mode & (S_IRWXG | S_IRWXO)))
		fprintf(stderr, "wisterialeadd: warning: %s is accessible to group or others\n",
			path);
}

static bool secret_read(const char *flag, const wl_buf_t *path, size_t min_bytes, wl_buf_t *to,
			wl_err_t *err)
{
	size_t start = 0;

	if (path->len == 0)
		return true;
	if (!file_read(path->at, to, err))
		return false;
	secret_mode_warn(path->at);
	while (to->len > 0 && strchr(" \t\r\n", to->at[to->len - 1]))
		to->len--;
	while (start < to->len && strchr(" \t\r\n", to->at[start]))
		start++;
	if (start > 0)
		memmove(to->at, to->at + start, to->len - start);
	to->len -= start;
	if (to->len >= min_bytes)
		return true;
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			  "--%s: %.160s holds fewer than %zu bytes", flag, path->at, min_bytes);
}

static bool chart_read(const wl_settings_t *settings, const char *name, wl_buf_t *to, wl_err_t *err)
{
	wl_buf_t path = {0};
	bool ok;

	wl_buf_printf(&path, "%s/%s", settings->chart_dir.at ? settings->chart_dir.at : ".", name);
	ok = file_read(path.at, to, err);
	wl_buf_free(&path);
	return ok;
}

/*
 * wl_settings_load - read the files that the settings name
 * @err: WL_E_BAD_INPUT, WL_E_IO, WL_E_TOO_LARGE, naming the file
 */
bool wl_settings_load(wl_settings_t *s, wl_err_t *err)
{
	return secret_read("peer-secret-file", &s->peer_secret_file, SECRET_BYTES_MIN,
			   &s->peer_secret, err) &&
	       secret_read("operator-token-file", &s->operator_token_file, 1, &s->operator_token,
			   err) &&
	       secret_read("target-token-file", &s->target_token_file, 1, &s->target_token, err) &&
	       chart_read(s, "task.json", &s->task_chart, err) &&
	       chart_read(s, "target.json", &s->target_chart, err);
}
