#ifndef WL_DIGEST_H
#define WL_DIGEST_H

#include <stdbool.h>
#include <stdint.h>

#include <libwlbase/str.h>

#define WL_SHA256_BYTES 32
#define WL_SHA256_HEX	64

void wl_sha256(wl_str_t data, uint8_t out[WL_SHA256_BYTES]);
void wl_sha256_hex(wl_str_t data, char out[WL_SHA256_HEX + 1]);
void wl_hmac_sha256(wl_str_t key, wl_str_t data, uint8_t out[WL_SHA256_BYTES]);
bool wl_digest_equal(const uint8_t *a, const uint8_t *b, size_t len);

#endif
