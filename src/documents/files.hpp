// Files of the operator's.
//
// Index
//   read_file   a whole file as text
#pragma once

#include <optional>
#include <string>

namespace lagoon {

// ---- read_file ----------------------------------------------------------

// The text of a file, or nothing when it can't be read.
std::optional<std::string> read_file(std::string const& path);

}  // namespace lagoon
