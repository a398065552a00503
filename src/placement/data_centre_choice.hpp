// Decides which new connections of a service leave the entry's data centre, and
// where they go. The input is what targets reported in their answers to queries;
// docs/design/data-centre-choice.md explains the rules.
//
// Index
//   target_observation    what is known of one target of the service
//   departure_limits      constants of the rules
//   predict_wait          expected wait of a new connection for a free slot
//   home_condition        whether connections leave, and why
//   data_centre_choice    the aggregate, one for each service
//   split_by_data_centre  the candidates at home and elsewhere, best first
//   merge_by_data_centre  the candidates of one connection, in query order
#pragma once

#include "catalog/catalog.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- target_observation -------------------------------------------------

struct target_observation
{
    std::string data_centre = {};
    std::uint32_t slots = 0;
    bool is_joining = false;
    std::optional<double> load = {};  // mean of recent reports
    duration report_age = {};
    std::optional<duration> answer_time = {};  // of queries, mean
    auto operator<=>(target_observation const&) const = default;
};

// ---- departure_limits ---------------------------------------------------

struct departure_limits
{
    // Connections leave until home's load per slot is back at this. Above it,
    // the wait for one of a few slots grows steeply.
    double full_load = 0.7;

    // The share changes by this many times the missing part of the load, per
    // second. The load is that of all entries, so the share cannot be computed
    // from it at once.
    double correction_per_second = 2.0;

    // Bounds of the change, per second. A rise has to keep up with a burst; a
    // slower fall keeps delayed load reports from causing oscillation.
    double rise_per_second = 2.0;
    double fall_per_second = 0.5;

    // After home had no usable target: its back ends may be cold.
    double return_per_second = 0.25;

    // Below 1, so that some connections keep measuring the load at home.
    double max_share = 0.95;

    // Waits are predicted with this running time. Entries do not know the real
    // one, which is 5 to 61 ms in the known deployments.
    duration running_time = std::chrono::milliseconds{20};

    // A connection leaves only if that shortens its wait by the round trip plus
    // this margin, since traffic between data centres costs money. The part that
    // follows the objective keeps bulk transfers at home for longer.
    duration min_margin = std::chrono::milliseconds{2};
    double margin_per_objective = 0.01;

    // A report counts half after this time, and not at all after ten times it.
    duration report_half_life = std::chrono::seconds{1};

    // Of the slots of a data centre without a free one that reported its load
    // some time ago. Connections placed there tell whether it has room again.
    double min_room_share = 0.02;

    duration update_interval = std::chrono::milliseconds{50};
    auto operator<=>(departure_limits const&) const = default;
};

// ---- predict_wait -------------------------------------------------------

// Returns the mean wait for one of `slots` slots that are in use for the share
// `load_per_slot` of the time (Sakasegawa's approximation for M/M/c), plus the
// time to work off the load beyond the slots.
duration predict_wait(double load_per_slot, double slots,
                      duration running_time);

// ---- home_condition -----------------------------------------------------

enum class home_condition : std::uint8_t
{
    has_room,  // nothing leaves, except when the targets queried are busy
    full,      // a share leaves
    empty      // no usable target; everything leaves
};

// ---- data_centre_choice -------------------------------------------------

// Totals over the usable targets of one data centre.
struct data_centre_load
{
    std::string data_centre = {};
    double slots = 0;        // joining targets count less
    double load = 0;         // reports count less with age
    double known_slots = 0;  // of targets with a report
    std::uint32_t target_count = 0;
    std::optional<duration> answer_time = {};  // of the fastest target
    auto operator<=>(data_centre_load const&) const = default;
};

class data_centre_choice
{
public:
    data_centre_choice() = default;
    explicit data_centre_choice(departure_limits limits);

    // Takes the usable targets of the service: not leaving, not silent, not in
    // an evacuated data centre. More frequent calls than the update interval are
    // ignored.
    void observe(std::string const& home,
                 std::vector<target_observation> const& targets,
                 time_point now);

    home_condition condition() const;

    // Share of the new connections that leave, in [0, 1].
    double share() const;

    // Whether the connection goes elsewhere first. All entries with the same
    // share decide alike for a flow.
    bool leaves(flow_key flow, duration objective) const;

    // Factor on the score of targets in a data centre other than home; in
    // proportion to its room per slot.
    double room_factor(std::string const& data_centre) const;

private:
    std::vector<data_centre_load>
    sum_up(std::vector<target_observation> const& targets) const;
    duration wait_at(data_centre_load const& one) const;
    duration gain_of(data_centre_load const& home,
                     data_centre_load const& other) const;
    double required_share(data_centre_load const& home, duration elapsed) const;
    void update_gain(data_centre_load const& home, duration elapsed);
    void move_share(double required, duration elapsed);
    data_centre_load const* find(std::string const& data_centre) const;

    departure_limits limits = {};
    std::string home = {};
    std::vector<data_centre_load> loads = {};
    double current_share = 0;
    duration gain = {};  // largest recent one; decreases with time
    home_condition current = home_condition::has_room;
    bool is_returning = false;  // since home had no usable target
    std::optional<time_point> updated_at = {};
};

// ---- split_by_data_centre -----------------------------------------------

struct ranked_by_data_centre
{
    std::vector<target_record const*> home = {};       // best first
    std::vector<target_record const*> elsewhere = {};  // best first
};

// Splits a ranking. If the flow leaves, the others are ranked by their room too.
ranked_by_data_centre
split_by_data_centre(std::vector<target_record const*> const& ranked,
                     std::string const& home, data_centre_choice const& choice,
                     flow_key flow, bool is_leaving);

// Merges both lists: two of each, then one of each in turn. An entry asks four
// targets, and a third one on the side whose first two are busy is rarely free.
// Contains each target once.
std::vector<target_record const*>
merge_by_data_centre(ranked_by_data_centre const& ranked, bool is_leaving);

}  // namespace lagoon
