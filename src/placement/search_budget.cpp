#include "placement/search_budget.hpp"

#include <algorithm>

namespace lagoon {

search_budget::search_budget(search_budget_limits limits)
    : limits(limits), queries(limits.max_queries)
{
}

void search_budget::record_delivery()
{
    this->queries = std::min(this->queries + this->limits.queries_per_delivery,
                             this->limits.max_queries);
}

bool search_budget::try_spend(time_point now)
{
    std::chrono::duration<double> const elapsed = now - this->refilled_at;
    this->queries =
        std::min(this->queries + std::max(elapsed.count(), 0.0) *
                                     this->limits.queries_per_second,
                 this->limits.max_queries);
    this->refilled_at = now;
    if (this->queries < 1)
        return false;
    this->queries -= 1;
    return true;
}

}  // namespace lagoon
