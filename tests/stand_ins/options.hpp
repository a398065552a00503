// Command lines of the fake programs. On invalid options both functions print
// an error and exit with status 2.
//
// Index
//   read_options          parses `--name value` pairs
//   read_address_option   an option whose value is an address and port
#pragma once

#include "documents/checked_json.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

namespace lagoon::stand_ins {

namespace po = boost::program_options;

// ---- read_options -------------------------------------------------------

inline po::variables_map read_options(int count, char** arguments,
                                      po::options_description const& options)
{
    po::variables_map given;
    try {
        po::store(po::parse_command_line(count, arguments, options), given);
        po::notify(given);
    } catch (po::error const& error) {
        std::cerr << arguments[0] << ": " << error.what() << '\n' << options;
        std::exit(2);
    }
    return given;
}

// ---- read_address_option ------------------------------------------------

inline peer_address read_address_option(po::variables_map const& given,
                                        std::string const& name)
{
    std::optional<peer_address> const address =
        parse_address(given[name].as<std::string>());
    if (!address) {
        std::cerr << "--" << name << ": expected ADDRESS:PORT\n";
        std::exit(2);
    }
    return *address;
}

}  // namespace lagoon::stand_ins
