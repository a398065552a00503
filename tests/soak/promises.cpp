#include "promises.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace lagoon::soak {

namespace {

constexpr std::size_t most_found = 100;  // broken promises kept
constexpr std::size_t strays_to_count = 3;

std::string name_of(connection_endpoints const& endpoints)
{
    return to_text(endpoints.caller) + " to " + to_text(endpoints.service);
}

std::string after(time_point since, time_point at)
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
              "routes_in_force",
              "routes_never_back",
              "back_in_time",
              "stops_in_time",
              "stays_up"};
    return names.at(static_cast<std::size_t>(value));
}

std::string to_text(request_key const& key)
{
    return "q" + std::to_string(key.wish) + "." + std::to_string(key.attempt);
}

std::optional<request_key> parse_request_key(std::string const& text)
{
    request_key key;
    char const* const end = text.data() + text.size();
    if (!text.starts_with("q"))
        return std::nullopt;
    auto const [dot, error] = std::from_chars(text.data() + 1, end, key.wish);
    if (error != std::errc{} || dot == end || *dot != '.')
        return std::nullopt;
    auto const [last, wrong] = std::from_chars(dot + 1, end, key.attempt);
    if (wrong != std::errc{} || last != end)
        return std::nullopt;
    return key;
}

// ---- calm_record --------------------------------------------------------

void calm_record::disturb(std::size_t machine, disturbance how, time_point upto)
{
    auto& ends = how == disturbance::planned ? this->planned : this->unplanned;
    ends[machine] = std::max(ends[machine], upto);
}

void calm_record::disturb_store(time_point upto)
{
    this->store = std::max(this->store, upto);
}

bool calm_record::is_past(time_point upto, time_point at) const
{
    return upto == time_point{} || upto + this->contact <= at;
}

bool calm_record::is_unharmed(std::size_t machine, time_point at) const
{
    auto const found = this->unplanned.find(machine);
    return found == this->unplanned.end() || this->is_past(found->second, at);
}

bool calm_record::is_calm(std::size_t machine, time_point at) const
{
    auto const found = this->planned.find(machine);
    return this->is_unharmed(machine, at) &&
           (found == this->planned.end() || this->is_past(found->second, at));
}

bool calm_record::is_store_calm(time_point at) const
{
    return this->is_past(this->store, at);
}

// ---- route_history ------------------------------------------------------

void route_history::add(route_version version)
{
    this->versions.push_back(std::move(version));
}

std::optional<std::size_t>
route_history::first_that_allows(peer_address route, std::string const& service,
                                 std::size_t from) const
{
    for (std::size_t i = from; i < this->versions.size(); ++i) {
        auto const& services = this->versions[i].services;
        auto const found = services.find(route);
        if (found != services.end() && found->second.contains(service))
            return i;
    }
    return std::nullopt;
}

std::size_t route_history::newest_at(time_point time) const
{
    std::size_t newest = 0;
    for (std::size_t i = 0; i < this->versions.size(); ++i)
        if (this->versions[i].acked <= time)
            newest = i;
    return newest;
}

bool route_history::kept(peer_address route, time_point since) const
{
    for (std::size_t i = this->newest_at(since); i < this->versions.size(); ++i)
        if (!this->versions[i].services.contains(route))
            return false;
    return true;
}

// ---- what was done ------------------------------------------------------

promise_book::promise_book(promise_bounds bounds)
    : bounds(bounds), calm(bounds.contact)
{
}

void promise_book::breaks(promise what, time_point at, std::string detail)
{
    if (this->found.size() < most_found)
        this->found.push_back({what, at, std::move(detail)});
}

void promise_book::disturb(std::size_t machine, disturbance how,
                           time_point upto)
{
    this->calm.disturb(machine, how, upto);
}

void promise_book::disturb_store(time_point upto)
{
    this->calm.disturb_store(upto);
}

void promise_book::process_started(std::size_t machine)
{
    this->entries.erase(machine);
}

void promise_book::process_ended(std::size_t machine, std::string const& how,
                                 time_point at)
{
    this->breaks(promise::stays_up, at,
                 "process of machine " + std::to_string(machine) +
                     " ended by itself: " + how);
}

void promise_book::process_stopped(std::size_t machine, duration took,
                                   time_point at)
{
    if (took > this->bounds.stop && this->calm.is_unharmed(machine, at))
        this->breaks(promise::stops_in_time, at,
                     "machine " + std::to_string(machine) + " took " +
                         std::to_string(took / 1ms) + " ms to stop");
}

void promise_book::killed_all(time_point back_at)
{
    this->back_at = back_at;
}

