#include "programs/main.hpp"
#include "programs/target_program.hpp"

int main(int count, char** arguments)
{
    lagoon::run_process(count, arguments, {"lagoon-target", {}},
                        lagoon::parse_slot_settings,
                        [](lagoon::slot_settings const& settings) {
                            return lagoon::target_program{settings};
                        });
}
