#include "promises.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace lagoon::soak {

namespace {

constexpr std::size_t max_reported = 100;  // broken promises
constexpr std::size_t min_misrouted_packets = 3;

std::string describe(connection_endpoints const& endpoints)
{
    return to_text(endpoints.caller) + " to " + to_text(endpoints.service);
}

std::string describe_delay(time_point since, time_point at)
{
    return std::to_string((at - since) / 1ms) + " ms after";
}

}  // namespace

char const* to_text(promise value)
{
    constexpr std::array<char const*, static_cast<std::size_t>(promise::last)>
        names{"runs_once",
              "refusals_are_true",
              "answers_are_whole",
              "packets_are_unaltered",
              "right_service",
              "open_connections_stay",
              "packets_find_their_own",
              "leaving_admits_nothing",
              "evacuated_admits_nothing",
              "routes_in_force",
              "routes_never_back",
              "back_in_time",
              "stops_in_time",
              "stays_up"};
    return names.at(static_cast<std::size_t>(value));
}

std::string to_text(request_key const& key)
{
    return "q" + std::to_string(key.request) + "." +
           std::to_string(key.attempt);
}

std::optional<request_key> parse_request_key(std::string const& text)
{
    request_key key;
    char const* const end = text.data() + text.size();
    if (!text.starts_with("q"))
        return std::nullopt;
    auto const [dot, error] =
        std::from_chars(text.data() + 1, end, key.request);
    if (error != std::errc{} || dot == end || *dot != '.')
        return std::nullopt;
    auto const [last, attempt_error] =
        std::from_chars(dot + 1, end, key.attempt);
    if (attempt_error != std::errc{} || last != end)
        return std::nullopt;
    return key;
}

// ---- disturbance_record -------------------------------------------------

void disturbance_record::record_disturbance(std::size_t machine,
                                            disturbance kind, time_point until)
{
    until_times& times = kind == disturbance::planned ? this->planned_until
                         : kind == disturbance::unplanned
                             ? this->unplanned_until
                             : this->store_refused_until;
    times[machine] = std::max(times[machine], until);
}

void disturbance_record::record_store_disturbance(time_point until)
{
    this->store_disturbed_until = std::max(this->store_disturbed_until, until);
}

bool disturbance_record::has_settled(time_point until, time_point at) const
{
    return until == time_point{} || until + this->settling_time <= at;
}

bool disturbance_record::has_settled(until_times const& times,
                                     std::size_t machine, time_point at) const
{
    auto const found = times.find(machine);
    return found == times.end() || this->has_settled(found->second, at);
}

bool disturbance_record::is_free_of_faults(std::size_t machine,
                                           time_point at) const
{
    return this->has_settled(this->unplanned_until, machine, at) &&
           this->has_settled(this->store_refused_until, machine, at);
}

bool disturbance_record::is_undisturbed(std::size_t machine,
                                        time_point at) const
{
    return this->is_free_of_faults(machine, at) &&
           this->has_settled(this->planned_until, machine, at);
}

bool disturbance_record::is_in_contact(std::size_t machine, time_point at) const
{
    return this->has_settled(this->unplanned_until, machine, at) &&
           this->has_settled(this->planned_until, machine, at);
}

bool disturbance_record::is_store_undisturbed(time_point at) const
{
    return this->has_settled(this->store_disturbed_until, at);
}

// ---- route_history ------------------------------------------------------

void route_history::add(route_version version)
{
    this->versions.push_back(std::move(version));
}

std::optional<std::size_t> route_history::find_version_allowing(
    peer_address route, std::string const& service, std::size_t from) const
{
    for (std::size_t i = from; i < this->versions.size(); ++i) {
        auto const& services = this->versions[i].services;
        auto const found = services.find(route);
        if (found != services.end() && found->second.contains(service))
            return i;
    }
    return std::nullopt;
}

std::size_t route_history::find_newest_at(time_point time) const
{
    std::size_t newest = 0;
    for (std::size_t i = 0; i < this->versions.size(); ++i)
        if (this->versions[i].stored_at <= time)
            newest = i;
    return newest;
}

bool route_history::is_present_since(peer_address route, time_point since) const
{
    for (std::size_t i = this->find_newest_at(since); i < this->versions.size();
         ++i)
        if (!this->versions[i].services.contains(route))
            return false;
    return true;
}

// ---- disturbances, processes and routes ---------------------------------

promise_checker::promise_checker(promise_bounds bounds)
    : bounds(bounds), disturbances(bounds.settling_time)
{
}

void promise_checker::report_broken(promise kind, time_point at,
                                    std::string detail)
{
    if (this->broken.size() < max_reported)
        this->broken.push_back({kind, at, std::move(detail)});
}

