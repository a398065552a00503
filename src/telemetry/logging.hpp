// Logs: short sentences on standard error, each with its part's prefix.
//
// Index
//   start_logging   once in a program
//   part_log        the log of one part
#pragma once

#include <string>
#include <string_view>

namespace lagoon {

// ---- start_logging ------------------------------------------------------

// Levels: "debug", "info", "warn", "error". Returns false for another text.
bool start_logging(std::string const& level);

// ---- part_log -----------------------------------------------------------

class part_log
{
public:
    explicit part_log(std::string_view prefix);  // such as "entry"

    void debug(std::string const& sentence) const;
    void info(std::string const& sentence) const;
    void warn(std::string const& sentence) const;
    void error(std::string const& sentence) const;

private:
    std::string prefix;
};

}  // namespace lagoon
