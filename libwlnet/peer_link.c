/* One TCP connection between two daemons: handshake, frames, buffers. */

#include "peer_link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LENGTH_BYTES	    4
#define MAX_HANDSHAKE_BYTES 256 /* longest frame before the proof, bytes */
#define READ_BYTES	    (64 << 10)
#define KEEP_BUFFER_BYTES   (256 << 10) /* larger buffers are released once empty */

/*
 * wl_link_new - create a link on a socket
 * @fd: non-blocking; closed by wl_link_free()
 * @options: the strings that it refers to must outlive the link
 * @now_ns: monotonic time, nanoseconds
 */
wl_link_t *wl_link_new(int fd, const wl_link_options_t *options, uint64_t now_ns)
{
	wl_link_t *link = wl_alloc(sizeof(*link));
	wl_err_t err;

	memset(link, 0, sizeof(*link));
	link->fd = fd;
	link->state = WL_LINK_CONNECTING;
	link->proof.secret = options->secret;
	link->proof.dialled = options->dialled;
	link->max_frame_bytes = options->max_frame_bytes;
	link->started_ns = link->received_ns = link->sent_ns = now_ns;
	if (!wl_hello_create(&link->proof.local, options->name, options->boot, &err))
		wl_link_fail(link, "random number generator failed");
	return link;
}

/*
 * wl_link_free - close a link and release it
 */
void wl_link_free(wl_link_t *link)
{
	close(link->fd);
	wl_buf_free(&link->proof.local.name);
	wl_buf_free(&link->proof.remote.name);
	wl_buf_free(&link->in);
	wl_buf_free(&link->out);
	free(link);
}

/*
 * wl_link_fail - mark a link as closed; the peer thread releases it
 * @protocol_error: what the peer did wrong, or NULL if the close is not its fault
 */
void wl_link_fail(wl_link_t *link, const char *protocol_error)
{
	if (link->state == WL_LINK_CLOSED)
		return;
	link->state = WL_LINK_CLOSED;
	link->protocol_error = protocol_error;
}

/*
 * wl_link_unsent - number of bytes in the output buffer
 */
size_t wl_link_unsent(const wl_link_t *link)
{
	return link->out.len - link->out_written;
}

static void put_length(wl_buf_t *out, size_t len)
{
	uint32_t big_endian = htonl((uint32_t)len);

	wl_buf_append(out, (wl_str_t){(const char *)&big_endian, sizeof(big_endian)});
}

static void put_plain(wl_link_t *link, wl_str_t bytes)
{
	put_length(&link->out, bytes.len);
	wl_buf_append(&link->out, bytes);
}

/*
 * wl_link_put - queue a frame on a link that is up
 * @payload: empty for a ping
 */
void wl_link_put(wl_link_t *link, wl_str_t payload)
{
	static const char empty_tag[WL_TAG_BYTES];
	size_t start;

	put_length(&link->out, WL_TAG_BYTES + payload.len);
	start = link->out.len;
	wl_buf_append(&link->out, (wl_str_t){empty_tag, sizeof(empty_tag)});
	wl_buf_append(&link->out, payload);
	wl_frame_auth_sign(&link->auth_out, link->out.at + start, link->out.len - start);
}

/*
 * wl_link_connected - start the handshake on an established TCP connection
 */
void wl_link_connected(wl_link_t *link)
{
	wl_buf_t hello = {0};

	wl_hello_pack(&link->proof.local, &hello);
	put_plain(link, wl_buf_str(&hello));
	wl_buf_free(&hello);
	link->state = WL_LINK_HELLO;
}

/* Moves the bytes that were not consumed to the front of the buffer. */
static void in_compact(wl_link_t *link)
{
	wl_buf_t *in = &link->in;

	if (link->in_consumed == 0)
		return;
	memmove(in->at, in->at + link->in_consumed, in->len - link->in_consumed);
	in->len -= link->in_consumed;
	link->in_consumed = 0;
	if (in->len == 0 && in->capacity > KEEP_BUFFER_BYTES)
		wl_buf_free(in);
}

/*
 * wl_link_read - read once from the socket into the input buffer
 */
