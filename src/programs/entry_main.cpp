#include "programs/entry_program.hpp"
#include "programs/main.hpp"

int main(int count, char** arguments)
{
    lagoon::run_process(count, arguments, {"lagoon-entry", {}},
                        lagoon::parse_entry_settings,
                        [](lagoon::entry_settings const& settings) {
                            return lagoon::entry_program{settings};
                        });
}
