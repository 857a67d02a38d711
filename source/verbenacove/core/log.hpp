#ifndef VERBENACOVE_CORE_LOG_HPP
#define VERBENACOVE_CORE_LOG_HPP

#include "verbenacove/core/clock.hpp"

#include <QByteArray>
#include <QString>

#include <string>

namespace verbenacove
{

/** Writes one part's log lines, each with the part's fixed prefix.

    Sentences are short and plain. Create one for each part, at file scope:
    `log_part const part_log{"raft"};`
*/
class log_part
{
public:
    /** Creates the log of the part with this prefix. */
    explicit log_part(char const* prefix);

    /** Writes what is only of use when looking for a fault. */
    void debug(QString const& sentence) const;

    /** Writes what an operator may want to know. */
    void info(QString const& sentence) const;

    /** Writes what an operator should look at. */
    void warn(QString const& sentence) const;

    /** Writes what stops a part from doing its work. */
    void error(QString const& sentence) const;

private:
    std::string prefix_;
};

/** The least severe lines that are written. */
enum class log_level
{
    debug,
    info,
    warn,
    error
};

/** Sends all parts' lines to standard error, from this level on.

    Call it once, before the first line is written. It also makes Qt's own
    messages lines of the part `qt`.
*/
void start_logging(log_level level);

/** Sends all parts' lines to standard output instead, each as one line of
    JSON, and lets event_log write there. */
void start_structured_logging(log_level level);

/** Time between calls of `flush_log`. */
constexpr milliseconds log_flush_interval{1000};

/** Sends lines that had to wait for the reader of the output, if there is room
    by now; never waits itself. A process calls it every `log_flush_interval`.
 */
void flush_log();

/** Returns whether start_structured_logging was called. */
bool is_logging_structured();

/** Writes one line of JSON as it is. */
void write_structured_line(QByteArray const& line);

} // namespace verbenacove

#endif
