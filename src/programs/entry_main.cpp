#include "programs/entry_program.hpp"
#include "programs/main.hpp"

int main(int count, char** arguments)
{
    return lagoon::run_process<lagoon::entry_program>(
        count, arguments, "lagoon-entry", lagoon::parse_entry_settings);
}
