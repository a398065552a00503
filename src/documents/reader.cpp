#include "documents/reader.hpp"

namespace lagoon {

namespace {

constexpr std::string_view head_path = "/v1/head";
constexpr std::string_view watch_path = "/v1/watch";
constexpr std::string_view index_path = "/v1/index";
constexpr std::string_view fleet_path = "/v1/fleet";
constexpr std::string_view parts_path = "/v1/parts/";

std::string path_of(part_change const& change)
{
    if (change.name.empty())
        return std::string{fleet_path};
    return std::string{parts_path} + change.name;
}

}  // namespace

documents_reader::documents_reader(peer_address platform) : platform(platform)
{
}

reader_steps documents_reader::miss(reason why, std::string const& detail)
{
    this->busy = false;
    return {change_missed{change_source::platform,
                          {step::read_platform, why, this->platform, detail}}};
}

reader_steps documents_reader::begin(read_platform const& what)
{
    this->busy = true;
    this->timeout = what.timeout;
    this->since = what.since;
    this->missing.clear();
    this->queued.clear();
    this->parts.clear();
    this->removed.clear();
    this->fleet.reset();
    std::string const path =
        what.watch
            ? std::string{watch_path} +
                  "?after=" + std::to_string(what.since.value) + "&wait_ms=" +
                  std::to_string(what.lifetime / std::chrono::milliseconds{1})
            : std::string{head_path};
    this->missing.insert(path);
    return {ask_key{path, what.lifetime + what.timeout}};
}

reader_steps documents_reader::answer(std::string const& path,
                                      key_answer const& what)
{
    if (!this->busy || this->missing.erase(path) == 0)
        return {};
    if (what.status != status_good)
        return this->miss(reason::unreachable, "no answer for " + path);
    if (path.starts_with(head_path) || path.starts_with(watch_path))
        return this->take_head(what.text);
    if (path == index_path)
        return this->take_index(what.text);
    return this->take_part(path, what.text);
}

reader_steps documents_reader::take_head(std::string const& text)
{
    json_checker checker{"head"};
    std::optional<platform_head> const head = parse_head(checker, text);
    if (!head)
        return this->miss(reason::malformed, to_text(checker.problems()[0]));
    this->offered = head->version;
    if (head->version.number <= this->since) {
        this->busy = false;
        return {change_arrived{change_source::platform, {}, std::nullopt}};
    }
    if (this->since == generation{} || this->since < head->reaches_back) {
        this->missing.insert(std::string{index_path});
        return {ask_key{std::string{index_path}, this->timeout}};
    }
    return this->ask_parts(head->recent);
}

reader_steps documents_reader::take_index(std::string const& text)
{
    json_checker checker{"index"};
    std::optional<platform_index> const index = parse_index(checker, text);
    if (!index)
        return this->miss(reason::malformed, to_text(checker.problems()[0]));
    this->offered = index->version;
    return this->ask_parts(index->parts);
}

reader_steps
documents_reader::ask_parts(std::vector<part_change> const& changes)
{
    std::map<std::string, part_change> latest;
    for (part_change const& change : changes) {
        if (change.at <= this->since)
            continue;
        part_change& known = latest[change.name];
        known = std::max(known, change);
    }
    for (auto const& [name, change] : latest) {
        if (change.removed) {
            this->removed.push_back(service_named(name));
            continue;
        }
        this->queued.push_back(path_of(change));
    }
    return this->ask_more();
}

reader_steps documents_reader::ask_more()
{
    reader_steps steps;
    while (!this->queued.empty() && this->missing.size() < keys_at_once) {
        std::string const path = this->queued.front();
        this->queued.pop_front();
        this->missing.insert(path);
        steps.push_back(ask_key{path, this->timeout});
    }
    return this->missing.empty() ? this->finish_if_whole() : steps;
}

reader_steps documents_reader::take_part(std::string const& path,
                                         std::string const& text)
{
    json_checker checker{path};
    if (path == fleet_path)
        this->fleet = parse_fleet(checker, text);
    else if (std::optional<service_part> const part =
                 parse_service(checker, text))
        this->parts.push_back(*part);
    if (!checker.problems().empty())
        return this->miss(reason::malformed, to_text(checker.problems()[0]));
    return this->ask_more();
}

reader_steps documents_reader::finish_if_whole()
{
    this->busy = false;
    return {change_arrived{change_source::platform,
                           {},
                           catalog_change{this->since, this->offered.number,
                                          this->offered.content, this->parts,
                                          this->removed, this->fleet}}};
}

}  // namespace lagoon
