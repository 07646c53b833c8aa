/* Ids of images. */

#include "images.h"

#include <string.h>

/*
 * wl_images_init - initialize an empty table
 */
void wl_images_init(wl_images_t *images)
{
	memset(images, 0, sizeof(*images));
}

/*
 * wl_images_free - release a table
 */
void wl_images_free(wl_images_t *images)
{
	for (unsigned int i = 0; i < images->count; i++)
		wl_buf_free(&images->names[i]);
}

/*
 * wl_images_id - id of an image; a new image gets the next one
 *
 * Return: the id; WL_IMAGES_MAX - 1 for all images beyond the limit.
 */
unsigned int wl_images_id(wl_images_t *images, wl_str_t name)
{
	for (unsigned int i = 0; i < images->count; i++)
		if (wl_str_equal(wl_buf_str(&images->names[i]), name))
			return i;
	if (images->count == WL_IMAGES_MAX)
		return WL_IMAGES_MAX - 1;
	wl_buf_set(&images->names[images->count], name);
	return images->count++;
}
