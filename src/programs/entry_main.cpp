#include "programs/entry_program.hpp"
#include "programs/run_process.hpp"

int main(int count, char** arguments)
{
    lagoon::run_process(count, arguments, {"lagoon-entry", {}},
                        lagoon::parse_token_entry_settings,
                        [](lagoon::token_entry_settings const& settings) {
                            return lagoon::entry_program{settings};
                        });
}
