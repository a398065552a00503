#include "caller/session.hpp"

#include <algorithm>

namespace lagoon {

retry_budget::retry_budget(retry_allowance allowance)
    : allowance(allowance), saved(allowance.burst)
{
}

void retry_budget::earn()
{
    this->saved =
        std::min(this->allowance.burst, this->saved + this->allowance.share);
}

bool retry_budget::spend()
{
    if (this->saved < 1.0)
        return false;
    this->saved -= 1.0;
    return true;
}

}  // namespace lagoon
