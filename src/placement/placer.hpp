// Finds a target for a packet whose owner is not cached: a target with a free
// slot for an opening packet, the owner of the connection for any other packet.
// Targets are queried one after the other. A query times out after a wait that
// follows the target's answer times, before the caller retransmits its packet.
//
// Index
//   placement_request   a packet and its candidates
//   placement_outcome   the next query, the target found, or a failure
//   placer              the aggregate, over a placement policy
#pragma once

#include "catalog/catalog.hpp"
#include "placement/answer_times.hpp"
#include "placement/policies.hpp"
#include "placement/search_budget.hpp"
#include "protocol/relay.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lagoon {

// ---- placement_request --------------------------------------------------

// Progress of a search for an owner, kept when the search is resumed.
struct search_progress
{
    std::uint32_t query_count = 0;
    std::uint32_t trial_count = 0;          // back ends tried
    std::uint32_t earlier_trial_count = 0;  // of these, with earlier packets
    bool has_definite_denial = false;       // a target replied not_owner
    bool has_silent_target = false;
    time_point started_at = {};
    auto operator<=>(search_progress const&) const = default;
};

struct placement_request
{
    connection_packet packet = {};
    request_attributes attributes = {};
    std::vector<placement_candidate> candidates = {};  // best first
    bool is_retransmission = false;  // the first candidate has the packet
    time_point arrived_at = {};
    time_point requested_at = {};  // when the caller first sent the request
    search_progress progress = {};
    auto operator<=>(placement_request const&) const = default;
};

// ---- placement_outcome --------------------------------------------------

struct query_target
{
    peer_address target = {};
    packet_offer offer = {};
    auto operator<=>(query_target const&) const = default;
};

struct owner_found
{
    connection_packet packet = {};
    service_id service = {};
    peer_address target = {};
    offer_verdict verdict = offer_verdict::taken;
    std::uint32_t load = 0;           // reported by the target
    std::uint32_t query_count = 0;    // queries sent
    std::uint32_t timeout_count = 0;  // of these
    time_point arrived_at = {};
    time_point requested_at = {};
    std::vector<std::string> pending_packets = {};    // in order of arrival
    std::vector<placement_candidate> remaining = {};  // not queried yet
    search_progress progress = {};
    auto operator<=>(owner_found const&) const = default;
};

struct placement_failed
{
    connection_packet packet = {};
    bool is_refused = false;  // a target cannot serve the request in time
    std::uint32_t query_count = 0;
    std::uint32_t timeout_count = 0;  // of these
    time_point arrived_at = {};
    time_point requested_at = {};

    // Of a search that was stopped: the targets not queried yet, then those that
    // did not answer.
    std::vector<placement_candidate> remaining = {};
    search_progress progress = {};
    auto operator<=>(placement_failed const&) const = default;
};

using placement_outcome =
    std::variant<query_target, owner_found, placement_failed>;
using placement_outcomes = std::vector<placement_outcome>;

// ---- placer -------------------------------------------------------------

struct placer_limits
{
    std::size_t max_placements = 4096;    // concurrent placements
    std::size_t max_pending_packets = 8;  // kept for each placement

    // Ends of the first two batches of a search, as positions in its list.
    // Owners are nearly always in the first batch. The unsure targets of a
    // batch try their back ends before the next batch is queried. If every
    // target of the first two is unsure, all have just started, and so have the
    // others: these are then told to try their back ends without being queried
    // first.
    std::size_t first_batch_end = 4;
    std::size_t second_batch_end = default_preferred_count;

    // Each trial costs a back end a packet, and thousands of connections can
    // be lost at once: trials with one packet of the caller are limited to
    // twice the preferred targets.
    std::uint32_t max_trials = 2 * default_preferred_count;

    // A search that meets this many silent targets stops until the caller
    // sends again. More are rarely dead at once: the entry's own link or
    // processor is overloaded, and further queries would add to that.
    std::uint32_t max_timeouts = 3;

    // Queries of a search that are not charged to the budget. They find nearly
    // every owner.
    std::uint32_t free_queries = default_preferred_count;
    search_budget_limits budget = {};

    answer_wait_limits answer_wait = {};

    // How long a query is remembered after it timed out. An answer that arrives
    // within this time still tells who owns a connection.
    duration late_answer_lifetime = std::chrono::seconds{1};

    auto operator<=>(placer_limits const&) const = default;
};

