#ifndef WL_PEER_PROOF_H
#define WL_PEER_PROOF_H

#include <libwlbase/digest.h>
#include <libwlbase/err.h>
#include <libwlbase/str.h>

/* Mutual authentication by a shared secret, and frame tags; internal to the peer links. */

#define WL_NONCE_BYTES	   16
#define WL_PEER_NAME_BYTES 128
#define WL_TAG_BYTES	   16

/* First frame of each side. */
typedef struct wl_hello {
	uint8_t nonce[WL_NONCE_BYTES];
	uint64_t boot; /* random, chosen at each start of the daemon */
	wl_buf_t name;
} wl_hello_t;

/* Handshake state of a link. */
typedef struct wl_proof {
	wl_str_t secret;
	wl_hello_t own;
	wl_hello_t other;
	bool dialled; /* by this side */
} wl_proof_t;

/* Authentication of the frames of one direction (HMAC-SHA-256). */
typedef struct wl_seal {
	uint8_t key[WL_SHA256_BYTES];
	uint64_t counter; /* frames so far */
} wl_seal_t;

bool wl_hello_make(wl_hello_t *hello, wl_str_t name, uint64_t boot, wl_err_t *err);
void wl_hello_pack(const wl_hello_t *hello, wl_buf_t *out);
bool wl_hello_unpack(wl_str_t bytes, wl_hello_t *hello);

void wl_proof_own(const wl_proof_t *proof, uint8_t out[WL_SHA256_BYTES]);
bool wl_proof_check(const wl_proof_t *proof, wl_str_t bytes);
void wl_proof_seals(const wl_proof_t *proof, wl_seal_t *out, wl_seal_t *in);

void wl_seal_put(wl_seal_t *seal, char *frame, size_t len);
bool wl_seal_check(wl_seal_t *seal, char *frame, size_t len);

#endif