void wl_link_read(wl_link_t *link, uint64_t now_ns)
{
	char bytes[READ_BYTES];
	ssize_t n = recv(link->fd, bytes, sizeof(bytes), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		wl_link_fail(link, NULL);
		return;
	}
	in_compact(link);
	wl_buf_append(&link->in, (wl_str_t){bytes, (size_t)n});
	link->received_ns = now_ns;
}

/* Takes the next complete frame, without its length; false if there is none yet. */
static bool frame_take(wl_link_t *link, wl_str_t *frame)
{
	size_t max_bytes = link->state == WL_LINK_UP ? link->max_frame_bytes : MAX_HANDSHAKE_BYTES;
	size_t available = link->in.len - link->in_consumed;
	uint32_t len;

	if (available < LENGTH_BYTES)
		return false;
	memcpy(&len, link->in.at + link->in_consumed, sizeof(len));
	len = ntohl(len);
	if (len > max_bytes) {
		wl_link_fail(link, "frame exceeds the size limit");
		return false;
	}
	if (available < LENGTH_BYTES + (size_t)len)
		return false;
	*frame = (wl_str_t){link->in.at + link->in_consumed + LENGTH_BYTES, len};
	link->in_consumed += LENGTH_BYTES + (size_t)len;
	return true;
}

static void take_hello(wl_link_t *link, wl_str_t frame)
{
	uint8_t proof[WL_SHA256_BYTES];

	if (!wl_hello_unpack(frame, &link->proof.remote)) {
		wl_link_fail(link, "malformed hello");
		return;
	}
	if (wl_str_equal(wl_buf_str(&link->proof.remote.name),
			 wl_buf_str(&link->proof.local.name))) {
		wl_link_fail(link, "peer uses the name of this daemon");
		return;
	}
	wl_proof_compute(&link->proof, proof);
	put_plain(link, (wl_str_t){(const char *)proof, sizeof(proof)});
	link->state = WL_LINK_PROOF;
}

static void take_proof(wl_link_t *link, wl_str_t frame, uint64_t now_ns)
{
	if (!wl_proof_verify(&link->proof, frame)) {
		/* Flushes the own proof, so that the peer detects the mismatch too. */
		wl_link_write(link, now_ns);
		wl_link_fail(link, "authentication failed: proof does not match the shared secret");
		return;
	}
	wl_proof_derive_keys(&link->proof, &link->auth_out, &link->auth_in);
	link->state = WL_LINK_UP;
	link->up_ns = now_ns;
}

/*
 * wl_link_take - take the next message from the input buffer
 * @payload: valid until the next read
 *
 * Processes handshake frames and pings itself.
 *
 * Return: false if there is no complete message, or if the link has just come up or closed.
 */
bool wl_link_take(wl_link_t *link, uint64_t now_ns, wl_str_t *payload)
{
	wl_str_t frame;

	while (link->state != WL_LINK_CLOSED && frame_take(link, &frame)) {
		if (link->state == WL_LINK_HELLO) {
			take_hello(link, frame);
			continue;
		}
		if (link->state == WL_LINK_PROOF) {
			take_proof(link, frame, now_ns);
			return false;
		}
		if (!wl_frame_auth_verify(&link->auth_in, (char *)frame.at, frame.len)) {
			wl_link_fail(link, "frame authentication failed");
			return false;
		}
		*payload = (wl_str_t){frame.at + WL_TAG_BYTES, frame.len - WL_TAG_BYTES};
		if (payload->len > 0)
			return true;
	}
	return false;
}

/*
 * wl_link_write - write from the output buffer until the socket would block
 */
void wl_link_write(wl_link_t *link, uint64_t now_ns)
{
	while (wl_link_unsent(link) > 0) {
		ssize_t n = send(link->fd, link->out.at + link->out_written, wl_link_unsent(link),
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return;
		if (n <= 0) {
			wl_link_fail(link, NULL);
			return;
		}
		link->out_written += (size_t)n;
		link->sent_ns = now_ns;
	}
	link->out_written = 0;
	if (link->out.capacity > KEEP_BUFFER_BYTES)
		wl_buf_free(&link->out);
	else
		wl_buf_clear(&link->out);
}
