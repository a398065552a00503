#include "documents/reader.hpp"

namespace lagoon {

namespace {

constexpr std::string_view head_path = "/v1/head";
constexpr std::string_view watch_path = "/v1/watch";
constexpr std::string_view index_path = "/v1/index";
constexpr std::string_view fleet_path = "/v1/fleet";
constexpr std::string_view parts_path = "/v1/parts/";

std::string make_path(part_change const& change)
{
    if (change.name.empty())
        return std::string{fleet_path};
    return std::string{parts_path} + change.name;
}

}  // namespace

documents_reader::documents_reader(peer_address platform) : platform(platform)
{
}

reader_actions documents_reader::fail_read(reason cause,
                                           std::string const& detail)
{
    this->is_reading = false;
    return {change_unavailable{
        change_source::platform,
        {step::read_platform, cause, this->platform, detail}}};
}

reader_actions documents_reader::begin(read_platform const& read)
{
    this->is_reading = true;
    this->timeout = read.timeout;
    this->since = read.since;
    this->pending.clear();
    this->queued.clear();
    this->parts.clear();
    this->removed.clear();
    this->fleet.reset();
    std::string const path =
        read.is_watch
            ? std::string{watch_path} +
                  "?after=" + std::to_string(read.since.value) + "&wait_ms=" +
                  std::to_string(read.watch_duration /
                                 std::chrono::milliseconds{1})
            : std::string{head_path};
    this->pending.insert(path);
    return {fetch_key{path, read.watch_duration + read.timeout}};
}

reader_actions documents_reader::handle_response(std::string const& path,
                                                 key_response const& response)
{
    if (!this->is_reading || this->pending.erase(path) == 0)
        return {};
    if (response.status != http_ok)
        return this->fail_read(reason::unreachable,
                               "no successful response for " + path);
    if (path.starts_with(head_path) || path.starts_with(watch_path))
        return this->handle_head(response.text);
    if (path == index_path)
        return this->handle_index(response.text);
    return this->handle_part(path, response.text);
}

reader_actions documents_reader::handle_head(std::string const& text)
{
    json_checker checker{"head"};
    std::optional<platform_head> const head = parse_head(checker, text);
    if (!head)
        return this->fail_read(reason::malformed,
                               to_text(checker.problems()[0]));
    this->offered_version = head->version;
    if (head->version.number <= this->since) {
        this->is_reading = false;
        return {change_received{change_source::platform, {}, std::nullopt}};
    }
    if (this->since == generation{} || this->since < head->reaches_back) {
        this->pending.insert(std::string{index_path});
        return {fetch_key{std::string{index_path}, this->timeout}};
    }
    return this->request_parts(head->recent);
}

reader_actions documents_reader::handle_index(std::string const& text)
{
    json_checker checker{"index"};
    std::optional<platform_index> const index = parse_index(checker, text);
    if (!index)
        return this->fail_read(reason::malformed,
                               to_text(checker.problems()[0]));
    this->offered_version = index->version;
    return this->request_parts(index->parts);
}

reader_actions
documents_reader::request_parts(std::vector<part_change> const& changes)
{
    std::map<std::string, part_change> latest;
    for (part_change const& change : changes) {
        if (change.changed_at <= this->since)
            continue;
        part_change& known = latest[change.name];
        known = std::max(known, change);
    }
    for (auto const& [name, change] : latest) {
        if (change.is_removed) {
            this->removed.push_back(make_service_id(name));
            continue;
        }
        this->queued.push_back(make_path(change));
    }
    return this->request_next();
}

reader_actions documents_reader::request_next()
{
    reader_actions actions;
    while (!this->queued.empty() &&
           this->pending.size() < max_concurrent_keys) {
        std::string const path = this->queued.front();
        this->queued.pop_front();
        this->pending.insert(path);
        actions.push_back(fetch_key{path, this->timeout});
    }
    return this->pending.empty() ? this->finish() : actions;
}

reader_actions documents_reader::handle_part(std::string const& path,
                                             std::string const& text)
{
    json_checker checker{path};
    if (path == fleet_path)
        this->fleet = parse_fleet(checker, text);
    else if (std::optional<service_part> const part =
                 parse_service(checker, text))
        this->parts.push_back(*part);
    if (!checker.problems().empty())
        return this->fail_read(reason::malformed,
                               to_text(checker.problems()[0]));
    return this->request_next();
}

reader_actions documents_reader::finish()
{
    this->is_reading = false;
    return {change_received{
        change_source::platform,
        {},
        catalog_change{this->since, this->offered_version.number,
                       this->offered_version.content, this->parts,
                       this->removed, this->fleet}}};
}

}  // namespace lagoon
