#include "caller/session.hpp"

#include <algorithm>

namespace lagoon {

retry_budget::retry_budget(retry_budget_settings settings)
    : settings(settings), balance(settings.max_balance)
{
}

void retry_budget::deposit()
{
    this->balance =
        std::min(this->settings.max_balance,
                 this->balance + this->settings.deposit_per_request);
}

bool retry_budget::try_withdraw()
{
    if (this->balance < 1.0)
        return false;
    this->balance -= 1.0;
    return true;
}

}  // namespace lagoon
