// A set of documents in a folder, as the operator publishes it.
//
// Index
//   read_documents    faults come as json_problem
//   write_documents   the head last, each file whole
#pragma once

#include "sheet/sheet.hpp"

#include <optional>
#include <string>

namespace lagoon {

// ---- read_documents -----------------------------------------------------

// A folder without a head is the empty set before the first generation.
std::optional<document_set> read_documents(std::string const& folder,
                                           std::vector<json_problem>& problems);

// ---- write_documents ----------------------------------------------------

// Errors: too_large (a document above the platform's bound; nothing is
// written), unreachable (a file can't be written).
bool write_documents(std::string const& folder, document_set const& set,
                     failure& last);

}  // namespace lagoon
