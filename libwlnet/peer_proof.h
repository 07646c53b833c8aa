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
	wl_hello_t local;
	wl_hello_t remote;
	bool dialled; /* by this side */
} wl_proof_t;

/* Authentication of the frames of one direction (HMAC-SHA-256). */
typedef struct wl_frame_auth {
	uint8_t key[WL_SHA256_BYTES];
	uint64_t counter; /* frames so far */
} wl_frame_auth_t;

bool wl_hello_create(wl_hello_t *hello, wl_str_t name, uint64_t boot, wl_err_t *err);
void wl_hello_pack(const wl_hello_t *hello, wl_buf_t *out);
bool wl_hello_unpack(wl_str_t bytes, wl_hello_t *hello);

void wl_proof_compute(const wl_proof_t *proof, uint8_t out[WL_SHA256_BYTES]);
bool wl_proof_verify(const wl_proof_t *proof, wl_str_t bytes);
void wl_proof_derive_keys(const wl_proof_t *proof, wl_frame_auth_t *out, wl_frame_auth_t *in);

void wl_frame_auth_sign(wl_frame_auth_t *auth, char *frame, size_t len);
bool wl_frame_auth_verify(wl_frame_auth_t *auth, char *frame, size_t len);

#endif
