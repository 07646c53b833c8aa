#ifndef WL_IMAGES_H
#define WL_IMAGES_H

#include <stdbool.h>
#include <stdint.h>

#include <libwlbase/str.h>

/*
 * What is learnt of images beside each other: the tail latency of a serving
 * one beside a best-effort one, as a share of its bound.
 *
 * Placement asks for thousands of pairs a second, so that images are numbers
 * here; libwlcore/owner/pairs.h keeps names, for messages.
 */

#define WL_IMAGES_MOST 64 /* further images share the last number */

typedef struct wl_image_pair {
	uint32_t permille; /* mean, newer samples first */
	uint32_t samples;
} wl_image_pair_t;

typedef struct wl_images {
	wl_buf_t names[WL_IMAGES_MOST];
	unsigned int count;
	wl_image_pair_t alone[WL_IMAGES_MOST];		       /* serving, without best effort */
	wl_image_pair_t pairs[WL_IMAGES_MOST][WL_IMAGES_MOST]; /* serving, best-effort */
} wl_images_t;

void wl_images_init(wl_images_t *images);
void wl_images_free(wl_images_t *images);
unsigned int wl_images_number(wl_images_t *images, wl_str_t name);
void wl_images_learn(wl_images_t *images, unsigned int serving, unsigned int beside,
		     uint64_t permille);
void wl_images_learn_alone(wl_images_t *images, unsigned int serving, uint64_t permille);
uint64_t wl_images_growth(const wl_images_t *images, unsigned int serving, unsigned int beside);

#endif
