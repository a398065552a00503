// How a process learns the configuration and when it may act on it: digests
// exchanged with peers, changes pulled from whoever is ahead, the platform
// read by a few. Nothing here writes anything shared.
//
// Model: models/generations.pml; the functions name its steps.
//
// Index
//   settings     who this process is and whom it asks first
//   effects      what the surroundings must do
//   membership   the aggregate
#pragma once

#include "base/random.hpp"
#include "catalog/catalog.hpp"
#include "membership/peers.hpp"
#include "membership/readers.hpp"
#include "protocol/messages.hpp"

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

namespace lagoon {

// ---- settings -----------------------------------------------------------

// How often a process asks and how long it waits. The defaults are those of
// the product's own platform, whose rate is for the whole fleet.
struct membership_timing
{
    duration exchange_interval = std::chrono::seconds{1};  // between digests
    std::size_t update_fan_out = 4;   // peers told at once of own news
    std::size_t forward_fan_out = 4;  // peers told of news that came unasked
    duration fetch_timeout = std::chrono::seconds{1};  // of a peer's answer
    duration read_timeout = std::chrono::seconds{2};   // one read

    // A gap between two ticks that shows that the process was paused.
    duration pause_threshold = std::chrono::seconds{2};

    // A process that knows peers asks them first, and the platform later.
    duration first_read_delay = std::chrono::seconds{1};

    // How long a process that starts or was paused waits at most for news
    // before it takes new flows with what it has.
    duration catch_up_timeout = std::chrono::seconds{2};

    read_timing reading = {};

    // Whether an answer of the platform is never older than the question. A
    // process then needs no peer's word beside it.
    bool is_platform_linearizable = false;

    auto operator<=>(membership_timing const&) const = default;
};

struct membership_settings
{
    process_id self = {};
    std::string data_centre = {};
    peer_address exchange = {};            // this process's own
    peer_address control = {};             // this process's own
    std::vector<peer_address> seeds = {};  // peers to ask before any catalog
    membership_timing timing = {};
    auto operator<=>(membership_settings const&) const = default;
};

constexpr duration initial_platform_age = std::chrono::hours{24};

// ---- effects ------------------------------------------------------------

struct send_digest
{
    peer_address to = {};
    peer_digest message = {};
    auto operator<=>(send_digest const&) const = default;
};

struct send_update
{
    peer_address to = {};
    peer_update message = {};
    bool operator==(send_update const&) const = default;
};

struct fetch_from_peer
{
    peer_address exchange = {};  // where the peer takes datagrams
    peer_address control = {};   // where it answers JSON-RPC
    generation since = {};       // 0 fetches the whole catalog
    duration timeout = {};
    auto operator<=>(fetch_from_peer const&) const = default;
};

struct read_platform
{
    generation since = {};
    bool is_watch = false;         // wait for a later generation
    duration watch_duration = {};  // how long a watch waits
    duration timeout = {};         // of each call, beside the wait
    auto operator<=>(read_platform const&) const = default;
};

using membership_effect =
    std::variant<send_digest, send_update, fetch_from_peer, read_platform>;
using membership_effects = std::vector<membership_effect>;

// Where a change came from.
enum class change_source : std::uint8_t
{
    platform,
    peer
};

// ---- membership ---------------------------------------------------------

template <random_source R> class membership
{
public:
    membership(membership_settings settings, R random, time_point now);

    // Model step `compare`: a peer's digest arrived.
    membership_effects handle_digest(peer_address from,
                                     peer_digest const& digest,
                                     catalog const& current, time_point now);

    // The answer to a fetch or a read arrived, and the catalog adopted the
    // change or had nothing to gain from it. News is passed on.
    membership_effects handle_response(change_source source,
                                       catalog_change const* adopted,
                                       catalog const& current, time_point now);

    // A peer's news came unasked, and the catalog adopted it.
    membership_effects forward(catalog_change const& adopted,
                               catalog const& current, time_point now);

    // A fetched change didn't lead to its digest: ask for the whole.
    membership_effects fetch_full(peer_address exchange, peer_address control,
                                  time_point now);

    // What the platform said changed doesn't lead to its digest: the next read
    // is of the whole.
    void require_full_read(catalog const& current, time_point now);

    // A fetch or a read failed or timed out.
    void handle_failure(change_source source, catalog const& current,
                        time_point now);

    // Whether the platform answered this process's last read.
    bool is_platform_reachable() const;

    // Other peers to ask first, from now on.
    void set_seeds(std::vector<peer_address> const& seeds);

    membership_effects tick(catalog const& current, time_point now);

    // When a process without any configuration wants to read again.
    std::optional<time_point> next_due(catalog const& current) const;

    // Model step `may_open`: whether new flows may be taken.
    bool is_ready(catalog const& current, time_point now) const;

    // The answer to a peer's question.
    membership_effects handle_request(peer_address from, generation since,
                                      catalog const& current, time_point now);

    // How old the freshest contact with the platform is, as far as known.
    duration platform_age(time_point now) const;

private:
    peer_digest make_digest(catalog const& current, bool is_reply_requested,
                            time_point now);
    std::vector<peer_address> list_peers(catalog const& current) const;
    std::vector<peer_address> pick_peers(catalog const& current,
                                         std::size_t limit);
    std::vector<peer_address> sample_peers();
    void send_digests(membership_effects& effects, catalog const& current,
                      std::size_t peer_count, bool is_reply_requested,
                      time_point now);
    membership_effects announce(catalog_change const& adopted,
                                std::size_t peer_count, catalog const& current,
                                time_point now);
    std::size_t compute_rank(catalog const& current) const;
    void read_if_due(membership_effects& effects, catalog const& current,
                     time_point now);
    read_schedule current_schedule(catalog const& current);
    void begin_catch_up(time_point now);
    bool is_confirmed(time_point now) const;

    membership_settings settings;
    R random;
    peer_table peers = {};
    time_point last_tick_at;
    time_point next_exchange_at;
    time_point platform_contact;  // estimated, own clock
    std::optional<time_point> fetch_started_at = {};
    std::optional<time_point> read_started_at = {};
    duration current_watch = {};  // how long the watch under way waits; 0: none
    time_point earliest_read_at;  // none before this
    std::optional<time_point> last_read_at = {};
    time_point catch_up_started_at = {};     // start or end of a pause
    bool is_compared_with_peer = false;      // since then
    bool is_compared_with_platform = false;  // since then
    catalog_version highest_seen_version = {};
    bool has_platform_answered = false;  // its last read
    bool needs_full_read = false;        // its changes have not fitted
    std::optional<catalog_version> schedule_version = {};
    std::size_t schedule_peer_count = 0;
    read_schedule cached_schedule = {};
};

}  // namespace lagoon

#include "membership/membership.ipp"
