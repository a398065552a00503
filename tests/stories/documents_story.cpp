#include "documents/reader.hpp"
#include "programs/settings.hpp"
#include "sheet/sheet.hpp"
#include "story.hpp"

using namespace lagoon;

namespace {

std::string const header =
    "kind,service,name,data_centre,address,control,slots,state\n";

std::string const good_rows =
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

    // The one problem of a sheet with this row after the good ones.
    sheet_problem problem_of(std::string const& row)
    {
        CHECK_FALSE(this->read(good_rows + row).has_value());
        UNSIGNED_LONGS_EQUAL(1, this->problems.size());
        return this->problems.empty() ? sheet_problem{} : this->problems[0];
    }
};

struct compiled_once : a_sheet
{
    void setup() override
    {
        this->first = compile_documents(*this->read(good_rows), {});
    }

    document_set next(std::string const& rows)
    {
        return compile_documents(*this->read(rows), this->first);
    }

    document_set first = {};
};

// A reader of the platform that is given a set of documents to read.
struct a_platform_reader : compiled_once
{
    documents_reader reader{{1, 1}};

    key_response answer_of(document_set const& set,
                           std::string const& path) const
    {
        std::optional<std::string> const text = this->text_of(set, path);
        return text ? key_response{200, *text} : key_response{404, {}};
    }

    std::optional<std::string> text_of(document_set const& set,
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

    // Reads until it ends; counts the keys.
    reader_action read(document_set const& set, generation since)
    {
        reader_actions steps = this->reader.begin({since, false, {}});
        this->keys = 0;
        while (!steps.empty()) {
            reader_action const one = steps.front();
            steps.erase(steps.begin());
            fetch_key const* ask = std::get_if<fetch_key>(&one);
            if (ask == nullptr)
                return one;
            ++this->keys;
            for (reader_action const& more : this->reader.handle_response(
                     ask->path, this->answer_of(set, ask->path)))
                steps.push_back(more);
        }
        FAIL("the reader never ended");
        return fetch_key{};
    }

    int keys = 0;
};

struct settings_of_an_entry : Utest
{
    json_checker checker{"entry.json"};

    std::size_t problems_of(std::string const& text)
    {
        CHECK_FALSE(
            parse_token_entry_settings(this->checker, text).has_value());
        return this->checker.problems().size();
    }
};

}  // namespace

// ---- the sheet ----------------------------------------------------------

SECTION(sheet, a_sheet){};

TEST(sheet, becomes_services_and_a_fleet)
{
    auto const sheet = this->read(good_rows);
    CHECK(sheet.has_value());
    UNSIGNED_LONGS_EQUAL(2, sheet->services.size());
    UNSIGNED_LONGS_EQUAL(1, sheet->fleet.entries.size());
}

TEST(sheet, may_quote_its_fields_and_end_its_lines_as_planners_do)
{
    CHECK(this->read("\"caller\",\"members\",\"club\",,,,,\r\n").has_value());
}

TEST(sheet, names_the_line_and_the_column_of_each_fault)
{
    SAME((sheet_problem{7, "kind", "server", "entry, target or caller"}),
         this->problem_of("server,members,m3,zg-a,127.0.0.1:9,,2,serving\n"));
    STRCMP_EQUAL(
        "address",
        this->problem_of(
                "target,members,m3,zg-a,127.0.0.999:9,127.0.0.1:9,2,serving\n")
            .column.c_str());
    STRCMP_EQUAL(
        "slots",
        this->problem_of(
                "target,members,m3,zg-a,127.0.0.1:9,127.0.0.1:10,0,serving\n")
            .column.c_str());
    STRCMP_EQUAL(
        "state",
        this->problem_of(
                "target,members,m3,zg-a,127.0.0.1:9,127.0.0.1:10,2,up\n")
            .column.c_str());
    STRCMP_EQUAL(
        "name",
        this->problem_of("caller,members,Club 1,,,,,\n").column.c_str());
    STRCMP_EQUAL("row", this->problem_of("caller,members\n").column.c_str());
}

TEST(sheet, refuses_a_row_that_stands_twice)
{
    STRCMP_EQUAL("name",
                 this->problem_of("caller,members,club,,,,,\n").column.c_str());
}

TEST(sheet, refuses_one_address_for_two_targets)
{
    STRCMP_EQUAL(
        "address",
        this->problem_of(
                "target,members,m3,zg-a,127.0.0.1:3,127.0.0.1:9,2,serving\n")
            .column.c_str());
}

