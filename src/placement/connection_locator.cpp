#include "placement/connection_locator.hpp"

#include <algorithm>
#include <set>

namespace lagoon {

namespace {

// Denials of earlier rounds are asked for again.
constexpr std::size_t max_answered_rounds = 16;

// Acknowledgements of two subsequent packets of a connection are closer than
// this, as targets assume too. Another connection with the same endpoints starts
// its sequence elsewhere.
constexpr std::uint32_t sequence_window = 76'800;  // bytes

bool is_same_connection(connection_packet const& earlier,
                        connection_packet const& later)
{
    std::uint32_t const ahead = later.acknowledgement - earlier.acknowledgement;
    std::uint32_t const behind =
        earlier.acknowledgement - later.acknowledgement;
    return std::min(ahead, behind) <= sequence_window;
}

bool contains_all(std::vector<located_target> const& all,
                  std::vector<located_target> const& wanted)
{
    return std::includes(all.begin(), all.end(), wanted.begin(), wanted.end());
}

}  // namespace

connection_locator::connection_locator(locator_limits limits) : limits(limits)
{
}

// ---- connections --------------------------------------------------------

void connection_locator::add(connection_packet const& packet, time_point now)
{
    auto const found = this->pending.find(packet.endpoints);
    bool const is_same = found != this->pending.end() &&
                         is_same_connection(found->second.packet, packet);
    if (is_same) {
        found->second.packet = packet;
        found->second.last_packet_at = now;
        return;
    }
    this->erase(packet.endpoints);
    if (this->pending.size() >= this->limits.max_connections)
        return;
    this->pending.emplace(packet.endpoints,
                          pending_connection{packet, now, now});
    this->order.push_back(packet.endpoints);
}

void connection_locator::erase(connection_endpoints const& endpoints)
{
    if (this->pending.erase(endpoints) > 0)
        std::erase(this->order, endpoints);
}

bool connection_locator::is_pending(connection_endpoints const& endpoints) const
{
    return this->pending.contains(endpoints);
}

bool connection_locator::needs_list_after(time_point as_of) const
{
    return std::any_of(
        this->pending.begin(), this->pending.end(), [as_of](auto const& one) {
            return one.second.denied_in != 0 && one.second.arrived_at > as_of;
        });
}

bool connection_locator::is_conclusive(time_point now) const
{
    return this->concluded_at &&
           now - *this->concluded_at <= this->limits.conclusive_lifetime;
}

std::size_t connection_locator::size() const
{
    return this->pending.size();
}

std::optional<time_point> connection_locator::next_due() const
{
    if (this->pending.empty())
        return std::nullopt;
    if (this->round)
        return this->round->started_at + this->round_timeout();
    return this->next_round_at;
}

void connection_locator::drop_silent(time_point now)
{
    std::erase_if(this->pending, [this, now](auto const& one) {
        return now - one.second.last_packet_at > this->limits.max_silence;
    });
    std::erase_if(this->order, [this](connection_endpoints const& one) {
        return !this->pending.contains(one);
    });
}

// ---- rounds -------------------------------------------------------------

bool connection_locator::on_reply(peer_address from, locate_reply const& reply)
{
    if (!this->round)
        return false;
    auto const asked = this->round->asked.find(reply.query);
    bool const is_valid =
        asked != this->round->asked.end() &&
        asked->second.target.address == from &&
        asked->second.verdicts.empty() &&
        reply.verdicts.size() == this->round->connections.size();
    if (!is_valid)
        return false;
    asked->second.verdicts = reply.verdicts;
    ++this->round->answer_count;
    if (!asked->second.is_removed)
        --this->round->missing_count;
    return this->round->answer_count == this->round->asked.size();
}

bool connection_locator::is_round_over(time_point now) const
{
    return this->round->answer_count == this->round->asked.size() ||
           now - this->round->started_at >= this->round_timeout();
}

duration connection_locator::round_timeout() const
{
    return this->round->missing_count == 0 ? this->limits.removed_answer_timeout
                                           : this->limits.answer_timeout;
}

locator_outcomes connection_locator::advance(located_targets const& list,
                                             time_point now)
{
    locator_outcomes outcomes;
    if (this->round && this->is_round_over(now))
        this->end_round(outcomes, list, now);
    if (list.as_of)
        this->collect_lost(outcomes, list);
    this->drop_silent(now);
    if (!this->round && now >= this->next_round_at)
        this->start_round(outcomes, list, now);
    return outcomes;
}

void connection_locator::start_round(locator_outcomes& outcomes,
                                     located_targets const& list,
                                     time_point now)
{
    bool const can_ask = !list.targets.empty() &&
                         list.targets.size() <= this->limits.max_targets;
    // Without a whole list, searches along the ranking find owners at less
    // cost.
    if (!can_ask || !list.as_of || this->order.empty()) {
        this->next_round_at = now + this->limits.retry_interval;
        return;
    }
    this->round = locate_round{++this->last_round, now};
    std::vector<located_connection> connections;
    while (!this->order.empty() &&
           connections.size() < max_located_connections) {
        pending_connection& one = this->pending.at(this->order.front());
        connections.push_back(
            {one.packet.endpoints, one.packet.acknowledgement});
        this->round->connections.push_back(one.packet.endpoints);
        this->order.pop_front();
    }
    auto const ask = [&](located_target const& target, bool is_removed) {
        query_id const query{++this->last_query};
        this->round->asked.emplace(query, asked_target{target, is_removed});
        outcomes.push_back(send_locate_query{
            target.address,
            {query, target.service, target.started_at_ms, 0, connections}});
    };
    for (located_target const& target : list.targets)
        ask(target, false);
    for (located_target const& target : list.removed)
        ask(target, true);
    this->round->missing_count = list.targets.size();
    this->next_round_at =
        now + this->limits.time_per_target *
                  static_cast<std::int64_t>(list.targets.size());
}

// Connections without a decision are asked about again, after the others.
void connection_locator::end_round(locator_outcomes& outcomes,
                                   located_targets const& list, time_point now)
{
    std::vector<located_target> answering;
    for (auto const& [query, asked] : this->round->asked)
        if (!asked.verdicts.empty())
            answering.push_back(asked.target);
    std::sort(answering.begin(), answering.end());
    // A target that was asked and has left the list need not have answered.
    bool const is_list_covered = contains_all(answering, list.targets);
    if (is_list_covered)
        this->answered.emplace(this->round->number, answering);
    if (this->answered.size() > max_answered_rounds)
        this->answered.erase(this->answered.begin());
    this->concluded_at = is_list_covered ? std::optional{now} : std::nullopt;
    for (std::size_t i = 0; i < this->round->connections.size(); ++i)
        this->judge(outcomes, this->round->connections[i], i, is_list_covered);
    this->round.reset();
}

void connection_locator::judge(locator_outcomes& outcomes,
                               connection_endpoints const& endpoints,
                               std::size_t position, bool is_list_covered)
{
    auto const found = this->pending.find(endpoints);
    // Otherwise the endpoints are used by a connection that the targets were
    // not asked about.
    bool const is_asked = found != this->pending.end() &&
                          found->second.arrived_at <= this->round->started_at;
    if (!is_asked)
        return;
    std::vector<located_target> unsure;
    std::set<peer_address> denying;
    for (auto const& [query, asked] : this->round->asked) {
        if (asked.verdicts.empty())
            continue;
        locate_verdict const verdict = asked.verdicts[position];
        if (verdict == locate_verdict::held) {
            outcomes.push_back(
                connection_held{found->second.packet, asked.target});
            this->pending.erase(found);
            return;
        }
        if (verdict == locate_verdict::unsure)
            unsure.push_back(asked.target);
        else
            denying.insert(asked.target.address);
    }
    // Several services can be published at one address. The process there knows
    // about its own and is unsure about the others.
    std::erase_if(unsure, [&denying](located_target const& target) {
        return denying.contains(target.address);
    });
    if (unsure.size() > this->limits.max_trials) {
        this->pending.erase(found);
        this->next_round_at =
            this->round->started_at + this->limits.unsure_pause;
        this->concluded_at.reset();
        return;
    }
    this->order.push_back(endpoints);
    if (!is_list_covered)
        return;
    if (unsure.empty())
        found->second.denied_in = this->round->number;
    for (located_target const& target : unsure)
        outcomes.push_back(try_at_target{found->second.packet, target});
}

// A denial stays valid: a connection that was open when its packet arrived and
// that no back end held after that can't be open again. The list may have grown
// since the round, or may be confirmed only now.
void connection_locator::collect_lost(locator_outcomes& outcomes,
                                      located_targets const& list)
{
    std::set<std::uint64_t> covering;
    for (auto const& [number, targets] : this->answered)
        if (contains_all(targets, list.targets))
            covering.insert(number);
    std::erase_if(this->pending, [&](auto const& one) {
        pending_connection const& connection = one.second;
        bool const is_lost = covering.contains(connection.denied_in) &&
                             connection.arrived_at <= *list.as_of;
        if (is_lost)
            outcomes.push_back(
                connection_lost{connection.packet, connection.arrived_at});
        return is_lost;
    });
}

}  // namespace lagoon
