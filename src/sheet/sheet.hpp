// The planners' sheet: CSV in, checked configuration documents out. It
// publishes nothing; the operator does.
//
// Columns: kind, service, name, data_centre, address, control, slots, state
//   entry    name, data_centre, address (exchange, UDP), control (TCP)
//   target   service, name, data_centre, address (UDP), control (TCP), slots,
//            state
//   caller   service, name
//
// Index
//   sheet_problem    a fault, by line and column
//   parsed_sheet    what the sheet says
//   parse_sheet      errors: sheet_problem, all of them at once
//   documents        what is published, and how one set follows another
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
    std::string column = {};  // by its name
    std::string value = {};
    std::string expected = {};
    auto operator<=>(sheet_problem const&) const = default;
};

// Renders as "FILE:LINE: COLUMN: got VALUE, expected ...".
std::string to_text(sheet_problem const& problem, std::string const& file);

// ---- parsed_sheet -------------------------------------------------------

struct parsed_sheet
{
    std::vector<service_part> services = {};  // changed_at is not set yet
    fleet_part fleet = {};
    auto operator<=>(parsed_sheet const&) const = default;
};

// ---- parse_sheet --------------------------------------------------------

std::optional<parsed_sheet> parse_sheet(std::string const& text,
                                        std::vector<sheet_problem>& problems);

// ---- documents ----------------------------------------------------------

struct document_set
{
    platform_head head = {};
    platform_index index = {};
    fleet_part fleet = {};
    std::map<std::string, service_part> parts = {};  // by the service's name
    auto operator<=>(document_set const&) const = default;
};

// The set that follows `previous`. Unchanged parts keep their generation; a
// target that the sheet drops while it serves is kept as leaving for one more
// generation, so that its open flows are still routed. Without any change the
// previous set comes back.
document_set compile_documents(parsed_sheet const& sheet,
                               document_set const& previous);

// One line for each difference, for a person.
std::vector<std::string> compare_documents(document_set const& before,
                                           document_set const& after);

// The catalog that processes get from a set.
catalog build_catalog(document_set const& documents);

}  // namespace lagoon
