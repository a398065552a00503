#include "documents/files.hpp"

#include <fstream>
#include <sstream>

namespace lagoon {

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace lagoon
