#include "loop/http.hpp"

#include <sstream>

namespace lagoon {

std::string find_query_field(std::string const& query, std::string const& name)
{
    std::istringstream fields{query};
    std::string field;
    while (std::getline(fields, field, '&'))
        if (field.starts_with(name + "="))
            return field.substr(name.size() + 1);
    return {};
}

}  // namespace lagoon
