/* wisterialeadd: the daemon. */

#include <stdio.h>

int main(void)
{
	puts("wisterialeadd " WL_VERSION);
	return 0;
}
