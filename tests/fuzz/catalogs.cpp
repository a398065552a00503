// Configurations that entries read from the platform and from each other, in any
// order and from any state, while the platform reverts to older copies. Whatever
// an entry has adopted is what was published: nothing that was removed is back,
// and nothing is missing. The version of the routes never falls, and in the end
// all entries agree.

#include "catalog/published.hpp"
#include "catalog/store_position.hpp"
#include "fuzzing.hpp"

using namespace lagoon;
using namespace lagoon::fuzzing;

namespace {

constexpr std::size_t entry_count = 3;
constexpr std::size_t max_steps = 200;

// Keys and routes of the platform, and what they were at each revision of each
// era.
class platform_history
{
public:
    platform_history()
    {
        this->record();
    }

    void change(FuzzedDataProvider& choices)
    {
        auto const id = choices.ConsumeIntegralInRange<std::uint8_t>(0, 7);
        if (choices.ConsumeBool())
            this->keys.erase(id);
        else
            this->keys[id] = this->make_target(choices);
        if (choices.ConsumeBool())
            this->route_services[id % 4] =
                choices.ConsumeIntegralInRange<std::uint8_t>(0, 3);
        this->record();
    }

    // Goes back to an older copy. The operator writes the lost versions of the
    // routes again with the same contents.
    void revert(FuzzedDataProvider& choices)
    {
        auto const kept =
            choices.ConsumeIntegralInRange<std::size_t>(1, this->latest());
        std::vector<version> copy = this->eras.back();
        copy.resize(kept);
        this->keys = copy.back().keys;
        this->eras.push_back(std::move(copy));
    }

    std::uint64_t latest_era() const
    {
        return this->eras.size() - 1;
    }

    std::uint64_t latest() const
    {
        return this->eras.back().size();
    }

    published_routes const& find_routes(std::uint64_t number) const
    {
        return this->routes.at(number - 1);
    }

    // All that was published until a position, or the changes since an earlier
    // revision of its era.
    published_update read(std::uint64_t since, store_position until) const
    {
        std::vector<version> const& versions = this->eras.at(until.era);
        version const& now = versions.at(until.revision - 1);
        failure error;
        published_update update{*make_generation(until, error),
                                since == 0,
                                {},
                                this->find_routes(now.routes)};
        for (auto const& [id, target] : now.keys)
            update.keys.push_back({std::to_string(id), target});
        if (since > 0)
            for (auto const& [id, target] : versions.at(since - 1).keys)
                if (!now.keys.contains(id))
                    update.keys.push_back({std::to_string(id), std::nullopt});
        return update;
    }

private:
    struct version
    {
        std::map<std::uint8_t, published_target> keys = {};
        std::uint64_t routes = 0;  // version
    };

    static std::string service_name(std::uint8_t number)
    {
        return "service-" + std::to_string(number);
    }

    published_target make_target(FuzzedDataProvider& choices)
    {
        auto const service = choices.ConsumeIntegralInRange<std::uint8_t>(0, 3);
        peer_address const address{
            choices.ConsumeIntegralInRange<std::uint32_t>(1, 4), 80};
        return {service_name(service),
                "z",
                address,
                address,
                choices.ConsumeIntegralInRange<std::uint32_t>(1, 3),
                choices.ConsumeIntegralInRange<std::uint64_t>(1, 3),
                {++this->created},
                choices.ConsumeBool() ? target_state::leaving
                                      : target_state::serving};
    }

    void record()
    {
        std::vector<version>& versions = this->eras.back();
        std::uint64_t const number = versions.size() + 1;
        if (number > this->routes.size())
            this->record_routes(number);
        versions.push_back({this->keys, number});
    }

    void record_routes(std::uint64_t number)
    {
        published_routes next{number, {}, std::chrono::seconds{15}, {}};
        for (auto const& [id, service] : this->route_services) {
            next.services.push_back(service_name(service));
            next.routes.push_back(
                {{1, static_cast<std::uint16_t>(id + 1)},
                 {{make_service_id(service_name(service)), 1}}});
        }
        this->routes.push_back(next);
    }

