#include "sheet/sheet.hpp"

#include <boost/tokenizer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <sstream>

namespace lagoon {

namespace {

// ---- rows ---------------------------------------------------------------

enum class column : std::uint8_t
{
    kind,
    service,
    name,
    data_centre,
    address,
    control,
    slots,
    state
};

constexpr std::size_t column_count = 8;
constexpr std::array<char const*, column_count> column_names{
    "kind",    "service", "name",  "data_centre",
    "address", "control", "slots", "state"};
constexpr std::uint32_t max_slots = 100'000;
constexpr std::size_t max_name_length = 100;  // characters

struct sheet_row
{
    std::size_t line = 0;
    std::array<std::string, column_count> fields = {};

    std::string const& at(column which) const
    {
        return this->fields[static_cast<std::size_t>(which)];
    }
};

// Collects the content of the rows and the errors in them.
class sheet_builder
{
public:
    explicit sheet_builder(std::vector<sheet_problem>& problems)
        : problems(problems)
    {
    }

    void read_header(std::string const& line);
    void read_row(std::size_t number, std::string const& line);
    parsed_sheet finish();

private:
    void add_problem(sheet_row const& row, column which,
                     std::string const& expected);
    std::optional<sheet_row> split(std::size_t number, std::string const& line);
    std::string read_name(sheet_row const& row, column which);
    peer_address read_address(sheet_row const& row, column which);
    std::uint32_t read_slots(sheet_row const& row);
    target_state read_state(sheet_row const& row);
    void read_entry(sheet_row const& row);
    void read_target(sheet_row const& row);
    void read_caller(sheet_row const& row);
    void check_hash(sheet_row const& row, column which, std::uint64_t hash);
    void check_unique(sheet_row const& row, std::string const& key);
    void check_target(sheet_row const& row, target_record const& target);

    std::vector<sheet_problem>& problems;
    std::map<std::string, service_part> services = {};
    std::vector<entry_record> entries = {};
    std::map<std::uint64_t, std::string> name_by_hash = {};
    std::map<std::string, peer_address> address_by_target = {};
    std::map<peer_address, std::string> target_by_address = {};
    std::set<std::string> seen_rows = {};  // keys, to detect duplicates
};

void sheet_builder::add_problem(sheet_row const& row, column which,
                                std::string const& expected)
{
    this->problems.push_back({row.line,
                              column_names[static_cast<std::size_t>(which)],
                              row.at(which), expected});
}

// Returns nothing if the line has an invalid escape sequence.
std::optional<std::vector<std::string>> split_fields(std::string const& line)
{
    using separator = boost::escaped_list_separator<char>;
    try {
        boost::tokenizer<separator> const tokens{line,
                                                 separator{'\\', ',', '"'}};
        return std::vector<std::string>{tokens.begin(), tokens.end()};
    } catch (boost::escaped_list_error const&) {
        return std::nullopt;
    }
}

void sheet_builder::read_header(std::string const& line)
{
    std::optional<std::vector<std::string>> const fields = split_fields(line);
    bool const is_valid =
        fields && std::equal(fields->begin(), fields->end(),
                             column_names.begin(), column_names.end());
    if (!is_valid)
        this->problems.push_back(
            {1, "header", line,
             "kind,service,name,data_centre,address,control,slots,state"});
}

std::optional<sheet_row> sheet_builder::split(std::size_t number,
                                              std::string const& line)
{
    std::optional<std::vector<std::string>> const fields = split_fields(line);
    if (!fields) {
        this->problems.push_back(
            {number, "row", line, "valid escape sequences"});
        return std::nullopt;
    }
    if (fields->size() != column_count) {
        this->problems.push_back({number, "row",
                                  std::to_string(fields->size()) + " fields",
                                  std::to_string(column_count) + " fields"});
        return std::nullopt;
    }
    sheet_row row{number, {}};
    std::copy(fields->begin(), fields->end(), row.fields.begin());
    return row;
}

std::string sheet_builder::read_name(sheet_row const& row, column which)
{
    std::string const& name = row.at(which);
    auto const is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    bool const is_valid = !name.empty() && name.size() <= max_name_length &&
                          std::all_of(name.begin(), name.end(), is_allowed);
    if (!is_valid)
        this->add_problem(row, which, "a name of a-z, 0-9 and '-'");
    return name;
}

peer_address sheet_builder::read_address(sheet_row const& row, column which)
{
    std::optional<peer_address> const address = parse_address(row.at(which));
    if (!address)
        this->add_problem(row, which, "an address such as 127.0.0.1:9000");
    return address.value_or(peer_address{});
}

std::uint32_t sheet_builder::read_slots(sheet_row const& row)
{
    std::string const& text = row.at(column::slots);
    std::uint32_t slots = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), slots);
    bool const is_valid = error == std::errc{} &&
                          end == text.data() + text.size() && slots >= 1 &&
                          slots <= max_slots;
    if (!is_valid)
        this->add_problem(row, column::slots,
                          "a whole number from 1 to 100000");
    return slots;
}

