// Reading of settings and other files.
//
// Index
//   read_file   reads a file into a string
#pragma once

#include <optional>
#include <string>

namespace lagoon {

// ---- read_file ----------------------------------------------------------

// Returns the contents of a file, or nothing if it can't be opened.
std::optional<std::string> read_file(std::string const& path);

}  // namespace lagoon
