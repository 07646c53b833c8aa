/* wisteriactl: the operators' client. */

#include <stdio.h>

int main(void)
{
	puts("wisteriactl " WL_VERSION);
	return 0;
}
