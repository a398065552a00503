#include "tracking/table_completeness.hpp"

namespace lagoon {

namespace {

std::uint64_t count_milliseconds(duration span)
{
    return static_cast<std::uint64_t>(span / std::chrono::milliseconds{1});
}

bool is_close(std::uint64_t a, std::uint64_t b, duration limit)
{
    std::uint64_t const difference = a > b ? a - b : b - a;
    return difference <= count_milliseconds(limit);
}

}  // namespace

table_completeness::table_completeness(completeness_limits limits,
                                       bool is_first_start,
                                       std::uint64_t process_started_at,
                                       time_point now)
    : limits(limits), process_started_at(process_started_at), started_at(now),
      is_started_before_back_end(is_first_start)
{
}

// The clock of this VM must agree with the entry's, and must not have been set
// since the process started.
bool table_completeness::do_clocks_agree(published_start const& start,
                                         time_point now) const
{
    std::uint64_t const expected =
        this->process_started_at + count_milliseconds(now - this->started_at);
    duration const limit = this->limits.max_clock_difference;
    return is_close(start.sent_at, start.received_at, limit) &&
           is_close(expected, start.received_at, limit);
}

void table_completeness::record_published_start(published_start const& start,
                                                time_point now)
{
    if (start.back_end_started_at == 0 || this->process_started_at == 0)
        return;
    if (!this->do_clocks_agree(start, now)) {
        this->clocks_disagreed_at = now;
        return;
    }
    bool const may_trust =
        !this->clocks_disagreed_at ||
        now - *this->clocks_disagreed_at > this->limits.distrust_time;
    if (!may_trust || start.back_end_started_at > start.received_at)
        return;
    if (start.back_end_started_at +
            count_milliseconds(this->limits.min_restart_time) >=
        this->process_started_at)
        this->is_started_before_back_end = true;
}

void table_completeness::record_overflow(time_point now)
{
    this->overflowed_at = now;
}

bool table_completeness::is_complete(time_point now) const
{
    bool const is_overflow_recent =
        this->overflowed_at &&
        now - *this->overflowed_at <= this->limits.max_connection_age;
    if (is_overflow_recent)
        return false;
    return this->is_started_before_back_end ||
           now - this->started_at > this->limits.max_connection_age;
}

}  // namespace lagoon