void promise_book::stalled(std::size_t machines, time_point now)
{
    this->disturb_store(now);
    for (std::size_t i = 0; i < machines; ++i)
        this->disturb(i, disturbance::unplanned, now);
    if (this->back_at)
        this->back_at = std::max(*this->back_at, now);
}

void promise_book::routes_stored(route_version version)
{
    this->routes.add(std::move(version));
}

// ---- back ends ----------------------------------------------------------

void promise_book::back_end_started(back_end_life life, std::size_t machine,
                                    std::string const& service)
{
    this->back_ends[life] = {machine, service, std::nullopt, true};
}

void promise_book::back_end_leaves(back_end_life life, time_point acked)
{
    this->back_ends.at(life).leaves = acked;
}

void promise_book::back_end_gone(back_end_life life)
{
    this->back_ends.at(life).lives = false;
}

// ---- connections --------------------------------------------------------

void promise_book::sent(connection_endpoints const& endpoints,
                        std::size_t entry, bool opens, time_point at)
{
    connection_record& connection = this->connections[endpoints];
    if (connection.first_sent == time_point{})
        connection.first_sent = at;
    if (opens)
        connection.entries.insert(entry);
    connection.last_entry = entry;
}

bool promise_book::entries_calm(connection_record const& connection,
                                time_point at) const
{
    return std::all_of(connection.entries.begin(), connection.entries.end(),
                       [this, at](std::size_t entry) {
                           return this->calm.is_calm(entry, at);
                       });
}

void promise_book::accepted(connection_endpoints const& endpoints,
                            back_end_life by, time_point at)
{
    auto const found = this->connections.find(endpoints);
    back_end_record const& back_end = this->back_ends.at(by);
    if (found == this->connections.end()) {
        this->breaks(promise::packets_are_unaltered, at,
                     name_of(endpoints) + " was opened by nobody");
        return;
    }
    connection_record const& connection = found->second;
    this->judge_routes(endpoints, connection, back_end.service, at);
    this->judge_leaving(endpoints, connection, back_end, at);
}

void promise_book::judge_routes(connection_endpoints const& endpoints,
                                connection_record const& connection,
                                std::string const& service, time_point at)
{
    if (!this->routes.first_that_allows(endpoints.service, service, 0)) {
        this->breaks(promise::right_service, at,
                     name_of(endpoints) + " at a back end of " + service);
        return;
    }
    time_point const sent = connection.first_sent;
    if (!this->entries_calm(connection, sent))
        return;
    std::size_t const least =
        this->routes.newest_at(sent - this->bounds.routes);
    if (this->calm.is_store_calm(sent) &&
        !this->routes.first_that_allows(endpoints.service, service, least))
        this->breaks(promise::routes_in_force, at,
                     name_of(endpoints) + " at " + service + " by entry " +
                         std::to_string(connection.last_entry) +
                         ", as no version from " + std::to_string(least) +
                         " on allows");
    this->judge_versions(endpoints, connection, service, at);
}

// What an entry does shows versions one after the other. An opening packet
// that several entries got shows nothing of any one.
void promise_book::judge_versions(connection_endpoints const& endpoints,
                                  connection_record const& connection,
                                  std::string const& service, time_point at)
{
    if (connection.entries.size() != 1)
        return;
    entry_record& entry = this->entries[*connection.entries.begin()];
    if (connection.first_sent <= entry.seen + this->bounds.rollback)
        return;
    std::optional<std::size_t> const shown = this->routes.first_that_allows(
        endpoints.service, service, entry.version);
    if (!shown)
        this->breaks(promise::routes_never_back, at,
                     name_of(endpoints) + " at " + service + " by entry " +
                         std::to_string(*connection.entries.begin()) + ", " +
                         after(entry.seen, connection.first_sent) +
                         " version " + std::to_string(entry.version));
    else if (*shown > entry.version)
        entry = {*shown, at};
}

void promise_book::judge_leaving(connection_endpoints const& endpoints,
                                 connection_record const& connection,
                                 back_end_record const& by, time_point at)
{
    if (!by.leaves || at <= *by.leaves + this->bounds.leaving)
        return;
    time_point const first = std::min(*by.leaves, connection.first_sent);
    if (this->entries_calm(connection, connection.first_sent) &&
        this->calm.is_unharmed(by.machine, at) &&
        this->calm.is_store_calm(first))
        this->breaks(promise::leaving_admits_nothing, at,
                     name_of(endpoints) + " at machine " +
                         std::to_string(by.machine) + ", " +
                         after(*by.leaves, at) + " it said that it leaves");
}

void promise_book::opened(connection_endpoints const& endpoints,
                          back_end_life by, time_point at)
{
    connection_record& connection = this->connections[endpoints];
    connection.holder = by;
    connection.opened_at = at;
    connection.strays = 0;
}

