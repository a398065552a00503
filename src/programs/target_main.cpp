#include "programs/run_process.hpp"
#include "programs/target_program.hpp"

int main(int argc, char** argv)
{
    lagoon::run_process(argc, argv, {"lagoon-target", {}},
                        lagoon::parse_token_target_settings,
                        [](lagoon::token_target_settings const& settings) {
                            return lagoon::target_program{settings};
                        });
}
