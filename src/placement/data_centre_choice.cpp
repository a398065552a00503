#include "placement/data_centre_choice.hpp"

#include "flow/ranking.hpp"

#include <algorithm>
#include <cmath>

namespace lagoon {

namespace {

// An entry asks for a free slot at up to four targets before a connection is
// queued, so a connection cannot use the free slots of all.
constexpr double queried_targets = 4;

// The gain of leaving while home has no usable target.
constexpr duration lost_home_gain = std::chrono::seconds{1};

// Keeps the hash that decides who leaves independent of the ranking.
constexpr std::uint64_t departure_seed = 0x64657061727475ULL;

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

double load_per_slot(data_centre_load const& one)
{
    return one.known_slots > 0 ? one.load / one.known_slots : 0;
}

double hash_fraction(flow_key flow)
{
    return static_cast<double>(hash_pair(flow.value, departure_seed) >> 11U) /
           9007199254740992.0;
}

}  // namespace

// ---- predict_wait -------------------------------------------------------

duration predict_wait(double load_per_slot, double slots, duration running_time)
{
    constexpr double max_utilization = 0.98;
    double const count = std::max(slots, 1.0);
    double const used = std::clamp(load_per_slot, 0.0, max_utilization);
    double const waiting =
        std::pow(used, std::sqrt(2 * (count + 1)) - 1) / (count * (1 - used));
    double const excess = std::max(0.0, load_per_slot - 1);
    return to_duration(to_seconds(running_time) * (waiting + excess));
}

// ---- data_centre_choice -------------------------------------------------

data_centre_choice::data_centre_choice(departure_limits limits) : limits(limits)
{
}

std::vector<data_centre_load>
data_centre_choice::sum_up(std::vector<target_observation> const& targets) const
{
    std::vector<data_centre_load> sums;
    for (target_observation const& target : targets) {
        auto found = std::find_if(
            sums.begin(), sums.end(), [&target](data_centre_load const& one) {
                return one.data_centre == target.data_centre;
            });
        if (found == sums.end())
            found = sums.insert(found, {.data_centre = target.data_centre});
        double const slots =
            target.slots * (target.is_joining ? joining_weight_factor : 1.0);
        found->slots += slots;
        ++found->target_count;
        if (target.answer_time)
            found->answer_time =
                std::min(found->answer_time.value_or(*target.answer_time),
                         *target.answer_time);
        if (!target.load || target.slots == 0 ||
            target.report_age > 10 * this->limits.report_half_life)
            continue;
        double const weight =
            std::exp2(-to_seconds(target.report_age) /
                      to_seconds(this->limits.report_half_life));
        found->known_slots += slots;
        found->load += weight * *target.load;
    }
    return sums;
}

data_centre_load const*
data_centre_choice::find(std::string const& data_centre) const
{
    auto const found = std::find_if(this->loads.begin(), this->loads.end(),
                                    [&](data_centre_load const& one) {
                                        return one.data_centre == data_centre;
                                    });
    return found == this->loads.end() ? nullptr : &*found;
}

duration data_centre_choice::wait_at(data_centre_load const& one) const
{
    double const mean_slots = one.slots / std::max(one.target_count, 1U);
    return predict_wait(load_per_slot(one),
                        std::min(one.slots, queried_targets * mean_slots),
                        this->limits.running_time);
}

// Returns by how much a connection's wait is shorter in the other data centre,
// after the longer way there. Negative if it is longer.
duration data_centre_choice::gain_of(data_centre_load const& home,
                                     data_centre_load const& other) const
{
    duration const detour =
        home.answer_time && other.answer_time
            ? std::max(duration{}, *other.answer_time - *home.answer_time)
            : duration{};
    return this->wait_at(home) - this->wait_at(other) - detour;
}

// Returns a share that is higher in proportion to what home lacks, or lower in
// proportion to its room.
double data_centre_choice::required_share(data_centre_load const& home,
                                          duration elapsed) const
{
    double const load = load_per_slot(home);
    double const full = this->limits.full_load;
    double const lacking = (load - full) / std::max(load, full);
    return std::clamp(this->current_share +
                          lacking * this->limits.correction_per_second *
                              to_seconds(elapsed),
                      0.0, this->limits.max_share);
}

void data_centre_choice::update_gain(data_centre_load const& home,
                                     duration elapsed)
{
    duration best{};
    for (data_centre_load const& one : this->loads)
        if (one.data_centre != home.data_centre)
            best = std::max(best, this->gain_of(home, one));
    double const remaining = std::exp2(
        -to_seconds(elapsed) / to_seconds(this->limits.report_half_life));
    this->gain =
        std::max(best, to_duration(to_seconds(this->gain) * remaining));
    double required = this->required_share(home, elapsed);
    // Where the others are as full, leaving gains nothing.
    if (best <= this->limits.min_margin)
        required = std::min(required, this->current_share);
    if (best <= duration{})
        required = 0;
    this->move_share(required, elapsed);
}

void data_centre_choice::move_share(double required, duration elapsed)
{
    double const rise = this->limits.rise_per_second * to_seconds(elapsed);
    double const fall = (this->is_returning ? this->limits.return_per_second
                                            : this->limits.fall_per_second) *
                        to_seconds(elapsed);
    this->current_share = std::clamp(required, this->current_share - fall,
                                     this->current_share + rise);
    if (this->current_share <= 0 || required >= this->current_share)
        this->is_returning = false;
}

void data_centre_choice::observe(std::string const& home,
                                 std::vector<target_observation> const& targets,
                                 time_point now)
{
    // A longer gap counts as one update late, so that one report after a pause
    // cannot move the share at once.
    constexpr int max_intervals = 4;
    if (this->updated_at &&
        now - *this->updated_at < this->limits.update_interval)
        return;
    duration const elapsed =
        this->updated_at
            ? std::min(now - *this->updated_at,
                       max_intervals * this->limits.update_interval)
            : this->limits.update_interval;
    this->updated_at = now;
    // After a total loss nothing is known of any data centre.
    if (targets.empty())
        return;
    this->home = home;
    this->loads = this->sum_up(targets);
    data_centre_load const* own = this->find(home);
    if (own == nullptr) {
        // The share applies once home's targets return. After a short absence
        // it is small; after a long one their back ends may be cold.
        this->move_share(this->limits.max_share, elapsed);
        this->is_returning = true;
        this->gain = lost_home_gain;
        this->current = home_condition::empty;
        return;
    }
    this->update_gain(*own, elapsed);
    this->current = this->current_share > 0 ? home_condition::full
                                            : home_condition::has_room;
}

home_condition data_centre_choice::condition() const
{
    return this->current;
}

double data_centre_choice::share() const
{
    return this->current == home_condition::empty ? 1.0 : this->current_share;
}

bool data_centre_choice::leaves(flow_key flow, duration objective) const
{
    if (this->current == home_condition::empty)
        return true;
    duration const margin = std::max(
        this->limits.min_margin,
        to_duration(to_seconds(objective) * this->limits.margin_per_objective));
    return this->gain > margin && hash_fraction(flow) < this->current_share;
}

double data_centre_choice::room_factor(std::string const& data_centre) const
{
    data_centre_load const* const one = this->find(data_centre);
    if (one == nullptr)
        return this->limits.min_room_share;
    double const room =
        std::max(1 - load_per_slot(*one), this->limits.min_room_share);
    data_centre_load const* const own = this->find(this->home);
    bool const is_better =
        own == nullptr || this->gain_of(*own, *one) > duration{};
    return is_better ? room : this->limits.min_room_share * room;
}

// ---- split_by_data_centre -----------------------------------------------

ranked_by_data_centre
split_by_data_centre(std::vector<target_record const*> const& ranked,
                     std::string const& home, data_centre_choice const& choice,
                     flow_key flow, bool is_leaving)
{
    ranked_by_data_centre split;
    std::vector<detail::scored_target> scored;
    for (target_record const* target : ranked) {
        if (target->data_centre == home)
            split.home.push_back(target);
        else if (!is_leaving)
            split.elsewhere.push_back(target);
        else
            scored.push_back({detail::compute_score(*target, flow) *
                                  choice.room_factor(target->data_centre),
                              target});
    }
    if (is_leaving)
        split.elsewhere = detail::select_best(scored, scored.size());
    return split;
}

std::vector<target_record const*>
merge_by_data_centre(ranked_by_data_centre const& ranked, bool is_leaving)
{
    constexpr std::size_t head = 2;
    std::vector<target_record const*> const& preferred =
        is_leaving ? ranked.elsewhere : ranked.home;
    std::vector<target_record const*> const& others =
        is_leaving ? ranked.home : ranked.elsewhere;
    std::vector<target_record const*> merged;
    merged.reserve(preferred.size() + others.size());
    std::size_t next = std::min(head, preferred.size());
    std::size_t other = std::min(head, others.size());
    merged.assign(preferred.begin(),
                  preferred.begin() + static_cast<std::ptrdiff_t>(next));
    merged.insert(merged.end(), others.begin(),
                  others.begin() + static_cast<std::ptrdiff_t>(other));
    for (; next < preferred.size() || other < others.size(); ++next, ++other) {
        if (next < preferred.size())
            merged.push_back(preferred[next]);
        if (other < others.size())
            merged.push_back(others[other]);
    }
    return merged;
}

}  // namespace lagoon
