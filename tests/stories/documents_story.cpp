#include "documents/reader.hpp"
#include "programs/connection_settings.hpp"
#include "programs/settings.hpp"
#include "sheet/sheet.hpp"
#include "story.hpp"

using namespace lagoon;

namespace {

std::string const header =
    "kind,service,name,data_centre,address,control,slots,state\n";

std::string const valid_rows =
    "entry,,e1,zg-a,127.0.0.1:1,127.0.0.1:2,,\n"
    "target,members,m1,zg-a,127.0.0.1:3,127.0.0.1:4,2,serving\n"
    "target,members,m2,zg-b,127.0.0.1:5,127.0.0.1:6,2,serving\n"
    "target,archive,a1,ka-a,127.0.0.1:7,127.0.0.1:8,2,joining\n"
    "caller,members,club,,,,,\n";

struct a_sheet : Utest
{
    std::vector<sheet_problem> problems = {};

    std::optional<parsed_sheet> read(std::string const& rows)
    {
        this->problems.clear();
        return parse_sheet(header + rows, this->problems);
    }

    // Returns the only problem of a sheet with this row after the valid ones.
    sheet_problem find_problem(std::string const& row)
    {
        CHECK_FALSE(this->read(valid_rows + row).has_value());
        UNSIGNED_LONGS_EQUAL(1, this->problems.size());
        return this->problems.empty() ? sheet_problem{} : this->problems[0];
    }
};

struct a_compiled_sheet : a_sheet
{
    void setup() override
    {
        this->first = compile_documents(*this->read(valid_rows), {});
    }

    document_set compile_next(std::string const& rows)
    {
        return compile_documents(*this->read(rows), this->first);
    }

    document_set first = {};
};

// A reader of a platform that holds a given set of documents.
struct a_platform_reader : a_compiled_sheet
{
    documents_reader reader{{1, 1}};

    key_response make_response(document_set const& set,
                               std::string const& path) const
    {
        std::optional<std::string> const text = this->find_text(set, path);
        return text ? key_response{200, *text} : key_response{404, {}};
    }

    std::optional<std::string> find_text(document_set const& set,
                                         std::string const& path) const
    {
        if (path.starts_with("/v1/head") || path.starts_with("/v1/watch"))
            return write_document(set.head);
        if (path == "/v1/index")
            return write_document(set.index);
        if (path == "/v1/fleet")
            return write_document(set.fleet);
        auto const part = set.parts.find(path.substr(10));
        if (part == set.parts.end())
            return std::nullopt;
        return write_document(part->second);
    }

    // Runs a read to its end and counts the requested keys.
    reader_action read(document_set const& set, generation since)
    {
        reader_actions actions = this->reader.begin({since, false, {}});
        this->requested_key_count = 0;
        while (!actions.empty()) {
            reader_action const one = actions.front();
            actions.erase(actions.begin());
            fetch_key const* fetch = std::get_if<fetch_key>(&one);
            if (fetch == nullptr)
                return one;
            ++this->requested_key_count;
            for (reader_action const& more : this->reader.handle_response(
                     fetch->path, this->make_response(set, fetch->path)))
                actions.push_back(more);
        }
        FAIL("the read did not end");
        return fetch_key{};
    }

    int requested_key_count = 0;
};

struct settings_of_an_entry : Utest
{
    json_checker checker{"entry.json"};

    std::size_t count_problems(std::string const& text)
    {
        CHECK_FALSE(
            parse_token_entry_settings(this->checker, text).has_value());
        return this->checker.problems().size();
    }
};

}  // namespace

// ---- sheet --------------------------------------------------------------

SECTION(sheet, a_sheet){};

TEST(sheet, is_parsed_into_services_and_a_fleet)
{
    auto const sheet = this->read(valid_rows);
    CHECK(sheet.has_value());
    UNSIGNED_LONGS_EQUAL(2, sheet->services.size());
    UNSIGNED_LONGS_EQUAL(1, sheet->fleet.entries.size());
}

TEST(sheet, may_have_quoted_fields_and_crlf_line_ends)
{
    CHECK(this->read("\"caller\",\"members\",\"club\",,,,,\r\n").has_value());
}