TEST(sheet, lists_all_faults_in_one_run)
{
    CHECK_FALSE(this->read("x,,,,,,,\ny,,,,,,,\n").has_value());
    UNSIGNED_LONGS_EQUAL(2, this->problems.size());
}

SECTION(sheet_compiled_once, compiled_once){};

TEST(sheet_compiled_once, is_generation_one_and_its_digest_fits)
{
    SAME(generation{1}, this->first.head.version.number);
    SAME(this->first.head.version, build_catalog(this->first).version());
}

TEST(sheet_compiled_once, stays_as_it_is_without_a_change)
{
    SAME(this->first, this->next(good_rows));
}

TEST(sheet_compiled_once, changes_the_generation_of_the_changed_part_only)
{
    document_set const set =
        this->next(good_rows + "caller,archive,club,,,,,\n");
    SAME(generation{2}, set.parts.at("archive").changed_at);
    SAME(generation{1}, set.parts.at("members").changed_at);
    SAME(generation{1}, set.fleet.changed_at);
}

TEST(sheet_compiled_once, keeps_a_dropped_target_as_leaving_once)
{
    std::string const fewer =
        "entry,,e1,zg-a,127.0.0.1:1,127.0.0.1:2,,\n"
        "target,members,m1,zg-a,127.0.0.1:3,127.0.0.1:4,2,serving\n"
        "caller,members,club,,,,,\n";
    this->first = this->next(fewer);
    catalog const known = build_catalog(this->first);
    SAME(target_state::leaving,
         *known.find_state(make_service_id("members"), make_target_id("m2")));
    SAME(target_state::leaving,
         *known.find_state(make_service_id("archive"), make_target_id("a1")));
    catalog const later = build_catalog(this->next(fewer));
    CHECK_FALSE(later.find_address(make_target_id("m2")).has_value());
    CHECK(later.find_service(make_service_id("archive")) == nullptr);
}

// ---- the platform's reader ----------------------------------------------

SECTION(reader, a_platform_reader){};

TEST(reader, reads_everything_when_it_knows_nothing)
{
    reader_action const end = this->read(this->first, {});
    auto const& change = std::get<change_received>(end).change;
    catalog known;
    failure error;
    CHECK(known.adopt(*change, error).has_value());
    SAME(this->first.head.version, known.version());
}

TEST(reader, reads_just_the_head_when_nothing_is_newer)
{
    reader_action const end = this->read(this->first, {1});
    CHECK_FALSE(std::get<change_received>(end).change.has_value());
    LONGS_EQUAL(1, this->keys);
}

TEST(reader, reads_just_the_part_that_changed)
{
    catalog known = build_catalog(this->first);
    document_set const set =
        this->next(good_rows + "caller,archive,club,,,,,\n");
    reader_action const end = this->read(set, {1});
    LONGS_EQUAL(2, this->keys);
    failure error;
    CHECK(
        known.adopt(*std::get<change_received>(end).change, error).has_value());
    SAME(set.head.version, known.version());
}

TEST(reader, says_what_failed_when_a_key_is_missing)
{
    document_set broken = this->first;
    broken.parts.erase("archive");
    reader_action const end = this->read(broken, {});
    change_unavailable const& missed = std::get<change_unavailable>(end);
    SAME(step::read_platform, missed.error.failed_step);
    SAME((peer_address{1, 1}), missed.error.peer);
}

TEST(reader, refuses_a_malformed_head)
{
    this->reader.begin({{}, false, {}});
    reader_actions const steps =
        this->reader.handle_response("/v1/head", {200, "{\"generation\": -1}"});
    SAME(reason::malformed, std::get<change_unavailable>(steps[0]).error.cause);
}

// ---- settings -----------------------------------------------------------

SECTION(settings, settings_of_an_entry){};

TEST(settings, may_have_comments)
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

TEST(settings, are_refused_with_all_that_is_wrong)
{
    // An unknown key, a wrong type, a bad address, a port out of range, a
    // wrong level, an item that is no address, and two missing keys.
    UNSIGNED_LONGS_EQUAL(8, this->problems_of(R"({
        "name": 7, "data_center": "zg-a", "callers": "localhost:1",
        "exchange": "127.0.0.1:70000", "control": "127.0.0.1:3",
        "seeds": ["x"], "log_level": "loud"})"));
    json_problem const& first = this->checker.problems()[0];
    STRCMP_EQUAL("entry.json: data_center: got \"zg-a\", expected no such key",
                 to_text(first).c_str());
}

TEST(settings, are_refused_with_a_duplicate_key)
{
    UNSIGNED_LONGS_EQUAL(1, this->problems_of(R"({"name": "a", "name": "b"})"));
}
