#include "programs/settings_watcher.hpp"

namespace lagoon {

void settings_watcher::start(command_line_options const& options,
                             time_point now)
{
    this->path = options.settings_file;
    this->text = options.settings_text;
    this->last_read_at = now;
}

std::optional<std::string> settings_watcher::poll(int reload_signals,
                                                  time_point now)
{
    bool const is_signalled = reload_signals != this->seen_signal_count;
    bool const is_due = now - this->last_read_at >= settings_poll_interval;
    if (this->path.empty() || (!is_signalled && !is_due))
        return std::nullopt;
    this->seen_signal_count = reload_signals;
    this->last_read_at = now;
    std::optional<std::string> const latest = read_file(this->path);
    if (!latest || *latest == this->text)
        return std::nullopt;
    this->text = *latest;
    return latest;
}

}  // namespace lagoon
