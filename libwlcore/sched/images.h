#ifndef WL_IMAGES_H
#define WL_IMAGES_H

#include <stdbool.h>
#include <stdint.h>

#include <libwlbase/str.h>

/*
 * Ids of images, which index the interference tables: placement looks up thousands of
 * pairs a second. libwlcore/owner/pairs.h uses names instead, since it sends them in
 * messages.
 */

#define WL_IMAGES_MAX 64 /* further images share the last id */

typedef struct wl_images {
	wl_buf_t names[WL_IMAGES_MAX];
	unsigned int count;
} wl_images_t;

void wl_images_init(wl_images_t *images);
void wl_images_free(wl_images_t *images);
unsigned int wl_images_id(wl_images_t *images, wl_str_t name);

#endif
