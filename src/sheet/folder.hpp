// Reads and writes a set of documents in a folder, from which the operator
// publishes it.
//
// Index
//   read_documents    reads all documents and checks them
//   write_documents   writes all documents, the head last
#pragma once

#include "sheet/sheet.hpp"

#include <optional>
#include <string>

namespace lagoon {

// ---- read_documents -----------------------------------------------------

// Returns an empty set for a folder without a head, which is the state before
// the first generation. Appends all errors to `problems`.
std::optional<document_set> read_documents(std::string const& folder,
                                           std::vector<json_problem>& problems);

// ---- write_documents ----------------------------------------------------

// Each file is replaced atomically. Errors: too_large (a document exceeds the
// platform's limit; nothing is written), unreachable (a file can't be written).
bool write_documents(std::string const& folder, document_set const& set,
                     failure& error);

}  // namespace lagoon
