// Limits the queries that an entry spends on connections whose owner is hard to
// find, in proportion to the packets that it delivers. After a power failure
// thousands of connections have no owner any more; without a limit the searches
// for them take the processor and the link from the connections that work.
//
// Index
//   search_budget_limits   rates
//   search_budget          the aggregate: a token bucket
#pragma once

#include "base/values.hpp"

namespace lagoon {

// ---- search_budget_limits -----------------------------------------------

struct search_budget_limits
{
    double queries_per_delivery = 0.5;  // earned by each delivered packet
    double queries_per_second = 50;     // earned by an idle entry
    double max_queries = 400;           // saved up; also at the start
    auto operator<=>(search_budget_limits const&) const = default;
};

// ---- search_budget ------------------------------------------------------

class search_budget
{
public:
    explicit search_budget(search_budget_limits limits);

    // Adds what a packet sent to its owner earns.
    void record_delivery();

    // Spends one query. Returns false if the budget is exhausted.
    bool try_spend(time_point now);

private:
    search_budget_limits limits;
    double queries;  // that may be sent now
    time_point refilled_at = {};
};

}  // namespace lagoon
