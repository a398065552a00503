// Converts the planners' sheet, a CSV file, into checked configuration
// documents. Publishing them is up to the operator.
//
// Columns: kind, service, name, data_centre, address, control, slots, state
//   entry    name, data_centre, address (exchange, UDP), control (TCP)
//   target   service, name, data_centre, address (UDP), control (TCP), slots,
//            state
//   caller   service, name
//
// Index
//   sheet_problem   an error in the sheet, with line and column
//   parsed_sheet    content of the sheet
//   parse_sheet     parses and checks a sheet
//   documents       compiles the set of documents to publish
#pragma once

#include "catalog/catalog.hpp"
#include "documents/documents.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- sheet_problem ------------------------------------------------------

struct sheet_problem
{
    std::size_t line = 0;     // from 1
    std::string column = {};  // name of the column
    std::string value = {};
    std::string expected = {};
    auto operator<=>(sheet_problem const&) const = default;
};

// Returns "FILE:LINE: COLUMN: got "VALUE", expected ...".
std::string to_text(sheet_problem const& problem, std::string const& file);

// ---- parsed_sheet -------------------------------------------------------

struct parsed_sheet
{
    std::vector<service_part> services = {};  // without changed_at
    fleet_part fleet = {};
    auto operator<=>(parsed_sheet const&) const = default;
};

// ---- parse_sheet --------------------------------------------------------

// Appends all errors of the sheet to `problems`. Returns nothing if there are
// any.
std::optional<parsed_sheet> parse_sheet(std::string const& text,
                                        std::vector<sheet_problem>& problems);

// ---- documents ----------------------------------------------------------

struct document_set
{
    platform_head head = {};
    platform_index index = {};
    fleet_part fleet = {};
    std::map<std::string, service_part> parts = {};  // by name of the service
    auto operator<=>(document_set const&) const = default;
};

// Returns the set of documents that follows `previous`. Unchanged parts keep
// their generation. A target that is missing in the sheet but served before is
// kept as leaving for one more generation, so that its open flows are still
// routed. Returns `previous` if nothing changed.
document_set compile_documents(parsed_sheet const& sheet,
                               document_set const& previous);

// Returns one line of text for each difference.
std::vector<std::string> compare_documents(document_set const& before,
                                           document_set const& after);

// Returns the catalog that processes build from a set of documents.
catalog build_catalog(document_set const& documents);

}  // namespace lagoon