void promise_checker::record_disturbance(std::size_t machine, disturbance kind,
                                         time_point until)
{
    this->disturbances.record_disturbance(machine, kind, until);
}

void promise_checker::record_store_disturbance(time_point until)
{
    this->disturbances.record_store_disturbance(until);
}

void promise_checker::on_process_started(std::size_t machine)
{
    this->entries.erase(machine);
}

void promise_checker::on_process_exited(std::size_t machine,
                                        std::string const& exit_text,
                                        time_point at)
{
    this->report_broken(promise::stays_up, at,
                        "process of machine " + std::to_string(machine) +
                            " exited by itself: " + exit_text);
}

void promise_checker::on_process_stopped(std::size_t machine,
                                         duration stop_time, time_point at)
{
    if (stop_time > this->bounds.stop_limit &&
        this->disturbances.is_free_of_faults(machine, at))
        this->report_broken(promise::stops_in_time, at,
                            "machine " + std::to_string(machine) + " took " +
                                std::to_string(stop_time / 1ms) +
                                " ms to stop");
}

void promise_checker::on_all_killed(time_point restarted_at)
{
    this->restarted_at = restarted_at;
}

void promise_checker::on_stall(std::size_t machine_count, time_point now)
{
    this->record_store_disturbance(now);
    for (std::size_t i = 0; i < machine_count; ++i)
        this->record_disturbance(i, disturbance::unplanned, now);
    if (this->restarted_at)
        this->restarted_at = std::max(*this->restarted_at, now);
}

void promise_checker::on_routes_stored(route_version version)
{
    this->routes.add(std::move(version));
}

void promise_checker::on_evacuation_stored(std::string const& data_centre,
                                           time_point at)
{
    this->evacuated_since.try_emplace(data_centre, at);
}

void promise_checker::on_evacuation_removed(std::string const& data_centre)
{
    this->evacuated_since.erase(data_centre);
}

// ---- back ends ----------------------------------------------------------

void promise_checker::on_back_end_started(back_end_incarnation incarnation,
                                          std::size_t machine,
                                          std::string const& service,
                                          std::string const& data_centre)
{
    this->back_ends[incarnation] = {machine, service, data_centre, std::nullopt,
                                    true};
}

void promise_checker::on_back_end_leaving(back_end_incarnation incarnation,
                                          time_point stored_at)
{
    this->back_ends.at(incarnation).leaving_at = stored_at;
}

void promise_checker::on_back_end_ended(back_end_incarnation incarnation)
{
    this->back_ends.at(incarnation).is_alive = false;
}

// ---- connections --------------------------------------------------------

void promise_checker::on_packet_sent(connection_endpoints const& endpoints,
                                     std::size_t entry, bool is_opening,
                                     time_point at)
{
    connection_record& connection = this->connections[endpoints];
    if (connection.first_sent == time_point{})
        connection.first_sent = at;
    if (is_opening)
        connection.entries.insert(entry);
    connection.last_entry = entry;
    this->known_entries.insert(entry);
}

bool promise_checker::are_entries_undisturbed(
    connection_record const& connection, time_point at) const
{
    return std::all_of(connection.entries.begin(), connection.entries.end(),
                       [this, at](std::size_t entry) {
                           return this->disturbances.is_undisturbed(entry, at);
                       });
}

void promise_checker::on_connection_accepted(
    connection_endpoints const& endpoints, back_end_incarnation incarnation,
    time_point at)
{
    auto const found = this->connections.find(endpoints);
    back_end_record const& back_end = this->back_ends.at(incarnation);
    if (found == this->connections.end()) {
        this->report_broken(promise::packets_are_unaltered, at,
                            describe(endpoints) +
                                " was accepted, but no caller opened it");
        return;
    }
    connection_record const& connection = found->second;
    this->check_routes(endpoints, connection, back_end.service, at);
    this->check_leaving(endpoints, connection, back_end, at);
    this->check_evacuation(endpoints, connection, back_end, at);
}

void promise_checker::check_routes(connection_endpoints const& endpoints,
                                   connection_record const& connection,
                                   std::string const& service, time_point at)
{
    if (!this->routes.find_version_allowing(endpoints.service, service, 0)) {
        this->report_broken(
            promise::right_service, at,
            describe(endpoints) +
                " was accepted, but its route never led to service " + service);
        return;
    }
    time_point const sent = connection.first_sent;
    if (!this->are_entries_undisturbed(connection, sent))
        return;
    std::size_t const oldest =
        this->routes.find_newest_at(sent - this->bounds.routes_limit);
    if (this->disturbances.is_store_undisturbed(sent) &&
        !this->routes.find_version_allowing(endpoints.service, service, oldest))
        this->report_broken(promise::routes_in_force, at,
                            describe(endpoints) + " was placed at " + service +
                                " by entry " +
                                std::to_string(connection.last_entry) +
                                ", which no version since " +
                                std::to_string(oldest) + " allows");
    this->check_versions(endpoints, connection, service, at);
}

