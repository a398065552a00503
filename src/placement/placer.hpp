// Finds a target for a packet whose owner an entry doesn't know: for an
// opening packet one with a free slot, for any other the one that owns the
// connection. The targets are asked one after the other. One that stays
// silent is given up after some milliseconds, long before the caller repeats
// its packet.
//
// Index
//   placement_request      a packet and who may take it
//   placement_outcome   ask somebody, found, or given up
//   placer            the aggregate, over a placement policy
#pragma once

#include "catalog/catalog.hpp"
#include "placement/policies.hpp"
#include "protocol/relay.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lagoon {

// ---- placement_request -------------------------------------------------------

// How far a search for an owner has come, over all its parts.
struct search_progress
{
    std::uint32_t trial_count =
        0;  // unsure targets made to try their back ends
    bool has_definite_denial = false;  // a target knew that it isn't its own
    auto operator<=>(search_progress const&) const = default;
};

struct placement_request
{
    connection_packet packet = {};
    service_id service = {};
    request_terms terms = {};
    std::vector<placement_candidate> candidates = {};  // best first
    bool is_retransmission =
        false;  // a copy, and the first of them has the packet
    time_point arrived_at = {};
    time_point requested_at =
        {};  // when the caller first asked, as far as known
    search_progress progress = {};
    auto operator<=>(placement_request const&) const = default;
};

// ---- placement_outcome ----------------------------------------------------

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
    std::uint32_t load = 0;           // as the target told
    std::uint32_t query_count = 0;    // targets that were asked
    std::uint32_t timeout_count = 0;  // of those
    time_point arrived_at = {};
    time_point requested_at = {};
    std::vector<std::string> pending_packets = {};  // later packets, in order
    std::vector<placement_candidate> remaining =
        {};  // of a search: to be asked yet
    search_progress progress = {};
    auto operator<=>(owner_found const&) const = default;
};

struct placement_failed
{
    connection_packet packet = {};
    service_id service = {};
    bool is_refused = false;  // a target said that it can't be served in time
    std::uint32_t query_count = 0;
    std::uint32_t timeout_count = 0;  // of those asked
    time_point arrived_at = {};
    time_point requested_at = {};
    auto operator<=>(placement_failed const&) const = default;
};

using placement_outcome =
    std::variant<query_target, owner_found, placement_failed>;
using placement_outcomes = std::vector<placement_outcome>;

// ---- placer -------------------------------------------------------------

struct placer_limits
{
    std::size_t max_placements = 4096;    // packets being placed at once
    std::size_t max_pending_packets = 8;  // later packets kept for each

    // A search asks the nearest places first, since owners are nearly always
    // there, and tries the unsure among them before it goes on. Where none of
    // them knows anything, all have just started, and so has the rest.
    std::size_t first_batch_end = 4;
    std::size_t second_batch_end = default_preferred_count;

    // Connections die by the thousand, and each trial costs a back end a
    // packet: twice the places that an opening packet goes along.
    std::uint32_t max_trials = 2 * default_preferred_count;

    // Several times the round trip between two data centres, and well below
    // the 200 ms after which callers repeat themselves.
    duration answer_timeout = std::chrono::milliseconds{20};

    auto operator<=>(placer_limits const&) const = default;
};

template <placement_policy P> class placer
{
public:
    explicit placer(placer_limits limits, P policy = {});

    // Begins to place a packet, or fails at once.
    placement_outcomes start(placement_request request, target_hints& hints,
                             time_point now);

    // Whether a packet of the connection is being placed. A later one waits
    // for its outcome.
    bool is_placing(connection_endpoints const& endpoints) const;
    void queue_packet(connection_endpoints const& endpoints,
                      std::string const& bytes);

    placement_outcomes on_answer(offer_answer const& answer,
                                 target_hints& hints, time_point now);

    // Gives up on targets that stayed silent.
    placement_outcomes tick(target_hints& hints, time_point now);

    // When the next question runs out.
    std::optional<time_point> next_due() const;

    std::size_t size() const;

private:
    enum class candidate_state : std::uint8_t
    {
        not_queried,
        busy,     // would take it only if it must
        excluded  // asked in vain
    };

    struct candidate
    {
        placement_candidate target = {};
        candidate_state state = candidate_state::not_queried;
        std::uint32_t load = 0;
        auto operator<=>(candidate const&) const = default;
    };

    struct placement_state
    {
        placement_request request = {};
        std::vector<candidate> candidates = {};
        std::size_t current = 0;  // the choice that was asked
        bool is_last_resort = false;
        question_id query = {};
        std::uint32_t query_count = 0;
        std::uint32_t busy_count = 0;  // of those asked
        std::uint32_t timeout_count = 0;
        search_progress progress = {};
        std::vector<std::string> pending_packets = {};
        auto operator<=>(placement_state const&) const = default;
    };

    struct query_choice
    {
        std::size_t index = 0;  // of the choice that is asked next
        bool is_last_resort = false;
        auto operator<=>(query_choice const&) const = default;
    };

    struct query_deadline
    {
        time_point at = {};
        question_id query = {};
        connection_endpoints endpoints = {};
        auto operator<=>(query_deadline const&) const = default;
    };

    placement_outcome handle_answer(placement_state& record,
                                    offer_answer const& answer,
                                    target_hints& hints, time_point now);
    placement_outcome query_next(placement_state& record, time_point now);
    std::optional<query_choice>
    choose_next(placement_state const& record) const;
    std::optional<query_choice>
    choose_for_opening(placement_state const& record) const;
    std::optional<query_choice>
    choose_for_search(placement_state const& record) const;
    std::optional<query_choice> choose_in_range(placement_state const& record,
                                                std::size_t from,
                                                std::size_t upto,
                                                bool queries_unknown) const;
    std::optional<std::size_t>
    least_loaded(placement_state const& record) const;
    std::vector<placement_candidate>
    remaining_candidates(placement_state const& record) const;
    placement_outcome make_query(placement_state& record, std::size_t index,
                                 bool is_last_resort, time_point now);
    placement_outcome make_failed(placement_state const& record,
                                  bool is_refused);
    placement_outcome make_found(placement_state const& record,
                                 offer_answer const& answer);
    void update_hints(offer_answer const& answer, peer_address target,
                      target_hints& hints, time_point now) const;
    bool is_current(query_deadline const& one) const;
    void drop_stale_deadlines();

    placer_limits limits;
    P policy;
    std::uint32_t last_query_id = 0;
    std::unordered_map<connection_endpoints, placement_state,
                       detail::endpoints_hash>
        placements = {};
    std::unordered_map<std::uint32_t, connection_endpoints> queries = {};
    std::deque<query_deadline> deadlines = {};
};

}  // namespace lagoon

#include "placement/placer.ipp"
