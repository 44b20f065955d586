#include "budget.h"

void pd_budget_init(struct pd_budget *budget, double ratio, double size)
{
	*budget = (struct pd_budget){.tokens = size, .size = size, .ratio = ratio};
}

void pd_budget_resize(struct pd_budget *budget, double ratio, double size)
{
	if (size > budget->size)
		budget->tokens += size - budget->size;
	budget->ratio = ratio;
	budget->size = size;
	if (budget->tokens > size)
		budget->tokens = size;
}

void pd_budget_request(struct pd_budget *budget)
{
	budget->tokens += budget->ratio;
	if (budget->tokens > budget->size)
		budget->tokens = budget->size;
}

bool pd_budget_take(struct pd_budget *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}
