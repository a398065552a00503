#include "programs/settings_watcher.hpp"

namespace lagoon {

void settings_watcher::begin(command_line_options const& start, time_point now)
{
    this->path = start.settings_file;
    this->text = start.settings_text;
    this->looked_at = now;
}

std::optional<std::string> settings_watcher::changed(int reload_signals,
                                                     time_point now)
{
    bool const is_asked = reload_signals != this->signals_seen;
    bool const is_due = now - this->looked_at >= settings_poll_interval;
    if (this->path.empty() || (!is_asked && !is_due))
        return std::nullopt;
    this->signals_seen = reload_signals;
    this->looked_at = now;
    std::optional<std::string> const latest = read_file(this->path);
    if (!latest || *latest == this->text)
        return std::nullopt;
    this->text = *latest;
    return latest;
}

}  // namespace lagoon