// The connections that an entry places reveal the version that it uses, which
// must not decrease. A connection whose opening packets went through several
// entries reveals nothing about either.
void promise_checker::check_versions(connection_endpoints const& endpoints,
                                     connection_record const& connection,
                                     std::string const& service, time_point at)
{
    if (connection.entries.size() != 1)
        return;
    entry_record& entry = this->entries[*connection.entries.begin()];
    if (connection.first_sent <= entry.seen_at + this->bounds.version_overlap)
        return;
    std::optional<std::size_t> const shown = this->routes.find_version_allowing(
        endpoints.service, service, entry.version);
    if (!shown)
        this->report_broken(
            promise::routes_never_back, at,
            describe(endpoints) + " was placed at " + service + " by entry " +
                std::to_string(*connection.entries.begin()) + ", " +
                describe_delay(entry.seen_at, connection.first_sent) +
                " it used version " + std::to_string(entry.version));
    else if (*shown > entry.version)
        entry = {*shown, at};
}

void promise_checker::check_leaving(connection_endpoints const& endpoints,
                                    connection_record const& connection,
                                    back_end_record const& back_end,
                                    time_point at)
{
    if (!back_end.leaving_at ||
        at <= *back_end.leaving_at + this->bounds.leaving_limit)
        return;
    time_point const first =
        std::min(*back_end.leaving_at, connection.first_sent);
    if (this->are_entries_undisturbed(connection, connection.first_sent) &&
        this->disturbances.is_free_of_faults(back_end.machine, at) &&
        this->disturbances.is_store_undisturbed(first))
        this->report_broken(promise::leaving_admits_nothing, at,
                            describe(endpoints) + " was accepted at machine " +
                                std::to_string(back_end.machine) + ", " +
                                describe_delay(*back_end.leaving_at, at) +
                                " it began to leave");
}

bool promise_checker::can_read_changes(std::size_t entry, time_point at) const
{
    return this->disturbances.is_in_contact(entry, at) &&
           std::any_of(this->known_entries.begin(), this->known_entries.end(),
                       [this, at](std::size_t reader) {
                           return this->disturbances.is_undisturbed(reader, at);
                       });
}

// The entries must have read changes for the settling time, which is longer
// than the limit.
void promise_checker::check_evacuation(connection_endpoints const& endpoints,
                                       connection_record const& connection,
                                       back_end_record const& back_end,
                                       time_point at)
{
    auto const found = this->evacuated_since.find(back_end.data_centre);
    if (found == this->evacuated_since.end() ||
        at <= found->second + this->bounds.evacuation_limit)
        return;
    if (std::all_of(connection.entries.begin(), connection.entries.end(),
                    [this, at](std::size_t entry) {
                        return this->can_read_changes(entry, at);
                    }) &&
        this->disturbances.is_free_of_faults(back_end.machine, at) &&
        this->disturbances.is_store_undisturbed(at))
        this->report_broken(promise::evacuated_admits_nothing, at,
                            describe(endpoints) + ", sent by entry " +
                                std::to_string(connection.last_entry) +
                                ", was accepted at machine " +
                                std::to_string(back_end.machine) + " in " +
                                back_end.data_centre + ", " +
                                describe_delay(found->second, at) +
                                " its evacuation");
}

void promise_checker::on_connection_opened(
    connection_endpoints const& endpoints, back_end_incarnation incarnation,
    time_point at)
{
    connection_record& connection = this->connections[endpoints];
    connection.holder = incarnation;
    connection.opened_at = at;
    connection.misrouted_count = 0;
}

void promise_checker::on_packet_delivered(connection_endpoints const& endpoints,
                                          back_end_incarnation incarnation,
                                          time_point)
{
    connection_record& connection = this->connections[endpoints];
    if (connection.holder == incarnation)
        connection.misrouted_count = 0;
}

promise_checker::back_end_record const*
promise_checker::find_holder(connection_record const& connection) const
{
    if (!connection.holder || connection.is_closed)
        return nullptr;
    back_end_record const& holder = this->back_ends.at(*connection.holder);
    return holder.is_alive ? &holder : nullptr;
}