TEST(sheet, reports_the_line_and_column_of_each_error)
{
    SAME((sheet_problem{7, "kind", "server", "entry, target or caller"}),
         this->find_problem("server,members,m3,zg-a,127.0.0.1:9,,2,serving\n"));
    STRCMP_EQUAL(
        "address",
        this->find_problem(
                "target,members,m3,zg-a,127.0.0.999:9,127.0.0.1:9,2,serving\n")
            .column.c_str());
    STRCMP_EQUAL(
        "slots",
        this->find_problem(
                "target,members,m3,zg-a,127.0.0.1:9,127.0.0.1:10,0,serving\n")
            .column.c_str());
    STRCMP_EQUAL(
        "state",
        this->find_problem(
                "target,members,m3,zg-a,127.0.0.1:9,127.0.0.1:10,2,up\n")
            .column.c_str());
    STRCMP_EQUAL(
        "name",
        this->find_problem("caller,members,Club 1,,,,,\n").column.c_str());
    STRCMP_EQUAL("row", this->find_problem("caller,members\n").column.c_str());
}

TEST(sheet, rejects_a_duplicate_row)
{
    STRCMP_EQUAL(
        "name",
        this->find_problem("caller,members,club,,,,,\n").column.c_str());
}

TEST(sheet, rejects_an_address_used_by_two_targets)
{
    STRCMP_EQUAL(
        "address",
        this->find_problem(
                "target,members,m3,zg-a,127.0.0.1:3,127.0.0.1:9,2,serving\n")
            .column.c_str());
}

// lagoon-sheet ended by an exception.
TEST(sheet, reports_an_invalid_escape_in_its_header)
{
    CHECK_FALSE(parse_sheet("kind,\\x\n", this->problems).has_value());
    SAME((sheet_problem{1, "header", "kind,\\x",
                        "kind,service,name,data_centre,address,control,slots,"
                        "state"}),
         this->problems.at(0));
}

TEST(sheet, reports_all_errors_in_one_pass)
{
    CHECK_FALSE(this->read("x,,,,,,,\ny,,,,,,,\n").has_value());
    UNSIGNED_LONGS_EQUAL(2, this->problems.size());
}

SECTION(compiled_sheet, a_compiled_sheet){};

TEST(compiled_sheet, has_generation_one_and_a_matching_digest)
{
    SAME(generation{1}, this->first.head.version.number);
    SAME(this->first.head.version, build_catalog(this->first).version());
}

TEST(compiled_sheet, is_unchanged_if_the_rows_are_unchanged)
{
    SAME(this->first, this->compile_next(valid_rows));
}

TEST(compiled_sheet, updates_the_generation_of_changed_parts_only)
{
    document_set const set =
        this->compile_next(valid_rows + "caller,archive,club,,,,,\n");
    SAME(generation{2}, set.parts.at("archive").changed_at);
    SAME(generation{1}, set.parts.at("members").changed_at);
    SAME(generation{1}, set.fleet.changed_at);
}

TEST(compiled_sheet, keeps_a_removed_target_as_leaving_for_one_generation)
{
    std::string const fewer =
        "entry,,e1,zg-a,127.0.0.1:1,127.0.0.1:2,,\n"
        "target,members,m1,zg-a,127.0.0.1:3,127.0.0.1:4,2,serving\n"
        "caller,members,club,,,,,\n";
    this->first = this->compile_next(fewer);
    catalog const current = build_catalog(this->first);
    SAME(target_state::leaving,
         *current.find_state(make_service_id("members"), make_target_id("m2")));
    SAME(target_state::leaving,
         *current.find_state(make_service_id("archive"), make_target_id("a1")));
    catalog const later = build_catalog(this->compile_next(fewer));
    CHECK_FALSE(later.find_address(make_target_id("m2")).has_value());
    CHECK(later.find_service(make_service_id("archive")) == nullptr);
}

// ---- platform reader ----------------------------------------------------

SECTION(reader, a_platform_reader){};

TEST(reader, reads_all_parts_if_there_is_no_catalog)
{
    reader_action const end = this->read(this->first, {});
    auto const& change = std::get<change_received>(end).change;
    catalog current;
    failure error;
    CHECK(current.adopt(*change, error).has_value());
    SAME(this->first.head.version, current.version());
}

