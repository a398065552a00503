// Applies the choice of data centres to the candidates of an entry: it collects
// what the entry knows of each target and orders rankings accordingly.
//
// Index
//   placement_site      where a connection was placed, and why
//   service_departure   how many connections of a service leave
//   home_preference     the choices of all services of an entry
#pragma once

#include "placement/data_centre_choice.hpp"
#include "placement/target_hints.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- placement_site -----------------------------------------------------

enum class placement_site : std::uint8_t
{
    not_chosen,  // the setting is off, or a search found an open connection
    home,
    home_busy,  // elsewhere: the targets queried at home had no free slot
    home_full,  // elsewhere: of the share that leaves
    home_empty  // elsewhere: home has no usable target
};

// ---- service_departure --------------------------------------------------

struct service_departure
{
    std::string service = {};
    home_condition condition = home_condition::has_room;
    double share = 0;
    auto operator<=>(service_departure const&) const = default;
};

// ---- home_preference ----------------------------------------------------

class home_preference
{
public:
    using ranking = std::vector<target_record const*>;
    using service_map = std::map<service_id, service_part>;

    home_preference(bool is_enabled, std::string home, departure_limits limits)
        : enabled(is_enabled), home(std::move(home)), limits(limits)
    {
    }

    bool is_enabled() const
    {
        return this->enabled;
    }

    bool is_due(time_point now) const
    {
        return this->enabled &&
               now - this->updated_at >= this->limits.update_interval;
    }

    // Returns the services whose condition has changed. `find_answer_time`
    // returns the mean answer time of a target, if known.
    template <class AnswerTimes>
    std::vector<service_departure>
    update(service_map const& services, catalog const& config,
           target_hints const& hints, AnswerTimes find_answer_time,
           time_point now)
    {
        std::vector<service_departure> changes;
        this->updated_at = now;
        std::erase_if(this->choices, [&](auto const& one) {
            return !services.contains(one.first) ||
                   !config.is_configured(one.first);
        });
        for (auto const& [id, part] : services) {
            if (!config.is_configured(id))
                continue;
            named_choice& one =
                this->choices
                    .try_emplace(id,
                                 named_choice{part.name,
                                              data_centre_choice{this->limits}})
                    .first->second;
            home_condition const before = one.choice.condition();
            one.choice.observe(
                this->home,
                observe_targets(part, config, hints, find_answer_time, now),
                now);
            if (one.choice.condition() != before)
                changes.push_back(make_departure(one));
        }
        return changes;
    }

    // Orders the targets for a new connection and keeps the first `limit`. At
    // the head of each side, targets not known to be busy come first.
    ranking order_candidates(service_id service, ranking ranked, flow_key flow,
                             duration objective, std::size_t limit,
                             target_hints const& hints, time_point now) const
    {
        if (!this->enabled)
            return ranked;
        data_centre_choice const& choice = this->find(service);
        bool const is_leaving = choice.leaves(flow, objective);
        ranked_by_data_centre split =
            split_by_data_centre(ranked, this->home, choice, flow, is_leaving);
        auto const put_free_first = [&hints, now](ranking& targets) {
            constexpr std::size_t head = 5;
            auto const end =
                targets.begin() +
                static_cast<std::ptrdiff_t>(std::min(head, targets.size()));
            std::stable_partition(
                targets.begin(), end, [&](target_record const* target) {
                    return !hints.is_reported_busy(target->address, now);
                });
        };
        put_free_first(split.home);
        put_free_first(split.elsewhere);
        ranked = merge_by_data_centre(split, is_leaving);
        ranked.resize(std::min(limit, ranked.size()));
        return ranked;
    }

    // Orders the targets in the search for an owner: the first `head` are those
    // to which an entry in this data centre offers a new connection, the others
    // follow in the order of the ranking. None is lost.
    ranking order_owners(service_id service, ranking const& ranked,
                         flow_key flow, std::size_t head) const
    {
        if (!this->enabled)
            return ranked;
        data_centre_choice const& choice = this->find(service);
        // The objective of the connection's service is not known here; a
        // connection that leaves for a small margin is searched there first.
        bool const is_leaving = choice.leaves(flow, duration{});
        ranking ordered = merge_by_data_centre(
            split_by_data_centre(ranked, this->home, choice, flow, is_leaving),
            is_leaving);
        ordered.resize(std::min(head, ordered.size()));
        std::size_t const preferred = ordered.size();
        for (target_record const* target : ranked)
            if (std::find(ordered.begin(),
                          ordered.begin() +
                              static_cast<std::ptrdiff_t>(preferred),
                          target) ==
                ordered.begin() + static_cast<std::ptrdiff_t>(preferred))
                ordered.push_back(target);
        return ordered;
    }

    placement_site find_site(service_part const& part, peer_address target,
                             flow_key flow, duration objective) const
    {
        if (!this->enabled)
            return placement_site::not_chosen;
        data_centre_choice const& choice = this->find(part.id);
        bool const is_home = std::any_of(
            part.targets.begin(), part.targets.end(), [&](auto const& record) {
                return record.address == target &&
                       record.data_centre == this->home;
            });
        if (is_home)
            return placement_site::home;
        if (choice.condition() == home_condition::empty)
            return placement_site::home_empty;
        return choice.leaves(flow, objective) ? placement_site::home_full
                                              : placement_site::home_busy;
    }

    std::vector<service_departure> list_departures() const
    {
        std::vector<service_departure> departures;
        for (auto const& [id, one] : this->choices)
            departures.push_back(make_departure(one));
        return departures;
    }

private:
    struct named_choice
    {
        std::string service = {};
        data_centre_choice choice;
    };

    static service_departure make_departure(named_choice const& one)
    {
        return {one.service, one.choice.condition(), one.choice.share()};
    }

    // Until the first update, nothing leaves a data centre that has targets.
    data_centre_choice const& find(service_id service) const
    {
        auto const found = this->choices.find(service);
        return found == this->choices.end() ? this->initial
                                            : found->second.choice;
    }

    template <class AnswerTimes>
    static std::vector<target_observation>
    observe_targets(service_part const& part, catalog const& config,
                    target_hints const& hints, AnswerTimes find_answer_time,
                    time_point now)
    {
        std::vector<target_observation> observations;
        for (target_record const& target : part.targets) {
            bool const is_usable = target.state != target_state::leaving &&
                                   !config.is_evacuated(target.data_centre) &&
                                   !hints.is_avoided(target.address, now);
            if (!is_usable)
                continue;
            std::optional<target_hint> const hint = hints.find(target.address);
            bool const is_reported = hint && hint->slots > 0;
            observations.push_back(
                {target.data_centre, target.slots,
                 target.state == target_state::joining,
                 is_reported ? std::optional{hint->mean_load} : std::nullopt,
                 is_reported ? now - hint->reported_at : duration{},
                 find_answer_time(target.address)});
        }
        return observations;
    }

    bool enabled = false;
    std::string home = {};
    departure_limits limits = {};
    std::map<service_id, named_choice> choices = {};
    data_centre_choice initial = data_centre_choice{};
    time_point updated_at = {};
};

}  // namespace lagoon
