#ifndef VERBENACOVE_PROCESS_OPERATOR_COMMAND_LINE_HPP
#define VERBENACOVE_PROCESS_OPERATOR_COMMAND_LINE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/version/config_record.hpp"

#include <QString>

#include <boost/leaf/result.hpp>

#include <optional>
#include <vector>

namespace verbenacove
{

/** The exit codes of the operators' client. */
enum class operator_exit
{
    success = 0,
    /** The command line or the record's file is wrong. */
    usage = 2,
    /** Another change holds the version. */
    conflict = 3,
    /** Refused, or no such record. */
    refused = 4,
    /** No control replica, or no majority, could be reached. */
    unreachable = 5,
    /** The change may have been accepted. */
    unknown = 6
};

/** What an operator can ask for. */
enum class operator_verb
{
    create,
    read,
    list,
    change,
    remove,
    drain,
    undrain,
    status,
    history
};

/** One command of an operator. */
struct operator_command
{
    operator_verb verb = operator_verb::status;
    std::optional<record_kind> kind;
    /** The record's name; for a drain with its scope. */
    QString name;
    drain_scope scope = drain_scope::upstream;
    /** What a drain is of. */
    QString target;

    std::vector<socket_address> controls;
    bool is_json = false;
    std::optional<int> schema;
    /** Made when the command line has none. */
    change_id id;
    std::optional<record_version> expected;
    /** The record's file; `-` for standard input. */
    QString file;
    QString author;
    milliseconds timeout{15000};
    /** How many records or changes are listed at most. */
    int limit = 100;
};

/** The error for a command line that is wrong. */
struct command_line_error
{
    /** One line that says what is wrong and what would be right. */
    QString text;
};

/** What a command line asks for: help, the version, or a command. */
struct operator_command_line
{
    bool is_help = false;
    bool is_version = false;
    operator_command command;
};

/** Reads a command line with getopt_long.

    @return what it asks for, or command_line_error
*/
boost::leaf::result<operator_command_line>
parse_operator_command_line(int argc, char* const* argv);

/** Returns the text of `--help`. */
char const* operator_help();

} // namespace verbenacove

#endif