void promise_book::reached(connection_endpoints const& endpoints,
                           back_end_life by, time_point)
{
    connection_record& connection = this->connections[endpoints];
    if (connection.holder == by)
        connection.strays = 0;
}

promise_book::back_end_record const*
promise_book::holder_of(connection_record const& connection) const
{
    if (!connection.holder || connection.over)
        return nullptr;
    back_end_record const& holder = this->back_ends.at(*connection.holder);
    return holder.lives ? &holder : nullptr;
}

void promise_book::strayed(connection_endpoints const& endpoints, time_point at)
{
    connection_record& connection = this->connections[endpoints];
    back_end_record const* const holder = this->holder_of(connection);
    if (holder == nullptr)
        return;
    // Only those count that machines in touch have sent astray.
    if (!this->calm.is_unharmed(holder->machine, at) ||
        !this->calm.is_unharmed(connection.last_entry, at)) {
        connection.strays = 0;
        return;
    }
    if (++connection.strays == 1)
        connection.astray_since = at;
    duration const lasted = at - connection.astray_since;
    if (connection.strays >= strays_to_count && lasted >= this->bounds.astray)
        this->breaks(
            promise::packets_find_their_own, at,
            name_of(endpoints) + ": " + std::to_string(connection.strays) +
                " packets in " + std::to_string(lasted / 1ms) +
                " ms, none at machine " + std::to_string(holder->machine));
}

void promise_book::reset(connection_endpoints const& endpoints, std::size_t by,
                         time_point at)
{
    connection_record const& connection = this->connections[endpoints];
    back_end_record const* const holder = this->holder_of(connection);
    this->count_cut += connection.holder && !connection.over;
    if (holder == nullptr ||
        at - connection.opened_at > this->bounds.longest_connection ||
        !this->routes.kept(endpoints.service, connection.opened_at))
        return;
    if (this->calm.is_unharmed(holder->machine, at) &&
        this->calm.is_unharmed(connection.last_entry, at) &&
        this->calm.is_unharmed(by, at))
        this->breaks(promise::open_connections_stay, at,
                     name_of(endpoints) + ", open at machine " +
                         std::to_string(holder->machine) +
                         ", was reset by machine " + std::to_string(by));
}

void promise_book::closed(connection_endpoints const& endpoints)
{
    this->connections[endpoints].over = true;
}

void promise_book::altered(connection_endpoints const& endpoints, time_point at)
{
    this->breaks(promise::packets_are_unaltered, at, name_of(endpoints));
}

// ---- requests -----------------------------------------------------------

void promise_book::ran(request_key const& which, bool may_repeat, time_point at)
{
    wish_record& wish = this->wishes[which.wish];
    ++wish.runs;
    wish.ran.insert(which.attempt);
    if (!may_repeat && wish.runs > 1)
        this->breaks(promise::runs_once, at, to_text(which));
    if (wish.refused.contains(which.attempt))
        this->breaks(promise::refusals_are_true, at,
                     to_text(which) + " ran after it was refused");
}

void promise_book::told_not_run(request_key const& which, time_point at)
{
    wish_record& wish = this->wishes[which.wish];
    wish.refused.insert(which.attempt);
    if (wish.ran.contains(which.attempt))
        this->breaks(promise::refusals_are_true, at,
                     to_text(which) + " was refused after it ran");
}

void promise_book::answered(request_key const& which, bool is_whole,
                            time_point at)
{
    if (!is_whole)
        this->breaks(promise::answers_are_whole, at, to_text(which));
}

void promise_book::ended(time_point begun, bool is_served)
{
    ++(is_served ? this->count_served : this->count_failed);
    if (!this->back_at)
        return;
    time_point const from = *this->back_at + this->bounds.recovery;
    if (begun < from || begun >= from + this->bounds.recovery_look)
        return;
    ++this->look_begun;
    this->look_served += is_served;
}

// ---- the verdict --------------------------------------------------------

void promise_book::finish(time_point at)
{
    if (!this->back_at || at < *this->back_at + this->bounds.recovery +
                                   this->bounds.recovery_look)
        return;
    double const share = this->look_begun == 0
                             ? 0
                             : static_cast<double>(this->look_served) /
                                   static_cast<double>(this->look_begun);
    if (share < this->bounds.recovered_share)
        this->breaks(promise::back_in_time, at,
                     std::to_string(this->look_served) + " of " +
                         std::to_string(this->look_begun) + " served");
}

std::vector<broken_promise> const& promise_book::broken() const
{
    return this->found;
}

std::size_t promise_book::served() const
{
    return this->count_served;
}

std::size_t promise_book::failed() const
{
    return this->count_failed;
}

std::size_t promise_book::cut() const
{
    return this->count_cut;
}

}  // namespace lagoon::soak
