/*
 * How best-effort work slows tasks that serve users.
 *
 * A Kalman filter with independent states: the headroom of each serving task
 * alone, which moves with its users' load, and the weight of each pair of
 * images, which all targets learn together.
 */

#include "interference.h"

#include <string.h>

#include <libwlbase/units.h>

#define WEIGHT_START	4.0 /* between a harmless pair and a heavy one: cautious with what is new */
#define WEIGHT_VARIANCE 16.0 /* both of these are likely */
#define WEIGHT_MOST	12.0 /* a neighbour on a tenth of the processors takes no more than a bound */
#define WEIGHT_DRIFT	0.1  /* variance a second: interference changes within seconds */
#define LEVEL_DRIFT	0.12 /* variance a second: users' load swings within tens of seconds */
#define LEVEL_VARIANCE	1.0  /* of the first figure of a task */
#define FIGURE_NOISE	0.1  /* targets' figures are rough: share of the figure */
#define FIGURE_LEAST \
	0.25 /* below, a queue has built up and a figure says no more than "too much" */
#define FIGURE_MOST    10.0
#define VAGUE_VARIANCE 1.0 /* of a figure below that */
#define IMAGES_ALL     (UINT64_MAX >> (64 - WL_IMAGES_MOST))
#define WINDOW_S       0.25 /* time constant that stands for a mean over the last half second */

/*
 * wl_press_init - forget all that was learnt
 */
void wl_press_init(wl_press_t *press)
{
	memset(press, 0, sizeof(*press));
	for (unsigned int i = 0; i < WL_IMAGES_MOST; i++)
		for (unsigned int k = 0; k < WL_IMAGES_MOST; k++)
			press->pairs[i][k] = (wl_press_pair_t){WEIGHT_START, WEIGHT_VARIANCE, 0};
}

/*
 * wl_press_weight - headroom that a serving image loses to a best-effort one
 *
 * Return: for all of a target's processors; 0 and more.
 */
double wl_press_weight(const wl_press_t *press, unsigned int serving, unsigned int beside)
{
	return press->pairs[serving][beside].weight;
}

/*
 * wl_press_sum_of - headroom that a serving image loses to some of what stands beside it
 * @shares: those of other images need not be set
 * @images: bit N: image N stands beside it
 */
double wl_press_sum_of(const wl_press_t *press, unsigned int serving,
		       const wl_press_shares_t *shares, uint64_t images)
{
	double sum = 0;

	for (; images; images &= images - 1) {
		unsigned int i = (unsigned int)__builtin_ctzll(images);

		if (shares->of[i] > 0)
			sum += wl_press_weight(press, serving, i) * shares->of[i];
	}
	return sum;
}

/*
 * wl_press_sum - headroom that a serving image loses to all that stands beside it
 */
double wl_press_sum(const wl_press_t *press, unsigned int serving, const wl_press_shares_t *shares)
{
	return wl_press_sum_of(press, serving, shares, IMAGES_ALL);
}

/*
 * wl_press_window - what a figure of the last half second averages over
 * @window: as it was at the last call; moves towards what is present
 * @present: shares since then
 * @passed_ns: time since then
 */
void wl_press_window(wl_press_shares_t *window, const wl_press_shares_t *present,
		     uint64_t passed_ns)
{
	double passed_s = (double)passed_ns / WL_NS_PER_S;
	double keep = WINDOW_S / (WINDOW_S + passed_s);

	for (unsigned int i = 0; i < WL_IMAGES_MOST; i++)
		window->of[i] = present->of[i] + (window->of[i] - present->of[i]) * keep;
}

static void pairs_drift(wl_press_t *press, unsigned int serving, const wl_press_shares_t *window,
			uint64_t now_ns)
{
	for (unsigned int i = 0; i < WL_IMAGES_MOST; i++) {
		wl_press_pair_t *pair = &press->pairs[serving][i];

		if (window->of[i] <= 0)
			continue;
		if (pair->at_ns)
			pair->variance +=
				WEIGHT_DRIFT * (double)(now_ns - pair->at_ns) / WL_NS_PER_S;
		if (pair->variance > WEIGHT_VARIANCE)
			pair->variance = WEIGHT_VARIANCE;
		pair->at_ns = now_ns;
	}
}

static double figure_variance(double headroom)
{
	double noise = FIGURE_NOISE * headroom;

	return headroom <= FIGURE_LEAST ? VAGUE_VARIANCE : noise * noise;
}

static double clamp(double value, double least, double most)
{
	if (value < least)
		return least;
	return value > most ? most : value;
}

/*
 * wl_press_learn - take in a figure of a serving task
 * @level: of that task; zeroed: its first figure
 * @serving: its image
 * @window: what stood beside it while the figure was taken
 * @headroom: bound / tail
 */
void wl_press_learn(wl_press_t *press, wl_press_level_t *level, unsigned int serving,
		    const wl_press_shares_t *window, double headroom, uint64_t now_ns)
{
	double seen = clamp(headroom, FIGURE_LEAST, FIGURE_MOST);
	double pressed = wl_press_sum(press, serving, window);
	double spread = figure_variance(seen);
	double gain;
	double surprise;

	pairs_drift(press, serving, window, now_ns);
	if (seen > press->best[serving])
		press->best[serving] = seen;
	if (level->at_ns == 0) {
		*level = (wl_press_level_t){clamp(seen + pressed, 0, press->best[serving]),
					    LEVEL_VARIANCE, now_ns};
		return;
	}
	level->variance += LEVEL_DRIFT * (double)(now_ns - level->at_ns) / WL_NS_PER_S;
	level->at_ns = now_ns;
	spread += level->variance;
	for (unsigned int i = 0; i < WL_IMAGES_MOST; i++)
		spread += press->pairs[serving][i].variance * window->of[i] * window->of[i];

	surprise = seen - (level->headroom - pressed);
	gain = level->variance / spread;
	level->headroom = clamp(level->headroom + gain * surprise, 0, press->best[serving]);
	level->variance *= 1 - gain;
	for (unsigned int i = 0; i < WL_IMAGES_MOST; i++) {
		wl_press_pair_t *pair = &press->pairs[serving][i];

		gain = pair->variance * window->of[i] / spread;
		pair->weight = clamp(pair->weight - gain * surprise, 0, WEIGHT_MOST);
		pair->variance *= 1 - gain * window->of[i];
	}
}
