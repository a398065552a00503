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

constexpr std::size_t most_buffered = 64U << 10U;  // bytes of lines
constexpr std::size_t most_written = 4096;  // bytes a pipe takes in one piece

log4cplus::Logger root_logger()
{
    return log4cplus::Logger::getRoot();
}

// Keeps lines until standard output takes them, and counts those that there
// was no room for.
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
        this->tell_dropped();
        while (!this->buffer.empty()) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
                return;
            ssize_t const written =
                ::write(STDOUT_FILENO, this->buffer.data(),
                        std::min(this->buffer.size(), most_written));
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
        if (this->buffer.size() + fields.size() > most_buffered) {
            ++this->dropped;
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

    void tell_dropped()
    {
        if (this->dropped == 0 || this->buffer.size() > most_buffered / 2)
            return;
        std::uint64_t const count = this->dropped;
        this->dropped = 0;
        this->add(log_line{"log_dropped"}.with("lines", count).take());
    }

    std::string process;
    std::string buffer = {};
    std::uint64_t dropped = 0;
};

log4cplus::helpers::SharedObjectPtr<buffered_output>& output()
{
    static log4cplus::helpers::SharedObjectPtr<buffered_output> kept;
    return kept;
}

}  // namespace

bool start_logging(std::string const& level, std::string const& process)
{
    static log4cplus::Initializer const initializer;
    // One thread: nothing is logged by threads of the library's own.
    log4cplus::setThreadPoolSize(0);
    log4cplus::LogLevel const wanted =
        level == "debug"   ? log4cplus::DEBUG_LOG_LEVEL
        : level == "info"  ? log4cplus::INFO_LOG_LEVEL
        : level == "warn"  ? log4cplus::WARN_LOG_LEVEL
        : level == "error" ? log4cplus::ERROR_LOG_LEVEL
                           : log4cplus::NOT_SET_LOG_LEVEL;
    if (wanted == log4cplus::NOT_SET_LOG_LEVEL)
        return false;
    output() = new buffered_output{process};
    root_logger().addAppender(log4cplus::SharedAppenderPtr{output().get()});
    root_logger().setLogLevel(wanted);
    return true;
}

void flush_logs()
{
    if (output())
        output()->flush();
}

// ---- part_log -----------------------------------------------------------

namespace {

std::string fields_of(std::string const& prefix, std::string const& sentence,
                      char const* level)
{
    return log_line{"note"}
        .with("part", prefix)
        .with("level", level)
        .with("text", sentence)
        .take();
}

}  // namespace

part_log::part_log(std::string_view prefix) : prefix(prefix) {}

void part_log::set_budget(std::uint32_t lines_per_second)
{
    this->budget = lines_per_second;
}

void part_log::debug(std::string const& sentence) const
{
    LOG4CPLUS_DEBUG(root_logger(), fields_of(this->prefix, sentence, "debug"));
}

void part_log::info(std::string const& sentence) const
{
    LOG4CPLUS_INFO(root_logger(), fields_of(this->prefix, sentence, "info"));
}

void part_log::warn(std::string const& sentence) const
{
    LOG4CPLUS_WARN(root_logger(), fields_of(this->prefix, sentence, "warn"));
}

void part_log::error(std::string const& sentence) const
{
    LOG4CPLUS_ERROR(root_logger(), fields_of(this->prefix, sentence, "error"));
}

void part_log::write(log_line const& line) const
{
    LOG4CPLUS_INFO(root_logger(), line.take());
}

bool part_log::may_write(time_point now)
{
    if (now - this->second_began >= std::chrono::seconds{1}) {
        this->second_began = now;
        this->left = this->budget;
    }
    if (this->left == 0) {
        ++this->left_out;
        return false;
    }
    --this->left;
    return true;
}

void part_log::tick(time_point now)
{
    bool const is_over = now - this->second_began >= std::chrono::seconds{1};
    if (is_over && this->left_out > 0) {
        this->write(log_line{"log_budget"}
                        .with("part", this->prefix)
                        .with("left_out", this->left_out));
        this->left_out = 0;
    }
    flush_logs();
}

}  // namespace lagoon
