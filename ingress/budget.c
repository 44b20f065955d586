#include "budget.h"

void pd_budget_init(struct pd_budget *budget, double ratio, double size)
{
	*budget = (struct pd_budget){.tokens = size, .capacity = size, .ratio = ratio};
}

void pd_budget_resize(struct pd_budget *budget, double ratio, double size)
{
	if (size > budget->capacity)
		budget->tokens += size - budget->capacity;
	budget->ratio = ratio;
	budget->capacity = size;
	if (budget->tokens > size)
		budget->tokens = size;
}

void pd_budget_count_request(struct pd_budget *budget)
{
	budget->tokens += budget->ratio;
	if (budget->tokens > budget->capacity)
		budget->tokens = budget->capacity;
}

bool pd_budget_consume(struct pd_budget *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}
