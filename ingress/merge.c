#include "merge.h"

#include <stdlib.h>
#include <string.h>

/* Moves a record down to its place in a min-heap of pointers to records. */
static void sift_down(const char **heap, size_t count, size_t index)
{
	for (;;) {
		size_t child = 2 * index + 1;
		const char *record;

		if (child >= count)
			return;
		if (child + 1 < count && memcmp(heap[child + 1], heap[child], PD_RECORD_BYTES) < 0)
			child++;
		if (memcmp(heap[index], heap[child], PD_RECORD_BYTES) <= 0)
			return;
		record = heap[index];
		heap[index] = heap[child];
		heap[child] = record;
		index = child;
	}
}

static int compare_descending(const void *a, const void *b)
{
	return memcmp(*(const char *const *)b, *(const char *const *)a, PD_RECORD_BYTES);
}

/* Collects pointers to the greatest records in @heap, which becomes a min-heap once it holds @top_k
 * of them; returns their number. */
static size_t collect_top(const struct pd_str *parts, size_t count, size_t top_k, const char **heap)
{
	size_t used = 0;

	for (size_t i = 0; i < count; i++) {
		size_t records = parts[i].len / PD_RECORD_BYTES;

		for (size_t r = 0; r < records; r++) {
			const char *record = parts[i].data + r * PD_RECORD_BYTES;

			if (used < top_k) {
				heap[used++] = record;
				if (used == top_k)
					for (size_t index = used / 2; index-- > 0;)
						sift_down(heap, used, index);
			} else if (memcmp(record, heap[0], PD_RECORD_BYTES) > 0) {
				heap[0] = record;
				sift_down(heap, used, 0);
			}
		}
	}
	return used;
}

bool pd_merge_top(const struct pd_str *parts, size_t count, size_t top_k, struct pd_buf *out)
{
	const char **heap;
	size_t used;

	if (!top_k)
		return true;
	heap = malloc(top_k * sizeof(*heap));
	if (!heap)
		return false;
	used = collect_top(parts, count, top_k, heap);
	qsort(heap, used, sizeof(*heap), compare_descending);
	for (size_t i = 0; i < used; i++)
		pd_buf_append(out, heap[i], PD_RECORD_BYTES);
	free(heap);
	return !out->failed;
}
