/*
 * Requests with an Idempotency-Key: the leader commits the key before the request is
 * sent, and the outcome before the caller is answered.
 */

#include "internal.h"

#include <string.h>

#include <libwlbase/digest.h>

#define MAX_STORED_BYTES  ((size_t)256 * 1024)
#define CALL_GRACE_NS	  (100 * WL_NS_PER_MS)
#define OUTCOME_COMMIT_NS (30000 * WL_NS_PER_MS) /* time-out of the commit of an outcome */

/* Each part is prefixed by its length, so that different requests have different texts. */
static void digest_part(wl_buf_t *text, wl_str_t part)
{
	wl_buf_printf(text, "%zu:", part.len);
	wl_buf_append(text, part);
}

static void request_digest(const wl_request_t *request, char hex[WL_SHA256_HEX + 1])
{
	wl_buf_t text = {0};

	digest_part(&text, wl_buf_str(&request->method));
	digest_part(&text, request->service->key);
	digest_part(&text, wl_buf_str(&request->path));
	digest_part(&text, wl_buf_str(&request->body));
	wl_sha256_hex(wl_buf_str(&text), hex);
	wl_buf_free(&text);
}

/* Unique: session ids are not reused in a cell, and request ids are not reused in a session. */
static uint64_t request_nonce(const wl_requests_t *requests, uint64_t id)
{
	uint64_t parts[] = {requests->session, id};

	return wl_str_hash((wl_str_t){(const char *)parts, sizeof(parts)}, 0);
}

/*
 * wl_request_key_begin - ask the leader to commit the key of a request
 */
void wl_request_key_begin(wl_requests_t *requests, wl_request_t *request, wl_out_t *out)
{
	uint64_t id = wl_requests_id(requests);
	char digest[WL_SHA256_HEX + 1];
	wl_cmd_t cmd = {.kind = WL_CMD_KEY_BEGIN};

	request->state = WL_REQUEST_KEY_COMMIT;
	request->nonce = request_nonce(requests, id);
	request_digest(request, digest);
	wl_id_put(&requests->by_leader_call, &request->leader_call, id, request);
	wl_buf_set(&cmd.u.key_begin.customer, wl_buf_str(&request->customer_name));
	wl_buf_set(&cmd.u.key_begin.key, wl_buf_str(&request->key));
	wl_buf_set(&cmd.u.key_begin.digest, wl_str_from(digest));
	cmd.u.key_begin.session = requests->session;
	cmd.u.key_begin.nonce = request->nonce;
	wl_out_leader_command(out, id, &cmd, request->deadline_ns);
	wl_cmd_free(&cmd);
	/* fallback in case the call to the leader does not end at its deadline */
	wl_requests_timer(requests, request, request->deadline_ns + CALL_GRACE_NS);
}

static void key_end_command(const wl_request_t *request, uint64_t id, wl_verdict_t verdict,
			    uint64_t now_ns, wl_out_t *out)
{
	const wl_outcome_t *outcome = &request->outcome;
	const wl_buf_t *type = wl_headers_find(&outcome->headers, WL_STR("Content-Type"));
	wl_cmd_t cmd = {.kind = WL_CMD_KEY_END};

	wl_buf_set(&cmd.u.key_end.customer, wl_buf_str(&request->customer_name));
	wl_buf_set(&cmd.u.key_end.key, wl_buf_str(&request->key));
	cmd.u.key_end.nonce = request->nonce;
	cmd.u.key_end.verdict = verdict;
	if (verdict == WL_RAN) {
		cmd.u.key_end.status = outcome->status;
		wl_buf_set(&cmd.u.key_end.body, wl_buf_str(&outcome->body));
		if (type)
			wl_buf_set(&cmd.u.key_end.content_type, wl_buf_str(type));
	}
	wl_out_leader_command(out, id, &cmd, now_ns + OUTCOME_COMMIT_NS);
	wl_cmd_free(&cmd);
}

/*
 * An answer that exceeds the limit is not stored, not even in part; a retry of the
 * caller then gets the verdict unknown.
 */
static wl_verdict_t key_verdict(const wl_outcome_t *outcome)
{
	return outcome->body.len <= MAX_STORED_BYTES ? outcome->verdict : WL_UNKNOWN;
}

/*
 * wl_request_key_end - ask the leader to commit the outcome of a request, then answer
 * @now_ns: monotonic time, nanoseconds
 *
 * The answer is sent at the deadline at the latest, as it is valid whether or not
 * it is stored.  The commit is retried for longer.
 */