void promise_checker::on_packet_misrouted(connection_endpoints const& endpoints,
                                          time_point at)
{
    connection_record& connection = this->connections[endpoints];
    back_end_record const* const holder = this->find_holder(connection);
    if (holder == nullptr)
        return;
    // Packets count only while the machines involved are free of faults.
    if (!this->disturbances.is_free_of_faults(holder->machine, at) ||
        !this->disturbances.is_free_of_faults(connection.last_entry, at)) {
        connection.misrouted_count = 0;
        return;
    }
    if (++connection.misrouted_count == 1)
        connection.misrouted_since = at;
    duration const lasted = at - connection.misrouted_since;
    if (connection.misrouted_count >= min_misrouted_packets &&
        lasted >= this->bounds.misrouted_limit)
        this->report_broken(promise::packets_find_their_own, at,
                            describe(endpoints) + ": " +
                                std::to_string(connection.misrouted_count) +
                                " packets in " + std::to_string(lasted / 1ms) +
                                " ms, none of them delivered to machine " +
                                std::to_string(holder->machine));
}

void promise_checker::on_connection_reset(connection_endpoints const& endpoints,
                                          std::size_t machine, time_point at)
{
    connection_record const& connection = this->connections[endpoints];
    back_end_record const* const holder = this->find_holder(connection);
    this->reset_count += connection.holder && !connection.is_closed;
    if (holder == nullptr ||
        at - connection.opened_at > this->bounds.max_connection_age ||
        !this->routes.is_present_since(endpoints.service, connection.opened_at))
        return;
    if (this->disturbances.is_free_of_faults(holder->machine, at) &&
        this->disturbances.is_free_of_faults(connection.last_entry, at) &&
        this->disturbances.is_free_of_faults(machine, at))
        this->report_broken(promise::open_connections_stay, at,
                            describe(endpoints) + ", open at machine " +
                                std::to_string(holder->machine) +
                                ", was reset by machine " +
                                std::to_string(machine));
}

void promise_checker::on_connection_closed(
    connection_endpoints const& endpoints)
{
    this->connections[endpoints].is_closed = true;
}

void promise_checker::on_packet_altered(connection_endpoints const& endpoints,
                                        time_point at)
{
    this->report_broken(promise::packets_are_unaltered, at,
                        describe(endpoints));
}

// ---- requests -----------------------------------------------------------

void promise_checker::on_request_run(request_key const& key, bool is_idempotent,
                                     time_point at)
{
    request_record& record = this->requests[key.request];
    ++record.run_count;
    record.run_attempts.insert(key.attempt);
    if (!is_idempotent && record.run_count > 1)
        this->report_broken(promise::runs_once, at, to_text(key));
    if (record.refused_attempts.contains(key.attempt))
        this->report_broken(promise::refusals_are_true, at,
                            to_text(key) + " ran after it was refused");
}

void promise_checker::on_request_refused(request_key const& key, time_point at)
{
    request_record& record = this->requests[key.request];
    record.refused_attempts.insert(key.attempt);
    if (record.run_attempts.contains(key.attempt))
        this->report_broken(promise::refusals_are_true, at,
                            to_text(key) + " was refused after it ran");
}

void promise_checker::on_request_answered(request_key const& key,
                                          bool is_complete, time_point at)
{
    if (!is_complete)
        this->report_broken(promise::answers_are_whole, at, to_text(key));
}

void promise_checker::on_request_ended(time_point requested_at, bool is_served)
{
    ++(is_served ? this->served_count : this->failed_count);
    if (!this->restarted_at)
        return;
    time_point const from = *this->restarted_at + this->bounds.recovery_limit;
    if (requested_at < from ||
        requested_at >= from + this->bounds.recovery_window)
        return;
    ++this->window_request_count;
    this->window_served_count += is_served;
}

// ---- results ------------------------------------------------------------

void promise_checker::finish(time_point at)
{
    if (!this->restarted_at || at < *this->restarted_at +
                                        this->bounds.recovery_limit +
                                        this->bounds.recovery_window)
        return;
    double const share =
        this->window_request_count == 0
            ? 0
            : static_cast<double>(this->window_served_count) /
                  static_cast<double>(this->window_request_count);
    if (share < this->bounds.min_served_share)
        this->report_broken(promise::back_in_time, at,
                            std::to_string(this->window_served_count) + " of " +
                                std::to_string(this->window_request_count) +
                                " served");
}

std::vector<broken_promise> const& promise_checker::broken_promises() const
{
    return this->broken;
}

std::size_t promise_checker::get_served_count() const
{
    return this->served_count;
}

std::size_t promise_checker::get_failed_count() const
{
    return this->failed_count;
}

std::size_t promise_checker::get_reset_count() const
{
    return this->reset_count;
}

}  // namespace lagoon::soak
