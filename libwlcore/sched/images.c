/* What is learnt of images beside each other. */

#include "images.h"

#include <string.h>

#include <libwlbase/units.h>

#define WEIGHT_MOST   32 /* samples that a mean remembers: a swing of the load or two */
#define SAMPLES_LEAST 4
#define PERMILLE_MOST 100000 /* a hundred times the bound says no more than twice */

/*
 * wl_images_init - make an empty table
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
 * wl_images_number - the number of an image, given when it is new
 */
unsigned int wl_images_number(wl_images_t *images, wl_str_t name)
{
	for (unsigned int i = 0; i < images->count; i++)
		if (wl_str_equal(wl_buf_str(&images->names[i]), name))
			return i;
	if (images->count == WL_IMAGES_MOST)
		return WL_IMAGES_MOST - 1;
	wl_buf_set(&images->names[images->count], name);
	return images->count++;
}

static void mean_add(wl_image_pair_t *mean, uint64_t permille)
{
	uint64_t sample = permille < PERMILLE_MOST ? permille : PERMILLE_MOST;

	mean->permille = (uint32_t)(((uint64_t)mean->permille * mean->samples + sample) /
				    (mean->samples + 1));
	if (mean->samples < WEIGHT_MOST - 1)
		mean->samples++;
}

/*
 * wl_images_learn - take in a sample of a pair
 * @permille: tail of the serving image to its bound
 */
void wl_images_learn(wl_images_t *images, unsigned int serving, unsigned int beside,
		     uint64_t permille)
{
	mean_add(&images->pairs[serving][beside], permille);
}

/*
 * wl_images_learn_alone - take in a sample of a serving image with no best-effort work beside it
 */
void wl_images_learn_alone(wl_images_t *images, unsigned int serving, uint64_t permille)
{
	mean_add(&images->alone[serving], permille);
}

/*
 * wl_images_growth - by how much a best-effort image lets the tail of a serving one grow
 *
 * Return: permille, 1000 and more; 1000 as long as too little was seen.
 */
uint64_t wl_images_growth(const wl_images_t *images, unsigned int serving, unsigned int beside)
{
	const wl_image_pair_t *pair = &images->pairs[serving][beside];
	const wl_image_pair_t *alone = &images->alone[serving];

	if (pair->samples < SAMPLES_LEAST || alone->samples < SAMPLES_LEAST ||
	    pair->permille <= alone->permille || alone->permille == 0)
		return WL_PERMILLE;
	return (uint64_t)pair->permille * WL_PERMILLE / alone->permille;
}
