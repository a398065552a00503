// Configuration distribution. Processes exchange digests of their catalog
// (gossip) and pull changes from peers that are ahead; a few processes read the
// platform. Nothing is written to the platform.
//
// Model: models/generations.pml; comments name the corresponding model steps.
//
// Index
//   settings     timing, own identity, seeds and contacts with the platform
//   effects      effects that the program has to perform
//   membership   aggregate: decides what to exchange, fetch and read, and when
//                the catalog is recent enough to be used
#pragma once

#include "base/random.hpp"
#include "catalog/catalog.hpp"
#include "catalog/store_position.hpp"
#include "membership/list_confirmation.hpp"
#include "membership/peers.hpp"
#include "membership/readers.hpp"
#include "protocol/messages.hpp"

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

namespace lagoon {

// ---- settings -----------------------------------------------------------

// Intervals and timeouts. The defaults suit the product's own platform, whose
// limit on the call rate applies to the fleet as a whole.
struct membership_timing
{
    duration exchange_interval = std::chrono::seconds{1};  // between digests
    std::size_t update_fan_out = 4;   // receivers of a fetched or read change
    std::size_t forward_fan_out = 4;  // receivers of a pushed change
    duration fetch_timeout = std::chrono::seconds{1};  // for a peer's answer
    duration read_timeout = std::chrono::seconds{2};   // for one read

    duration read_now_interval = std::chrono::seconds{1};  // see read_now()

    // A longer gap between two ticks means that the process was paused.
    duration pause_threshold = std::chrono::seconds{2};

    // Delay of the first read of the platform if there are seeds, which are
    // asked first.
    duration first_read_delay = std::chrono::seconds{1};

    // After a start or a pause, new flows are accepted after this time even if
    // the catalog couldn't be confirmed as current.
    duration catch_up_timeout = std::chrono::seconds{2};

    read_timing reading = {};

    // Whether the platform never answers with contents older than the request.
    // A read then suffices to confirm the catalog, without a peer.
    bool is_platform_linearizable = false;

    auto operator<=>(membership_timing const&) const = default;
};

struct membership_settings
{
    process_id self = {};
    std::string data_centre = {};
    peer_address exchange = {};            // own address
    peer_address control = {};             // own address
    std::vector<peer_address> seeds = {};  // peers to contact without a catalog
    membership_timing timing = {};
    auto operator<=>(membership_settings const&) const = default;
};

// A peer's latest contact with the platform and its catalog then.
struct platform_contact_report
{
    time_point at = {};
    catalog_version version = {};
    auto operator<=>(platform_contact_report const&) const = default;
};

// Age of the last contact with the platform before there was any.
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
    peer_address exchange = {};  // UDP address of the peer
    peer_address control = {};   // its JSON-RPC address
    generation since = {};       // 0 fetches the full catalog
    duration timeout = {};
    auto operator<=>(fetch_from_peer const&) const = default;
};

struct read_platform
{
    generation since = {};
    bool is_watch = false;         // wait for a later generation
    duration watch_duration = {};  // longest wait of a watch
    duration timeout = {};         // of each call, in addition to the wait
    routes_part routes = {};       // in force; not replaced by earlier ones
    auto operator<=>(read_platform const&) const = default;
};

using membership_effect =
    std::variant<send_digest, send_update, fetch_from_peer, read_platform>;
using membership_effects = std::vector<membership_effect>;

// Sender of a change.
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

    // Model step `compare`: handles a digest received from a peer.
    membership_effects handle_digest(peer_address from,
                                     peer_digest const& digest,
                                     catalog const& current, time_point now);

    // Handles the answer to a fetch or read. `adopted` is the change that the
    // catalog applied, which is announced to peers; null if there was none.
    membership_effects handle_response(change_source source,
                                       catalog_change const* adopted,
                                       catalog const& current, time_point now);

    // Forwards a change that a peer pushed and that the catalog applied.
    membership_effects forward(catalog_change const& adopted,
                               catalog const& current, time_point now);

    // Fetches the full catalog, after a change that failed with a conflict.
    membership_effects fetch_full(peer_address exchange, peer_address control,
                                  time_point now);

    // Makes the next read of the platform a full one, after a change from the
    // platform that failed with a conflict.
    void require_full_read(catalog const& current, time_point now);

    // Handles a fetch or read that failed or timed out.
    void handle_failure(change_source source, catalog const& current,
                        time_point now);

    // Returns the peers learnt from digests.
    std::vector<known_peer> known_peers() const;

    // Handles an era of the store, seen by a reader or at a peer. The catalog
    // of an earlier one counts as unconfirmed until a later one is adopted.
    void handle_era(std::uint64_t era, catalog const& current, time_point now);

    // Returns whether the platform answered the last read.
    bool is_platform_reachable() const;

    void set_seeds(std::vector<peer_address> const& seeds);

    membership_effects tick(catalog const& current, time_point now);

    // Returns the time of the next read of a process without configuration.
    std::optional<time_point> next_due(catalog const& current) const;

    // Model step `may_open`: returns whether new flows may be accepted.
    bool is_ready(catalog const& current, time_point now) const;

    // Answers a peer's request for changes after `since`.
    membership_effects handle_request(peer_address from, generation since,
                                      catalog const& current, time_point now);

    // Reads the platform without waiting for a change, unless such a read is in
    // progress or was made a moment ago. A watch in progress is given up.
    membership_effects read_now(catalog const& current, time_point now);

    // Returns the time as of which the catalog is known to list every living
    // target.
    std::optional<time_point> whole_list_as_of() const;

    // Whether a read that starts now is needed to get such a time.
    bool needs_list_read(time_point now) const;

    // Returns the time since the latest known contact of any process with the
    // platform that showed the catalog, or an earlier one, to be current.
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
    void record_platform_contact(time_point at);
    void read_if_due(membership_effects& effects, catalog const& current,
                     time_point now);
    read_schedule current_schedule(catalog const& current);
    void begin_catch_up(time_point now);
    bool is_era_unread(catalog const& current) const;
    void restart_list_after_revert(catalog const& current, time_point now);
    void record_contact(platform_contact_report const& report,
                        catalog const& current);
    void accept_reported_contact(catalog const& current);
    bool is_confirmed(time_point now) const;

    membership_settings settings;
    R random;
    peer_table peers = {};
    time_point last_tick_at;
    time_point next_exchange_at;

    // When the platform was last known to hold nothing newer than the catalog;
    // estimated, from the contact of any process.
    time_point platform_contact;
    // Of a peer that is ahead.
    std::optional<platform_contact_report> reported_contact = {};
    std::optional<time_point> fetch_started_at = {};
    std::optional<time_point> read_started_at = {};
    duration current_watch = {};  // wait of the watch in progress; 0: none
    time_point earliest_read_at;  // no read before this
    std::optional<time_point> last_read_at = {};
    time_point catch_up_started_at = {};     // process start or end of a pause
    bool is_compared_with_peer = false;      // since catch_up_started_at
    bool is_compared_with_platform = false;  // since catch_up_started_at
    catalog_version highest_seen_version = {};
    bool has_platform_answered = false;  // to the last read
    bool needs_full_read = false;        // after a conflict
    list_confirmation list_state;
    std::uint64_t list_era = 0;  // of the catalog that list_state is about
    std::optional<time_point> last_full_fetch_at = {};
    std::optional<catalog_version> schedule_version = {};
    std::size_t schedule_peer_count = 0;
    read_schedule cached_schedule = {};
};

}  // namespace lagoon

#include "membership/membership.ipp"
