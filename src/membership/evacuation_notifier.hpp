// Notification of targets whose data centre is evacuated. A few entries notify
// each target, so that it can refuse what an outdated entry offers it. The
// entries are selected by a hash of entry and target, without coordination.
//
// Index
//   evacuation_difference   data centres whose evacuation began or ended
//   addressed_notice        a notice and the target that gets it
//   is_notifier             whether a process notifies a target
//   evacuation_notifier     aggregate: decides which targets to notify, and when
#pragma once

#include "catalog/catalog.hpp"
#include "membership/peers.hpp"
#include "protocol/relay.hpp"

#include <map>
#include <string>
#include <vector>

namespace lagoon {

// ---- evacuation_difference ----------------------------------------------

struct evacuation_difference
{
    std::vector<std::string> begun = {};
    std::vector<std::string> ended = {};
    auto operator<=>(evacuation_difference const&) const = default;
};

// ---- addressed_notice ---------------------------------------------------

struct addressed_notice
{
    peer_address to = {};
    evacuation_notice notice = {};
    auto operator<=>(addressed_notice const&) const = default;
};

// ---- is_notifier --------------------------------------------------------

// Entries that notify one target. Two of them may have stopped without the
// target missing a notice.
constexpr std::size_t notifiers_per_target = 3;

// Returns whether `self` ranks among the first notifiers_per_target of itself
// and the peers that sent a digest.
bool is_notifier(process_id self, std::vector<known_peer> const& peers,
                 target_id target);

// ---- evacuation_notifier ------------------------------------------------

// A restarted target is notified again within this time.
constexpr duration notice_interval = std::chrono::seconds{1};

class evacuation_notifier
{
public:
    explicit evacuation_notifier(process_id self);

    // Compares the evacuations with those of the previous call. After a change
    // the next tick sends notices.
    evacuation_difference update(catalog const& current);

    // Returns the notices to send now.
    std::vector<addressed_notice>
    tick(catalog const& current,
         std::map<service_id, service_part> const& services,
         std::vector<known_peer> const& peers, time_point now);

private:
    process_id self;
    std::vector<std::string> data_centres = {};  // evacuated; sorted
    time_point next_notice_at = {};
};

}  // namespace lagoon
