/*
 * Mutual authentication of two daemons by a shared secret.
 *
 * Each side sends a nonce, then an HMAC over both nonces, both names and its
 * direction, so that the HMAC can be neither replayed nor reflected.  Each
 * later frame carries a tag over a frame counter and the payload, under a key
 * that is specific to the link and direction.
 */

#include "peer_proof.h"

#include <endian.h>
#include <errno.h>
#include <string.h>
#include <sys/random.h>

#define HELLO_MAGIC   "wlp1"
#define COUNTER_BYTES 8

static void put_u64(wl_buf_t *out, uint64_t value)
{
	uint64_t big_endian = htobe64(value);

	wl_buf_append(out, (wl_str_t){(const char *)&big_endian, sizeof(big_endian)});
}

/*
 * wl_hello_create - create a hello with a new nonce
 * @err: WL_E_IO
 */
bool wl_hello_create(wl_hello_t *hello, wl_str_t name, uint64_t boot, wl_err_t *err)
{
	if (getrandom(hello->nonce, sizeof(hello->nonce), 0) != sizeof(hello->nonce))
		return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "getrandom: %s", strerror(errno));
	hello->boot = boot;
	wl_buf_set(&hello->name, name);
	return true;
}

/*
 * wl_hello_pack - append an encoded hello to a buffer
 */
void wl_hello_pack(const wl_hello_t *hello, wl_buf_t *out)
{
	wl_buf_append(out, WL_STR(HELLO_MAGIC));
	wl_buf_append(out, (wl_str_t){(const char *)hello->nonce, sizeof(hello->nonce)});
	put_u64(out, hello->boot);
	wl_buf_append(out, wl_buf_str(&hello->name));
}

/*
 * wl_hello_unpack - decode a hello
 *
 * Return: false if it is malformed.
 */
bool wl_hello_unpack(wl_str_t bytes, wl_hello_t *hello)
{
	const size_t fixed = sizeof(HELLO_MAGIC) - 1 + WL_NONCE_BYTES + sizeof(uint64_t);
	const char *at = bytes.at;
	uint64_t boot;

	if (bytes.len <= fixed || bytes.len > fixed + WL_PEER_NAME_BYTES ||
	    !wl_str_starts(bytes, WL_STR(HELLO_MAGIC)))
		return false;
	at += sizeof(HELLO_MAGIC) - 1;
	memcpy(hello->nonce, at, WL_NONCE_BYTES);
	memcpy(&boot, at + WL_NONCE_BYTES, sizeof(boot));
	hello->boot = be64toh(boot);
	wl_buf_set(&hello->name, (wl_str_t){bytes.at + fixed, bytes.len - fixed});
	return true;
}

static void hello_digest(const wl_hello_t *hello, wl_buf_t *text)
{
	put_u64(text, hello->name.len);
	wl_hello_pack(hello, text);
}

/* The hello of the dialling side comes first, so that both sides hash the same text. */
static void proof_digest(const wl_proof_t *proof, const char *label, bool by_dialler,
			 uint8_t out[WL_SHA256_BYTES])
{
	wl_buf_t text = {0};

	wl_buf_printf(&text, "wisterialead %s %s ", label, by_dialler ? "dialler" : "acceptor");
	hello_digest(proof->dialled ? &proof->local : &proof->remote, &text);
	hello_digest(proof->dialled ? &proof->remote : &proof->local, &text);
	wl_hmac_sha256(proof->secret, wl_buf_str(&text), out);
	wl_buf_free(&text);
}

/*
 * wl_proof_compute - compute the proof that this side sends
 */
void wl_proof_compute(const wl_proof_t *proof, uint8_t out[WL_SHA256_BYTES])
{
	proof_digest(proof, "proof", proof->dialled, out);
}

/*
 * wl_proof_verify - whether the peer holds the shared secret
 * @bytes: the proof that the peer sent
 */
bool wl_proof_verify(const wl_proof_t *proof, wl_str_t bytes)
{
	uint8_t expected[WL_SHA256_BYTES];

	proof_digest(proof, "proof", !proof->dialled, expected);
	return bytes.len == sizeof(expected) &&
	       wl_digest_equal(expected, (const uint8_t *)bytes.at, sizeof(expected));
}

/*
 * wl_proof_derive_keys - derive the frame keys of an authenticated link
 * @out: for sent frames
 * @in: for received frames
 */
void wl_proof_derive_keys(const wl_proof_t *proof, wl_frame_auth_t *out, wl_frame_auth_t *in)
{
	proof_digest(proof, "session", proof->dialled, out->key);
	proof_digest(proof, "session", !proof->dialled, in->key);
	out->counter = 0;
	in->counter = 0;
}

/* The counter takes the last bytes of the tag field, just before the payload. */
static void frame_digest(wl_frame_auth_t *auth, char *frame, size_t len,
			 uint8_t out[WL_SHA256_BYTES])
{
	const size_t start = WL_TAG_BYTES - COUNTER_BYTES;
	uint64_t counter = htobe64(auth->counter++);

	memcpy(frame + start, &counter, sizeof(counter));
	wl_hmac_sha256((wl_str_t){(const char *)auth->key, sizeof(auth->key)},
		       (wl_str_t){frame + start, len - start}, out);
}

/*
 * wl_frame_auth_sign - write the tag of the next frame
 * @frame: space for the tag, then the payload
 * @len: of the tag and the payload, bytes
 */
void wl_frame_auth_sign(wl_frame_auth_t *auth, char *frame, size_t len)
{
	uint8_t digest[WL_SHA256_BYTES];

	frame_digest(auth, frame, len, digest);
	memcpy(frame, digest, WL_TAG_BYTES);
}

/*
 * wl_frame_auth_verify - verify the tag of the next frame
 * @frame: the tag, then the payload; the tag is overwritten
 * @len: of the tag and the payload, bytes
 */
bool wl_frame_auth_verify(wl_frame_auth_t *auth, char *frame, size_t len)
{
	uint8_t digest[WL_SHA256_BYTES];
	uint8_t tag[WL_TAG_BYTES];

	if (len < WL_TAG_BYTES)
		return false;
	memcpy(tag, frame, sizeof(tag));
	frame_digest(auth, frame, len, digest);
	return wl_digest_equal(tag, digest, sizeof(tag));
}