target_state sheet_builder::read_state(sheet_row const& row)
{
    std::string const& text = row.at(column::state);
    if (text == "serving")
        return target_state::serving;
    if (text == "joining")
        return target_state::joining;
    if (text != "leaving")
        this->add_problem(row, column::state, "serving, joining or leaving");
    return target_state::leaving;
}

// Identifiers are hashes of names, so two names must not have the same hash.
void sheet_builder::check_hash(sheet_row const& row, column which,
                               std::uint64_t hash)
{
    auto const [existing, is_new] =
        this->name_by_hash.try_emplace(hash, row.at(which));
    if (!is_new && existing->second != row.at(which))
        this->add_problem(row, which,
                          "a name whose hash differs from that of " +
                              existing->second);
}

void sheet_builder::check_unique(sheet_row const& row, std::string const& key)
{
    if (!this->seen_rows.insert(key).second)
        this->add_problem(row, column::name, "a row that is listed once");
}

void sheet_builder::read_entry(sheet_row const& row)
{
    std::string const name = this->read_name(row, column::name);
    std::string const data_centre = this->read_name(row, column::data_centre);
    peer_address const exchange = this->read_address(row, column::address);
    peer_address const control = this->read_address(row, column::control);
    this->check_unique(row, "entry " + name);
    this->check_hash(row, column::name, make_process_id(name).value);
    this->entries.push_back(
        {make_process_id(name), name, data_centre, exchange, control});
}

// A VM has the same address in all services that it belongs to.
void sheet_builder::check_target(sheet_row const& row,
                                 target_record const& target)
{
    auto const [vm, is_new_target] =
        this->address_by_target.try_emplace(target.name, target.address);
    if (!is_new_target && vm->second != target.address)
        this->add_problem(row, column::address,
                          "the address in the other rows of this target, " +
                              to_text(vm->second));
    auto const [owner, is_new_address] =
        this->target_by_address.try_emplace(target.address, target.name);
    if (!is_new_address && owner->second != target.name)
        this->add_problem(row, column::address,
                          "an address other than that of target " +
                              owner->second);
}

void sheet_builder::read_target(sheet_row const& row)
{
    std::string const service = this->read_name(row, column::service);
    std::string const name = this->read_name(row, column::name);
    std::string const data_centre = this->read_name(row, column::data_centre);
    peer_address const address = this->read_address(row, column::address);
    peer_address const control = this->read_address(row, column::control);
    std::uint32_t const slots = this->read_slots(row);
    target_record const target{
        make_target_id(name), name, data_centre, address, control, slots,
        this->read_state(row)};
    this->check_unique(row, "target " + service + " " + name);
    this->check_hash(row, column::name, target.id.value);
    this->check_hash(row, column::service, make_service_id(service).value);
    this->check_target(row, target);
    this->services[service].targets.push_back(target);
}

void sheet_builder::read_caller(sheet_row const& row)
{
    std::string const service = this->read_name(row, column::service);
    std::string const name = this->read_name(row, column::name);
    this->check_unique(row, "caller " + service + " " + name);
    this->check_hash(row, column::name, make_caller_id(name).value);
    this->check_hash(row, column::service, make_service_id(service).value);
    this->services[service].callers.push_back(make_caller_id(name));
}

