#include "telemetry/logging.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace lagoon {

namespace {

log4cplus::Logger root_logger()
{
    return log4cplus::Logger::getRoot();
}

}  // namespace

bool start_logging(std::string const& level)
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
    log4cplus::SharedAppenderPtr const appender{
        new log4cplus::ConsoleAppender(true, true)};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%H:%M:%S.%q} %-5p %m%n"));
    root_logger().addAppender(appender);
    root_logger().setLogLevel(wanted);
    return true;
}

part_log::part_log(std::string_view prefix)
    : prefix("[" + std::string{prefix} + "] ")
{
}

void part_log::debug(std::string const& sentence) const
{
    LOG4CPLUS_DEBUG(root_logger(), this->prefix << sentence);
}

void part_log::info(std::string const& sentence) const
{
    LOG4CPLUS_INFO(root_logger(), this->prefix << sentence);
}

void part_log::warn(std::string const& sentence) const
{
    LOG4CPLUS_WARN(root_logger(), this->prefix << sentence);
}

void part_log::error(std::string const& sentence) const
{
    LOG4CPLUS_ERROR(root_logger(), this->prefix << sentence);
}

}  // namespace lagoon
