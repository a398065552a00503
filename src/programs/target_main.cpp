#include "programs/main.hpp"
#include "programs/target_program.hpp"

int main(int count, char** arguments)
{
    return lagoon::run_process<lagoon::target_program>(
        count, arguments, "lagoon-target", lagoon::parse_slot_settings);
}
