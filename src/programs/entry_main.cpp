#include "programs/entry_program.hpp"
#include "programs/run_process.hpp"

int main(int argc, char** argv)
{
    lagoon::run_process(argc, argv, {"lagoon-entry", {}},
                        lagoon::parse_token_entry_settings,
                        [](lagoon::token_entry_settings const& settings) {
                            return lagoon::entry_program{settings};
                        });
}