void sheet_builder::read_row(std::size_t number, std::string const& line)
{
    std::optional<sheet_row> const row = this->split(number, line);
    if (!row)
        return;
    std::string const& kind = row->at(column::kind);
    if (kind == "entry")
        this->read_entry(*row);
    else if (kind == "target")
        this->read_target(*row);
    else if (kind == "caller")
        this->read_caller(*row);
    else
        this->add_problem(*row, column::kind, "entry, target or caller");
}

parsed_sheet sheet_builder::finish()
{
    parsed_sheet sheet;
    for (auto& [name, part] : this->services) {
        std::sort(part.callers.begin(), part.callers.end());
        std::sort(part.targets.begin(), part.targets.end());
        sheet.services.push_back(
            {make_service_id(name), name, {}, part.callers, part.targets});
    }
    std::sort(this->entries.begin(), this->entries.end());
    sheet.fleet = {{}, this->entries};
    return sheet;
}

}  // namespace

// ---- sheet_problem ------------------------------------------------------

std::string to_text(sheet_problem const& problem, std::string const& file)
{
    return file + ":" + std::to_string(problem.line) + ": " + problem.column +
           ": got \"" + problem.value + "\", expected " + problem.expected;
}

// ---- parse_sheet --------------------------------------------------------

std::optional<parsed_sheet> parse_sheet(std::string const& text,
                                        std::vector<sheet_problem>& problems)
{
    std::size_t const before = problems.size();
    sheet_builder builder{problems};
    std::istringstream lines{text};
    std::string line;
    std::size_t number = 0;
    while (std::getline(lines, line)) {
        ++number;
        if (line.ends_with('\r'))
            line.pop_back();
        if (number == 1)
            builder.read_header(line);
        else if (!line.empty())
            builder.read_row(number, line);
    }
    if (number == 0)
        problems.push_back({1, "header", "", "a header row"});
    parsed_sheet const sheet = builder.finish();
    if (problems.size() > before)
        return std::nullopt;
    return sheet;
}

// ---- documents ----------------------------------------------------------

namespace {

bool has_same_content(service_part const& a, service_part const& b)
{
    return a.name == b.name && a.callers == b.callers && a.targets == b.targets;
}

bool contains_target(service_part const& part, target_id id)
{
    return std::any_of(part.targets.begin(), part.targets.end(),
                       [id](auto const& target) {
                           return target.id == id;
                       });
}

target_record mark_leaving(target_record const& target)
{
    target_record leaving = target;
    leaving.state = target_state::leaving;
    return leaving;
}

// Adds the targets that served before and are missing in the sheet, as leaving.
service_part add_dropped_targets(service_part const& planned,
                                 service_part const* before)
{
    std::vector<target_record> targets = planned.targets;
    if (before != nullptr)
        for (target_record const& target : before->targets)
            if (target.state != target_state::leaving &&
                !contains_target(planned, target.id))
                targets.push_back(mark_leaving(target));
    std::sort(targets.begin(), targets.end());
    return {planned.id, planned.name, {}, planned.callers, targets};
}

// Also keeps services that are missing in the sheet while they have targets.
parsed_sheet add_dropped_targets(parsed_sheet const& sheet,
                                 document_set const& previous)
{
    parsed_sheet complete{{}, sheet.fleet};
    std::set<std::string> listed_names;
    for (service_part const& part : sheet.services) {
        auto const before = previous.parts.find(part.name);
        bool const is_known = before != previous.parts.end();
        complete.services.push_back(
            add_dropped_targets(part, is_known ? &before->second : nullptr));
        listed_names.insert(part.name);
    }
    for (auto const& [name, before] : previous.parts) {
        service_part const empty{before.id, name, {}, {}, {}};
        service_part const dropped = add_dropped_targets(empty, &before);
        if (!listed_names.contains(name) && !dropped.targets.empty())
            complete.services.push_back(dropped);
    }
    return complete;
}

service_part set_generation(service_part const& part, generation changed_at)
{
    return {part.id, part.name, changed_at, part.callers, part.targets};
}

std::vector<part_change>
collect_changes(document_set const& set,
                std::vector<part_change> const& removed)
{
    std::vector<part_change> changes = removed;
    if (set.fleet.changed_at != generation{})
        changes.push_back({set.fleet.changed_at, "", false});
    for (auto const& [name, part] : set.parts)
        changes.push_back({part.changed_at, name, false});
    std::sort(changes.begin(), changes.end());
    return changes;
}

std::vector<part_change> collect_removed(document_set const& set)
{
    std::vector<part_change> removed;
    for (part_change const& change : set.index.parts)
        if (change.is_removed)
            removed.push_back(change);
    return removed;
}

// Puts the latest changes into the head, as many complete generations as fit.
platform_head build_head(catalog_version const& version,
                         std::vector<part_change> const& changes)
{
    if (changes.size() <= max_head_changes)
        return {version, {}, changes};
    generation const last_omitted =
        changes[changes.size() - max_head_changes - 1].changed_at;
    std::vector<part_change> recent;
    for (part_change const& change : changes)
        if (change.changed_at > last_omitted)
            recent.push_back(change);
    return {version, last_omitted, recent};
}

digest compute_digest(document_set const& set)
{
    std::uint64_t sum = lagoon::compute_digest(set.fleet).value;
    for (auto const& [name, part] : set.parts)
        sum += lagoon::compute_digest(part).value;
    return {sum};
}

}  // namespace