void wl_request_key_end(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			wl_out_t *out)
{
	uint64_t id = wl_requests_id(requests);

	request->state = WL_REQUEST_OUTCOME_COMMIT;
	wl_id_remove(&requests->by_leader_call, &request->leader_call);
	wl_id_put(&requests->by_leader_call, &request->leader_call, id, request);
	key_end_command(request, id, key_verdict(&request->outcome), now_ns, out);
	wl_requests_timer(requests, request, request->deadline_ns);
}

/*
 * wl_request_key_free - free the key of a request that did not and will not run
 * @now_ns: monotonic time, nanoseconds
 *
 * The request does not wait for this commit.  If the commit fails, the key counts
 * as running until the session of this entry ends.
 */
void wl_request_key_free(wl_requests_t *requests, wl_request_t *request, uint64_t now_ns,
			 wl_out_t *out)
{
	if (!request->key.len)
		return;
	key_end_command(request, wl_requests_id(requests), WL_NOT_RUN, now_ns, out);
	wl_buf_clear(&request->key);
}

/* Ends a request whose key is in use by another one. */
static void key_in_use(wl_requests_t *requests, wl_request_t *request, wl_verdict_t verdict,
		       const char *text, uint64_t now_ns, wl_out_t *out)
{
	wl_outcome_t outcome = {0};

	wl_buf_clear(&request->key);
	wl_outcome_error(&outcome, WL_E_CONFLICT, verdict, text);
	wl_request_end(requests, request, &outcome, now_ns, out);
	wl_outcome_free(&outcome);
}

static void key_replay(wl_requests_t *requests, wl_request_t *request, const wl_result_t *result,
		       uint64_t now_ns, wl_out_t *out)
{
	wl_outcome_t outcome = {.verdict = WL_RAN, .status = result->status, .replayed = true};

	wl_buf_clear(&request->key);
	if (result->content_type.len)
		wl_headers_add(&outcome.headers, WL_STR("Content-Type"),
			       wl_buf_str(&result->content_type));
	wl_buf_set(&outcome.body, wl_buf_str(&result->body));
	wl_request_end(requests, request, &outcome, now_ns, out);
	wl_outcome_free(&outcome);
}

static void key_begun(wl_requests_t *requests, wl_request_t *request, const wl_result_t *result,
		      uint64_t now_ns, wl_out_t *out)
{
	switch ((wl_key_state_t)result->key_state) {
	case WL_KEY_FRESH:
		wl_request_queue(requests, request, now_ns, out);
		return;
	case WL_KEY_DONE:
		if (result->verdict == WL_RAN && result->status) {
			key_replay(requests, request, result, now_ns, out);
			return;
		}
		break;
	case WL_KEY_RUNNING:
	case WL_KEY_LOST:
		break;
	}
	key_in_use(requests, request, WL_UNKNOWN,
		   "Idempotency-Key: an earlier request with this key may have run", now_ns, out);
}

/* The verdict is not-run, as nothing was sent.  The key may have been committed, so it is freed. */
static void key_not_begun(wl_requests_t *requests, wl_request_t *request, const wl_result_t *result,
			  uint64_t now_ns, wl_out_t *out)
{
	if (result->code == WL_E_CONFLICT) {
		key_in_use(requests, request, WL_NOT_RUN,
			   "Idempotency-Key: already used for a different request", now_ns, out);
		return;
	}
	if (result->verdict == WL_NOT_RUN)
		wl_buf_clear(&request->key);
	wl_request_fail(requests, request, WL_E_NO_LEADER,
			"Idempotency-Key: commit by the leader failed", now_ns, out);
}

/*
 * wl_requests_result - handle the result of a call to the leader
 * @tag: id of the call; ignored if no request waits for it
 * @now_ns: monotonic time, nanoseconds
 */
void wl_requests_result(wl_requests_t *requests, uint64_t tag, const wl_result_t *result,
			uint64_t now_ns, wl_out_t *out)
{
	wl_request_t *request = wl_id_get(&requests->by_leader_call, tag);

	if (!request)
		return;
	wl_id_remove(&requests->by_leader_call, &request->leader_call);
	if (request->state == WL_REQUEST_OUTCOME_COMMIT)
		wl_request_reply(requests, request, now_ns, out);
	else if (result->code == WL_OK)
		key_begun(requests, request, result, now_ns, out);
	else
		key_not_begun(requests, request, result, now_ns, out);
}