    std::map<std::uint8_t, published_target> keys = {};
    std::map<std::uint8_t, std::uint8_t> route_services = {};
    std::uint64_t created = 0;
    std::vector<published_routes> routes = {};  // by version
    std::vector<std::vector<version>> eras{1};
};

struct reading_entry
{
    published_catalog published = {};
    catalog config = {};
};

// The content of a catalog, without when its parts have changed.
std::vector<service_part> list_parts(catalog const& from)
{
    std::vector<service_part> parts;
    for (auto const& [id, part] : from.services())
        if (!part.targets.empty()) {
            parts.push_back(part);
            parts.back().changed_at = {};
        }
    return parts;
}

void check_content(catalog const& config, platform_history const& history)
{
    catalog expected;
    published_catalog published;
    store_position const position = find_position(config.version().number);
    failure error;
    std::optional<catalog_change> const change =
        published.apply(history.read(0, position), {});
    require(change && expected.adopt(*change, error),
            "what was published can be adopted");
    require(list_parts(config) == list_parts(expected),
            "the targets are those that were published");
    std::uint64_t const version = config.routes().version;
    require(version >= expected.routes().version,
            "the routes are at least those that were published");
    require(config.routes().routes == history.find_routes(version).routes,
            "the routes are those of one version");
}

bool try_adopt(reading_entry& entry, catalog_change const& change,
               platform_history const& history)
{
    failure error;
    std::uint64_t const version = entry.config.routes().version;
    bool const is_adopted = entry.config.adopt(change, error).has_value();
    require(entry.config.routes().version >= version,
            "the version of the routes never falls");
    if (is_adopted)
        check_content(entry.config, history);
    return is_adopted || error.cause == reason::stale;
}

// Reads from the platform, which may answer with an older state.
void read_platform(reading_entry& entry, platform_history const& history,
                   FuzzedDataProvider& choices)
{
    store_position const known =
        find_position(entry.published.current_revision());
    if (known.era < history.latest_era())
        entry.published.reset();
    entry.published.keep_routes(entry.config.routes());
    std::uint64_t const since =
        find_position(entry.published.current_revision()).revision;
    std::uint64_t const until = choices.ConsumeIntegralInRange<std::uint64_t>(
        std::max<std::uint64_t>(since, 1), history.latest());
    if (until <= since)
        return;
    std::optional<catalog_change> const change = entry.published.apply(
        history.read(since, {history.latest_era(), until}),
        entry.config.version().number);
    require(change.has_value(), "a read gives a change");
    require(try_adopt(entry, *change, history),
            "a change that was read can be adopted");
}

void ask_peer(reading_entry& entry, reading_entry const& peer,
              platform_history const& history)
{
    if (peer.config.version().number == generation{})
        return;
    bool const is_adopted = try_adopt(
        entry, peer.config.changes_since(entry.config.version().number),
        history);
    require(is_adopted ||
                try_adopt(entry, peer.config.changes_since({}), history),
            "all that a peer has can be adopted");
}

// Every entry reads the whole store; then they exchange what they have.
void check_agreement(std::vector<reading_entry>& entries,
                     platform_history const& history)
{
    for (reading_entry& entry : entries) {
        entry.published.reset();
        entry.published.keep_routes(entry.config.routes());
        std::optional<catalog_change> const change = entry.published.apply(
            history.read(0, {history.latest_era(), history.latest()}), {});
        require(change && try_adopt(entry, *change, history),
                "the whole store can be adopted");
    }
    for (std::size_t i = 0; i < 2 * entry_count; ++i)
        ask_peer(entries[i % entry_count], entries[(i + 1) % entry_count],
                 history);
    for (reading_entry const& entry : entries)
        require(entry.config.version() == entries[0].config.version(),
                "all entries agree in the end");
}

}  // namespace

void lagoon::fuzzing::run_one(std::string_view input)
{
    FuzzedDataProvider choices = make_choices(input);
    platform_history history;
    std::vector<reading_entry> entries(entry_count);
    for (std::size_t i = 0; i < max_steps && choices.remaining_bytes() > 0;
         ++i) {
        auto const kind = choices.ConsumeIntegralInRange<std::uint8_t>(0, 8);
        std::size_t const index =
            choices.ConsumeIntegralInRange<std::size_t>(0, entry_count - 1);
        if (kind < 3)
            history.change(choices);
        else if (kind < 5)
            read_platform(entries[index], history, choices);
        else if (kind < 7)
            ask_peer(entries[index], entries[(index + 1) % entry_count],
                     history);
        else if (kind < 8)
            entries[index] = {};
        else
            history.revert(choices);
    }
    check_agreement(entries, history);
}
