#include "verbenacove/core/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <QDebug>

#include <memory>

namespace verbenacove
{

namespace
{

log4cplus::LogLevel library_level(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

void write(std::string const& prefix, log4cplus::LogLevel level,
           QString const& sentence)
{
    auto logger = log4cplus::Logger::getInstance(prefix);
    if (logger.isEnabledFor(level))
    {
        logger.forcedLog(level, sentence.toStdString());
    }
}

void write_qt_message(QtMsgType type, QMessageLogContext const&,
                      QString const& message)
{
    auto const level = type == QtDebugMsg || type == QtInfoMsg
                           ? log4cplus::DEBUG_LOG_LEVEL
                           : log4cplus::WARN_LOG_LEVEL;
    write("qt", level, message);
}

} // namespace

log_part::log_part(char const* prefix)
    : prefix_(prefix)
{
}

void log_part::debug(QString const& sentence) const
{
    write(prefix_, log4cplus::DEBUG_LOG_LEVEL, sentence);
}

void log_part::info(QString const& sentence) const
{
    write(prefix_, log4cplus::INFO_LOG_LEVEL, sentence);
}

void log_part::warn(QString const& sentence) const
{
    write(prefix_, log4cplus::WARN_LOG_LEVEL, sentence);
}

void log_part::error(QString const& sentence) const
{
    write(prefix_, log4cplus::ERROR_LOG_LEVEL, sentence);
}

void start_logging(log_level level)
{
    static log4cplus::Initializer const initializer;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(library_level(level));
    qInstallMessageHandler(write_qt_message);
}

} // namespace verbenacove
