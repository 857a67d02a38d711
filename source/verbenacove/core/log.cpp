#include "verbenacove/core/log.hpp"

#include "verbenacove/core/non_blocking_appender.hpp"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <QDebug>

#include <unistd.h>

#include <csignal>
#include <memory>

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

#include <atomic>

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

std::atomic<bool> is_structured{false};

/** The appender in use; empty until logging has started. */
log4cplus::helpers::SharedObjectPtr<non_blocking_appender>& appender_in_use()
{
    static log4cplus::helpers::SharedObjectPtr<non_blocking_appender> appender;
    return appender;
}

QString json_line(std::string const& prefix, log4cplus::LogLevel level,
                  QString const& sentence)
{
    QJsonObject const line{
        {QStringLiteral("time"), QDateTime::currentMSecsSinceEpoch()},
        {QStringLiteral("part"), QString::fromStdString(prefix)},
        {QStringLiteral("level"),
         QString::fromStdString(
             log4cplus::getLogLevelManager().toString(level))},
        {QStringLiteral("message"), sentence}};
    return QString::fromUtf8(
        QJsonDocument(line).toJson(QJsonDocument::Compact));
}

void write(std::string const& prefix, log4cplus::LogLevel level,
           QString const& sentence)
{
    auto logger = log4cplus::Logger::getInstance(prefix);
    if (logger.isEnabledFor(level))
    {
        auto const text =
            is_structured ? json_line(prefix, level, sentence) : sentence;
        logger.forcedLog(level, text.toStdString());
    }
}

void use_console(bool is_error_stream, char const* pattern, log_level level)
{
    static log4cplus::Initializer const initializer;
    // A reader of the log that ends does not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    appender_in_use() =
        log4cplus::helpers::SharedObjectPtr(new non_blocking_appender(
            is_error_stream ? STDERR_FILENO : STDOUT_FILENO));
    log4cplus::SharedAppenderPtr const appender(appender_in_use().get());
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(library_level(level));
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
    use_console(true, "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n", level);
    qInstallMessageHandler(write_qt_message);
}

void start_structured_logging(log_level level)
{
    use_console(false, "%m%n", level);
    is_structured = true;
    qInstallMessageHandler(write_qt_message);
}

void flush_log()
{
    if (auto const& appender = appender_in_use(); appender.get() != nullptr)
    {
        appender->flush();
    }
}

bool is_logging_structured()
{
    return is_structured;
}

void write_structured_line(QByteArray const& line)
{
    static auto const logger =
        log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("event"));
    logger.forcedLog(log4cplus::INFO_LOG_LEVEL, line.toStdString());
}

} // namespace verbenacove