TEST(reader, reads_only_the_head_if_nothing_changed)
{
    reader_action const end = this->read(this->first, {1});
    CHECK_FALSE(std::get<change_received>(end).change.has_value());
    LONGS_EQUAL(1, this->requested_key_count);
}

TEST(reader, reads_only_the_changed_part)
{
    catalog current = build_catalog(this->first);
    document_set const set =
        this->compile_next(valid_rows + "caller,archive,club,,,,,\n");
    reader_action const end = this->read(set, {1});
    LONGS_EQUAL(2, this->requested_key_count);
    failure error;
    CHECK(current.adopt(*std::get<change_received>(end).change, error)
              .has_value());
    SAME(set.head.version, current.version());
}

TEST(reader, reports_the_failed_step_and_peer_if_a_key_is_missing)
{
    document_set broken = this->first;
    broken.parts.erase("archive");
    reader_action const end = this->read(broken, {});
    change_unavailable const& unavailable = std::get<change_unavailable>(end);
    SAME(step::read_platform, unavailable.error.failed_step);
    SAME((peer_address{1, 1}), unavailable.error.peer);
}

TEST(reader, rejects_a_malformed_head)
{
    this->reader.begin({{}, false, {}});
    reader_actions const actions =
        this->reader.handle_response("/v1/head", {200, "{\"generation\": -1}"});
    SAME(reason::malformed,
         std::get<change_unavailable>(actions[0]).error.cause);
}

// ---- documents ----------------------------------------------------------

struct a_service_document : Utest
{
    json_checker checker{"part"};

    std::optional<service_part> parse(std::string const& name)
    {
        return parse_service(this->checker,
                             R"({"name":")" + name + R"(","changed_at":1,)" +
                                 R"("callers":[],"targets":[]})");
    }
};

SECTION(a_document, a_service_document){};

TEST(a_document, may_have_names_in_any_script)
{
    std::optional<service_part> const part = this->parse("\xC5\xBEurnal");
    CHECK(part.has_value());
    SAME(part, parse_service(this->checker, write_document(*part)));
}

// Peers got another name than was published, and refused the configuration.
TEST(a_document, is_rejected_if_a_name_is_not_utf_8)
{
    CHECK_FALSE(this->parse("members\xFF").has_value());
    STRCMP_EQUAL("a non-empty string of UTF-8",
                 this->checker.problems().at(0).expected.c_str());
    CHECK_FALSE(parse_index(this->checker,
                            R"({"generation":3,"digest":"0000000000000004",)"
                            "\"parts\":[{\"at\":3,\"name\":\"m\xB6\","
                            "\"removed\":false}]}")
                    .has_value());
}

// A part that the document leaves out gives the catalog another digest, and its
// reader rejects the change.
TEST(a_document, of_a_change_keeps_every_part)
{
    routes_part const routes{{7},
                             {},
                             std::chrono::seconds{15},
                             9,
                             {{{3}, duration{2'500'000}, 4}},
                             {{3}, {5}}};
    target_record const target{make_target_id("m1"),
                               "m1",
                               "zg-a",
                               {1, 2},
                               {3, 4},
                               2,
                               target_state::joining,
                               1'700'000'000'000};
    catalog_change change{{}, {7}};
    change.parts = {{make_service_id("members"), "members", {7}, {}, {target}}};
    change.routes = routes;
    change.evacuations = evacuations_part{{6}, {"zg-a", "zg-b"}};
    SAME(change, *parse_change(this->checker, write_document(change)));
    change.base = {5};
    change.routes.reset();
    change.route_delta = routes_delta{{},
                                      {},
                                      routes.idle_lifetime,
                                      routes.version,
                                      routes.warm_up_limits,
                                      {{3}},
                                      {{8}, {9}}};
    SAME(change, *parse_change(this->checker, write_document(change)));
}

// Earlier versions wrote documents without these keys.
TEST(a_document, of_a_change_may_lack_optional_keys)
{
    std::optional<catalog_change> const change = parse_change(
        this->checker,
        R"({"generation":3,"digest":"0000000000000004","base":0,"removed":[],)"
        R"("parts":[],"routes":{"changed_at":2,"idle_lifetime_us":5,)"
        R"("routes":[]}})");
    CHECK(change.has_value());
    SAME((routes_part{{2}, {}, duration{5}}), *change->routes);
    CHECK_FALSE(change->evacuations.has_value());
    STRCMP_CONTAINS(R"("routes":{"changed_at":2,"idle_lifetime_us":5,)"
                    R"("routes":[]})",
                    write_document(*change).c_str());
}

