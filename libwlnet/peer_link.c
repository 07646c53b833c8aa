/* One TCP connection between two daemons: handshake, frames, buffers. */

#include "peer_link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LENGTH_BYTES	  4
#define HANDSHAKE_MOST	  256 /* longest frame before the proof, bytes */
#define READ_BYTES	  (64 << 10)
#define KEEP_BUFFER_BYTES (256 << 10) /* larger buffers are released once empty */

/*
 * wl_link_new - take over a socket
 * @fd: non-blocking; closed by wl_link_free()
 * @options: what it points to must outlive the link
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
	link->begun_ns = link->heard_ns = link->sent_ns = now_ns;
	if (!wl_hello_make(&link->proof.own, options->name, options->boot, &err))
		wl_link_fail(link, "no random bytes");
	return link;
}

/*
 * wl_link_free - close a link and release it
 */
void wl_link_free(wl_link_t *link)
{
	close(link->fd);
	wl_buf_free(&link->proof.own.name);
	wl_buf_free(&link->proof.other.name);
	wl_buf_free(&link->in);
	wl_buf_free(&link->out);
	free(link);
}

/*
 * wl_link_fail - give a link up; its owner frees it
 * @fault: what the other side did wrong, or NULL
 */
void wl_link_fail(wl_link_t *link, const char *fault)
{
	if (link->state == WL_LINK_CLOSED)
		return;
	link->state = WL_LINK_CLOSED;
	link->fault = fault;
}

/*
 * wl_link_unsent - bytes that wait to be written
 */
size_t wl_link_unsent(const wl_link_t *link)
{
	return link->out.len - link->out_done;
}

static void put_length(wl_buf_t *out, size_t len)
{
	uint32_t big = htonl((uint32_t)len);

	wl_buf_append(out, (wl_str_t){(const char *)&big, sizeof(big)});
}

static void put_plain(wl_link_t *link, wl_str_t bytes)
{
	put_length(&link->out, bytes.len);
	wl_buf_append(&link->out, bytes);
}

/*
 * wl_link_put - queue a frame on a link that is up
 * @payload: empty: a ping
 */
void wl_link_put(wl_link_t *link, wl_str_t payload)
{
	static const char blank[WL_TAG_BYTES];
	size_t start;

	put_length(&link->out, WL_TAG_BYTES + payload.len);
	start = link->out.len;
	wl_buf_append(&link->out, (wl_str_t){blank, sizeof(blank)});
	wl_buf_append(&link->out, payload);
	wl_seal_put(&link->seal_out, link->out.at + start, link->out.len - start);
}

/*
 * wl_link_connected - the TCP connection stands: begin the handshake
 */
void wl_link_connected(wl_link_t *link)
{
	wl_buf_t hello = {0};

	wl_hello_pack(&link->proof.own, &hello);
	put_plain(link, wl_buf_str(&hello));
	wl_buf_free(&hello);
	link->state = WL_LINK_HELLO;
}

/* Moves what was not taken to the front of the buffer. */
static void in_compact(wl_link_t *link)
{
	wl_buf_t *in = &link->in;

	if (link->in_done == 0)
		return;
	memmove(in->at, in->at + link->in_done, in->len - link->in_done);
	in->len -= link->in_done;
	link->in_done = 0;
	if (in->len == 0 && in->capacity > KEEP_BUFFER_BYTES)
		wl_buf_free(in);
}

/*
 * wl_link_read - read what has come, as far as a frame needs it
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
	link->heard_ns = now_ns;
}

/* The next whole frame without its length; false if there is none yet. */
static bool frame_take(wl_link_t *link, wl_str_t *frame)
{
	size_t most = link->state == WL_LINK_UP ? link->max_frame_bytes : HANDSHAKE_MOST;
	size_t have = link->in.len - link->in_done;
	uint32_t len;

	if (have < LENGTH_BYTES)
		return false;
	memcpy(&len, link->in.at + link->in_done, sizeof(len));
	len = ntohl(len);
	if (len > most) {
		wl_link_fail(link, "frame is too long");
		return false;
	}
	if (have < LENGTH_BYTES + (size_t)len)
		return false;
	*frame = (wl_str_t){link->in.at + link->in_done + LENGTH_BYTES, len};
	link->in_done += LENGTH_BYTES + (size_t)len;
	return true;
}

static void take_hello(wl_link_t *link, wl_str_t frame)
{
	uint8_t proof[WL_SHA256_BYTES];

	if (!wl_hello_unpack(frame, &link->proof.other)) {
		wl_link_fail(link, "no hello");
		return;
	}
	if (wl_str_equal(wl_buf_str(&link->proof.other.name), wl_buf_str(&link->proof.own.name))) {
		wl_link_fail(link, "peer bears our own name");
		return;
	}
	wl_proof_own(&link->proof, proof);
	put_plain(link, (wl_str_t){(const char *)proof, sizeof(proof)});
	link->state = WL_LINK_PROOF;
}

static void take_proof(wl_link_t *link, wl_str_t frame, uint64_t now_ns)
{
	if (!wl_proof_check(&link->proof, frame)) {
		/* The other side is to find out too, and not just to see a close. */
		wl_link_write(link, now_ns);
		wl_link_fail(link, "wrong proof of the secret");
		return;
	}
	wl_proof_seals(&link->proof, &link->seal_out, &link->seal_in);
	link->state = WL_LINK_UP;
	link->up_ns = now_ns;
}

/*
 * wl_link_take - take the next message out of what was read
 * @payload: valid until the next read
 *
 * Handshake frames and pings are dealt with here.
 *
 * Return: false if there is no whole message, or if the link has just come up or closed.
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
		if (!wl_seal_check(&link->seal_in, (char *)frame.at, frame.len)) {
			wl_link_fail(link, "wrong tag on a frame");
			return false;
		}
		*payload = (wl_str_t){frame.at + WL_TAG_BYTES, frame.len - WL_TAG_BYTES};
		if (payload->len > 0)
			return true;
	}
	return false;
}

/*
 * wl_link_write - write as much as the socket takes
 */
void wl_link_write(wl_link_t *link, uint64_t now_ns)
{
	while (wl_link_unsent(link) > 0) {
		ssize_t n = send(link->fd, link->out.at + link->out_done, wl_link_unsent(link),
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return;
		if (n <= 0) {
			wl_link_fail(link, NULL);
			return;
		}
		link->out_done += (size_t)n;
		link->sent_ns = now_ns;
	}
	link->out_done = 0;
	if (link->out.capacity > KEEP_BUFFER_BYTES)
		wl_buf_free(&link->out);
	else
		wl_buf_clear(&link->out);
}
