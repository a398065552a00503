#include "telemetry/logging.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <chrono>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace lagoon {

namespace {

constexpr std::size_t max_buffered_bytes = 64U << 10U;

// A pipe that is writable accepts this much without blocking (PIPE_BUF).
constexpr std::size_t max_write_bytes = 4096;

log4cplus::Logger root_logger()
{
    return log4cplus::Logger::getRoot();
}

// Buffers lines until standard output accepts them. Drops and counts lines when
// the buffer is full.
class buffered_output : public log4cplus::Appender
{
public:
    explicit buffered_output(std::string process) : process(std::move(process))
    {
    }

    ~buffered_output() override
    {
        this->destructorImpl();
    }

    void close() override
    {
        this->flush();
    }

    void flush()
    {
        this->report_dropped_lines();
        while (!this->buffer.empty()) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
                return;
            ssize_t const written =
                ::write(STDOUT_FILENO, this->buffer.data(),
                        std::min(this->buffer.size(), max_write_bytes));
            if (written <= 0)
                return;
            this->buffer.erase(0, static_cast<std::size_t>(written));
        }
    }

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& event) override
    {
        this->add(event.getMessage());
    }

private:
    void add(std::string const& fields)
    {
        if (this->buffer.size() + fields.size() > max_buffered_bytes) {
            ++this->dropped_lines;
            return;
        }
        auto const now = std::chrono::system_clock::now().time_since_epoch();
        auto const count =
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        char time[32];
        int const size = std::snprintf(time, sizeof time, "%lld.%03lld",
                                       static_cast<long long>(count / 1000),
                                       static_cast<long long>(count % 1000));
        this->buffer += "{\"time\":";
        this->buffer.append(time, static_cast<std::size_t>(size));
        this->buffer += ",\"process\":\"" + this->process + "\",";
        this->buffer += fields;
        this->buffer += "}\n";
    }

    void report_dropped_lines()
    {
        if (this->dropped_lines == 0 ||
            this->buffer.size() > max_buffered_bytes / 2)
            return;
        std::uint64_t const count = this->dropped_lines;
        this->dropped_lines = 0;
        this->add(log_line{"log_dropped"}.with("lines", count).get_text());
    }

    std::string process;
    std::string buffer = {};
    std::uint64_t dropped_lines = 0;
};

log4cplus::helpers::SharedObjectPtr<buffered_output>& get_output()
{
    static log4cplus::helpers::SharedObjectPtr<buffered_output> instance;
    return instance;
}

}  // namespace

bool start_logging(std::string const& level, std::string const& process)
{
    static log4cplus::Initializer const initializer;
    // The process has one thread; the library must not start its own.
    log4cplus::setThreadPoolSize(0);
    log4cplus::LogLevel const log_level =
        level == "debug"   ? log4cplus::DEBUG_LOG_LEVEL
        : level == "info"  ? log4cplus::INFO_LOG_LEVEL
        : level == "warn"  ? log4cplus::WARN_LOG_LEVEL
        : level == "error" ? log4cplus::ERROR_LOG_LEVEL
                           : log4cplus::NOT_SET_LOG_LEVEL;
    if (log_level == log4cplus::NOT_SET_LOG_LEVEL)
        return false;
    get_output() = new buffered_output{process};
    root_logger().addAppender(log4cplus::SharedAppenderPtr{get_output().get()});
    root_logger().setLogLevel(log_level);
    return true;
}

void flush_logs()
{
    if (get_output())
        get_output()->flush();
}

// ---- component_log ------------------------------------------------------

namespace {

std::string format_note(std::string const& component,
                        std::string const& message, char const* level)
{
    return log_line{"note"}
        .with("part", component)
        .with("level", level)
        .with("text", message)
        .get_text();
}

}  // namespace

component_log::component_log(std::string_view component) : component(component)
{
}

void component_log::set_budget(std::uint32_t lines_per_second)
{
    this->lines_per_second_limit = lines_per_second;
}

void component_log::debug(std::string const& message) const
{
    LOG4CPLUS_DEBUG(root_logger(),
                    format_note(this->component, message, "debug"));
}

void component_log::info(std::string const& message) const
{
    LOG4CPLUS_INFO(root_logger(),
                   format_note(this->component, message, "info"));
}

void component_log::warn(std::string const& message) const
{
    LOG4CPLUS_WARN(root_logger(),
                   format_note(this->component, message, "warn"));
}

void component_log::error(std::string const& message) const
{
    LOG4CPLUS_ERROR(root_logger(),
                    format_note(this->component, message, "error"));
}

void component_log::write(log_line const& line) const
{
    LOG4CPLUS_INFO(root_logger(), line.get_text());
}

bool component_log::try_reserve_line(time_point now)
{
    if (now - this->second_started_at >= std::chrono::seconds{1}) {
        this->second_started_at = now;
        this->remaining_lines = this->lines_per_second_limit;
    }
    if (this->remaining_lines == 0) {
        ++this->suppressed_lines;
        return false;
    }
    --this->remaining_lines;
    return true;
}

void component_log::on_tick(time_point now)
{
    bool const is_second_over =
        now - this->second_started_at >= std::chrono::seconds{1};
    if (is_second_over && this->suppressed_lines > 0) {
        this->write(log_line{"log_budget"}
                        .with("part", this->component)
                        .with("left_out", this->suppressed_lines));
        this->suppressed_lines = 0;
    }
    flush_logs();
}

}  // namespace lagoon