// ---- limits of changes --------------------------------------------------

namespace {

struct the_limits_of_an_entry : Utest
{
    json_checker checker{"entry.json"};

    std::optional<entry_process_settings> parse(std::string const& limits)
    {
        return parse_entry_process_settings(this->checker, R"({
            "name": "e1", "data_centre": "zg-a", "packets": "127.0.0.1:1",
            "exchange": "127.0.0.1:2", "ready": "127.0.0.1:3",
            "metrics": "127.0.0.1:4", "platform": "127.0.0.1:5", "seeds": [],
            "log_level": "info", "log_lines_per_second": 9,)" + limits +
                                                               "}");
    }

    duration compute_limit(std::string const& limits)
    {
        std::optional<entry_process_settings> const settings =
            this->parse(limits);
        return settings ? compute_apply_limit(*settings) : duration{};
    }
};

}  // namespace

SECTION(limits_of_an_entry, the_limits_of_an_entry){};

// A process that reads the store for the longer limit learns of an evacuation
// too late.
TEST(limits_of_an_entry, are_applied_to_all_changes_by_the_lower)
{
    using std::chrono::milliseconds;
    SAME(milliseconds{5000}, this->compute_limit(R"("change_limit_ms": 5000)"));
    SAME(milliseconds{5000},
         this->compute_limit(
             R"("change_limit_ms": 5000, "evacuation_limit_ms": 0)"));
    SAME(milliseconds{2500},
         this->compute_limit(
             R"("change_limit_ms": 5000, "evacuation_limit_ms": 2500)"));
    SAME(milliseconds{3000},
         this->compute_limit(
             R"("change_limit_ms": 3000, "evacuation_limit_ms": 5000)"));
}

TEST(limits_of_an_entry, are_rejected_if_invalid)
{
    for (char const* value : {"-1", "\"5000\"", "true", "[]"})
        CHECK_FALSE(this->parse(std::string{R"("change_limit_ms": 5000,)"
                                            R"("evacuation_limit_ms": )"} +
                                value)
                        .has_value());
}

// ---- settings -----------------------------------------------------------

SECTION(settings, settings_of_an_entry){};

TEST(settings, may_contain_comments)
{
    auto const settings = parse_token_entry_settings(this->checker, R"({
        // who
        "name": "e1", "data_centre": "zg-a", /* where */
        "callers": "127.0.0.1:1", "exchange": "127.0.0.1:2",
        "control": "127.0.0.1:3", "platform": "127.0.0.1:4",
        "seeds": ["127.0.0.1:5"], "log_level": "info"})");
    CHECK(settings.has_value());
    SAME((peer_address{0x7F000001, 1}), settings->callers);
}

TEST(settings, are_rejected_with_all_errors_listed)
{
    // An unknown key, a wrong type, a bad address, a port out of range, a
    // wrong level, an item that isn't an address, and two missing keys.
    UNSIGNED_LONGS_EQUAL(8, this->count_problems(R"({
        "name": 7, "data_center": "zg-a", "callers": "localhost:1",
        "exchange": "127.0.0.1:70000", "control": "127.0.0.1:3",
        "seeds": ["x"], "log_level": "loud"})"));
    json_problem const& first = this->checker.problems()[0];
    STRCMP_EQUAL("entry.json: data_center: got \"zg-a\", expected a known key",
                 to_text(first).c_str());
}

TEST(settings, are_rejected_if_a_key_is_duplicated)
{
    UNSIGNED_LONGS_EQUAL(1,
                         this->count_problems(R"({"name": "a", "name": "b"})"));
}

// A running process ended when its settings file was replaced by one that isn't
// an object.
TEST(settings, are_rejected_if_they_are_no_object)
{
    for (char const* text : {"[]", "7", "\"text\"", "null", "[{}]"}) {
        CHECK(this->count_problems(text) > 0);
        CHECK_FALSE(
            parse_token_target_settings(this->checker, text).has_value());
        CHECK_FALSE(
            parse_entry_process_settings(this->checker, text).has_value());
        CHECK_FALSE(
            parse_target_process_settings(this->checker, text).has_value());
    }
}