template <placement_policy P> class placer
{
public:
    explicit placer(placer_limits limits, P policy = {});

    // Starts to place a packet. Fails at once without candidates or when too
    // many packets are being placed.
    placement_outcomes start(placement_request request, target_hints& hints,
                             time_point now);

    // Whether a packet of the connection is being placed. Later packets are
    // queued until the outcome is known.
    bool is_placing(connection_endpoints const& endpoints) const;
    void queue_packet(connection_endpoints const& endpoints,
                      std::string const& bytes);

    placement_outcomes on_answer(offer_reply const& answer, target_hints& hints,
                                 time_point now);

    // Handles a packet of a connection that is being placed and that the back
    // end of a target has returned. It may overtake the target's answer, which
    // is ignored then.
    placement_outcomes on_returned(connection_endpoints const& endpoints,
                                   peer_address from, time_point now);

    // Records a packet that was sent to its owner; see search_budget.
    void record_delivery();

    // Handles queries that have timed out.
    placement_outcomes tick(target_hints& hints, time_point now);

    // When the next query times out.
    std::optional<time_point> next_due() const;

    std::size_t size() const;

    // The mean time that the target takes to answer queries, if known.
    std::optional<duration> find_answer_time(peer_address target) const;

private:
    enum class candidate_state : std::uint8_t
    {
        not_queried,
        busy,     // accepts only as a last resort
        silent,   // has not answered
        excluded  // queried without success
    };

    struct candidate_record
    {
        placement_candidate target = {};
        candidate_state state = candidate_state::not_queried;
        std::uint32_t load = 0;
        auto operator<=>(candidate_record const&) const = default;
    };

    struct placement_state
    {
        placement_request request = {};
        std::vector<candidate_record> candidates = {};
        std::size_t current = 0;  // the candidate last queried
        bool is_last_resort = false;
        query_id query = {};
        std::uint32_t query_count = 0;
        std::uint32_t busy_count = 0;  // busy replies
        std::uint32_t timeout_count = 0;
        search_progress progress = {};
        std::vector<std::string> pending_packets = {};
        auto operator<=>(placement_state const&) const = default;
    };

    struct query_choice
    {
        std::size_t index = 0;  // of the candidate to query
        bool is_last_resort = false;
        auto operator<=>(query_choice const&) const = default;
    };

    struct sent_query
    {
        connection_endpoints endpoints = {};
        peer_address target = {};
        std::size_t index = 0;  // of the candidate
        bool is_last_resort = false;
        time_point sent_at = {};
        auto operator<=>(sent_query const&) const = default;
    };

    struct query_deadline
    {
        time_point at = {};
        query_id query = {};
        connection_endpoints endpoints = {};
        auto operator<=>(query_deadline const&) const = default;
    };

    placement_outcome handle_answer(placement_state& record,
                                    offer_reply const& answer,
                                    target_hints& hints, time_point now);
    placement_outcomes handle_late_answer(placement_state& record,
                                          sent_query const& query,
                                          offer_reply const& answer);
    placement_outcome query_next(placement_state& record, time_point now);
    bool may_query(placement_state const& record, time_point now);
    std::optional<query_choice>
    choose_next(placement_state const& record) const;
    std::optional<query_choice>
    choose_for_opening(placement_state const& record) const;
    std::optional<query_choice>
    choose_for_search(placement_state const& record) const;
    std::optional<query_choice> choose_in_range(placement_state const& record,
                                                std::size_t from,
                                                std::size_t to,
                                                bool may_query) const;
    std::optional<std::size_t>
    find_least_loaded(placement_state const& record) const;
    std::vector<placement_candidate>
    list_remaining_candidates(placement_state const& record) const;
    bool may_try_back_end(placement_state const& record) const;
    bool has_candidate(placement_state const& record,
                       candidate_state state) const;
    placement_outcome make_query(placement_state& record, std::size_t index,
                                 bool is_last_resort, time_point now);
    placement_failed make_failed(placement_state const& record,
                                 bool is_refused);
    placement_outcome make_found(placement_state const& record,
                                 placement_candidate const& owner,
                                 offer_reply const& answer);
    void update_hints(offer_reply const& answer, peer_address target,
                      target_hints& hints, bool is_opening,
                      time_point now) const;
    bool is_current(query_deadline const& deadline) const;
    query_deadline take_first_deadline(time_point now);
    void drop_stale_deadlines(time_point now);
    void forget_late_queries(time_point now);

    placer_limits limits;
    P policy;
    std::uint32_t last_query_id = 0;
    std::unordered_map<connection_endpoints, placement_state,
                       detail::endpoints_hash>
        placements = {};
    answer_times times;
    search_budget budget;
    std::unordered_map<std::uint32_t, sent_query> queries = {};
    std::set<query_deadline> deadlines = {};       // earliest first
    std::deque<query_deadline> late_queries = {};  // when to forget them
};

}  // namespace lagoon

#include "placement/placer.ipp"