document_set compile_documents(parsed_sheet const& sheet,
                               document_set const& previous)
{
    parsed_sheet const complete = add_dropped_targets(sheet, previous);
    generation const next{previous.head.version.number.value + 1};
    document_set set;
    bool is_changed = false;
    for (service_part const& part : complete.services) {
        auto const before = previous.parts.find(part.name);
        bool const is_same = before != previous.parts.end() &&
                             has_same_content(before->second, part);
        set.parts[part.name] =
            is_same ? before->second : set_generation(part, next);
        is_changed = is_changed || !is_same;
    }
    std::vector<part_change> removed;
    for (part_change const& change : collect_removed(previous))
        if (!set.parts.contains(change.name))
            removed.push_back(change);
    for (auto const& [name, part] : previous.parts)
        if (!set.parts.contains(name)) {
            removed.push_back({next, name, true});
            is_changed = true;
        }
    bool const is_same_fleet = previous.head.version != catalog_version{} &&
                               previous.fleet.entries == complete.fleet.entries;
    set.fleet = is_same_fleet ? previous.fleet
                              : fleet_part{next, complete.fleet.entries};
    if (!is_changed && is_same_fleet)
        return previous;
    catalog_version const version{next, compute_digest(set)};
    set.index = {version, collect_changes(set, removed)};
    set.head = build_head(version, set.index.parts);
    return set;
}

std::vector<std::string> compare_documents(document_set const& before,
                                           document_set const& after)
{
    std::vector<std::string> lines;
    for (auto const& [name, part] : after.parts) {
        auto const previous = before.parts.find(name);
        if (previous == before.parts.end())
            lines.push_back("service " + name + ": new");
        else if (!has_same_content(previous->second, part))
            lines.push_back("service " + name + ": changed");
        for (target_record const& target : part.targets) {
            bool const is_known =
                previous != before.parts.end() &&
                std::find(previous->second.targets.begin(),
                          previous->second.targets.end(),
                          target) != previous->second.targets.end();
            if (!is_known)
                lines.push_back(
                    "service " + name + ": target " + target.name + " is " +
                    (target.state == target_state::leaving   ? "leaving"
                     : target.state == target_state::joining ? "joining"
                                                             : "serving"));
        }
    }
    for (auto const& [name, part] : before.parts)
        if (!after.parts.contains(name))
            lines.push_back("service " + name + ": gone");
    if (before.fleet.entries != after.fleet.entries)
        lines.push_back("entries: changed");
    return lines;
}

catalog build_catalog(document_set const& documents)
{
    std::vector<service_part> parts;
    for (auto const& [name, part] : documents.parts)
        parts.push_back(part);
    catalog result;
    failure error;
    result.adopt({{},
                  documents.head.version.number,
                  documents.head.version.content,
                  parts,
                  {},
                  documents.fleet},
                 error);
    return result;
}

}  // namespace lagoon
