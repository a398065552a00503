// Finds a target for a packet whose owner an entry doesn't know: for an
// opening packet one with a free slot, for any other the one that owns the
// connection. The targets are asked one after the other. One that stays
// silent is given up after some milliseconds, long before the caller repeats
// its packet.
//
// Index
//   placing_wish      a packet and who may take it
//   placing_outcome   ask somebody, found, or given up
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

// ---- placing_wish -------------------------------------------------------

// How far a search for an owner has come, over all its parts.
struct search_progress
{
    std::uint32_t trials = 0;  // unsure targets made to try their back ends
    bool any_knows = false;    // a target knew that it isn't its own
    auto operator<=>(search_progress const&) const = default;
};

struct placing_wish
{
    connection_packet packet = {};
    service_id service = {};
    request_attributes attributes = {};
    std::vector<placing_target> ranked = {};  // best first
    bool first_has_it = false;  // a copy, and the first of them has the packet
    time_point arrived = {};
    time_point begun = {};  // when the caller first asked, as far as known
    search_progress progress = {};
    auto operator<=>(placing_wish const&) const = default;
};

// ---- placing_outcome ----------------------------------------------------

struct ask_target
{
    peer_address target = {};
    packet_offer offer = {};
    auto operator<=>(ask_target const&) const = default;
};

struct owner_found
{
    connection_packet packet = {};
    service_id service = {};
    peer_address target = {};
    offer_verdict verdict = offer_verdict::taken;
    std::uint32_t load = 0;    // as the target told
    std::uint32_t asked = 0;   // targets that were asked
    std::uint32_t silent = 0;  // of those
    time_point arrived = {};
    time_point begun = {};
    std::vector<std::string> followers = {};  // later packets, in order
    std::vector<placing_target> left = {};    // of a search: to be asked yet
    search_progress progress = {};
    auto operator<=>(owner_found const&) const = default;
};

struct placing_failed
{
    connection_packet packet = {};
    service_id service = {};
    bool refused = false;  // a target said that it can't be served in time
    std::uint32_t asked = 0;
    std::uint32_t silent = 0;  // of those asked
    time_point arrived = {};
    time_point begun = {};
    auto operator<=>(placing_failed const&) const = default;
};

using placing_outcome = std::variant<ask_target, owner_found, placing_failed>;
using placing_outcomes = std::vector<placing_outcome>;

// ---- placer -------------------------------------------------------------

struct placer_limits
{
    std::size_t most = 4096;         // packets being placed at once
    std::size_t most_followers = 8;  // later packets kept for each

    // A search asks the nearest places first, since owners are nearly always
    // there, and tries the unsure among them before it goes on. Where none of
    // them knows anything, all have just started, and so has the rest.
    std::size_t nearest = 4;
    std::size_t near = usual_places;

    // Connections die by the thousand, and each trial costs a back end a
    // packet: twice the places that an opening packet goes along.
    std::uint32_t most_trials = 2 * usual_places;

    // Several times the round trip between two data centres, and well below
    // the 200 ms after which callers repeat themselves.
    duration silence = std::chrono::milliseconds{20};

    auto operator<=>(placer_limits const&) const = default;
};

template <placement_policy P> class placer
{
public:
    explicit placer(placer_limits limits, P policy = {});

    // Begins to place a packet, or fails at once.
    placing_outcomes begin(placing_wish wish, target_hints& hints,
                           time_point now);

    // Whether a packet of the connection is being placed. A later one waits
    // for its outcome.
    bool is_placing(connection_ends const& ends) const;
    void follow(connection_ends const& ends, std::string const& bytes);

    placing_outcomes answered(offer_reply const& answer, target_hints& hints,
                              time_point now);

    // Gives up on targets that stayed silent.
    placing_outcomes tick(target_hints& hints, time_point now);

    // When the next question runs out.
    std::optional<time_point> next_due() const;

    std::size_t size() const;

private:
    enum class choice_state : std::uint8_t
    {
        untried,
        busy,  // would take it only if it must
        out    // asked in vain
    };

    struct choice
    {
        placing_target target = {};
        choice_state state = choice_state::untried;
        std::uint32_t load = 0;
        auto operator<=>(choice const&) const = default;
    };

    struct placing_record
    {
        placing_wish wish = {};
        std::vector<choice> choices = {};
        std::size_t at = 0;  // the choice that was asked
        bool is_last_resort = false;
        query_id query = {};
        std::uint32_t asked = 0;
        std::uint32_t busy = 0;  // of those asked
        std::uint32_t silent = 0;
        search_progress progress = {};
        std::vector<std::string> followers = {};
        auto operator<=>(placing_record const&) const = default;
    };

    struct placing_step
    {
        std::size_t index = 0;  // of the choice that is asked next
        bool is_last_resort = false;
        auto operator<=>(placing_step const&) const = default;
    };

    struct due_question
    {
        time_point at = {};
        query_id query = {};
        connection_ends ends = {};
        auto operator<=>(due_question const&) const = default;
    };

    placing_outcome take_answer(placing_record& record,
                                offer_reply const& answer, target_hints& hints,
                                time_point now);
    placing_outcome go_on(placing_record& record, time_point now);
    std::optional<placing_step> next_step(placing_record const& record) const;
    std::optional<placing_step>
    next_opening(placing_record const& record) const;
    std::optional<placing_step> next_search(placing_record const& record) const;
    std::optional<placing_step> next_in(placing_record const& record,
                                        std::size_t from, std::size_t upto,
                                        bool asks) const;
    std::optional<std::size_t> least_loaded(placing_record const& record) const;
    std::vector<placing_target> left_of(placing_record const& record) const;
    placing_outcome ask(placing_record& record, std::size_t index,
                        bool is_last_resort, time_point now);
    placing_outcome fail(placing_record const& record, bool refused);
    placing_outcome settle(placing_record const& record,
                           offer_reply const& answer);
    void note(offer_reply const& answer, peer_address target,
              target_hints& hints, time_point now) const;
    bool is_current(due_question const& one) const;
    void prune();

    placer_limits limits;
    P policy;
    std::uint32_t last_question = 0;
    std::unordered_map<connection_ends, placing_record, detail::ends_hash>
        records = {};
    std::unordered_map<std::uint32_t, connection_ends> questions = {};
    std::deque<due_question> due = {};
};

}  // namespace lagoon

#include "placement/placer.ipp"
