#ifndef VERBENACOVE_PROCESS_DAEMON_COMMAND_LINE_HPP
#define VERBENACOVE_PROCESS_DAEMON_COMMAND_LINE_HPP

#include "verbenacove/core/ini_document.hpp"

#include <QString>

#include <functional>
#include <optional>
#include <string>

namespace verbenacove
{

/** The exit codes that all programs share. */
enum class exit_code
{
    success = 0,
    /** The work could not be done, or could not go on. */
    failure = 1,
    /** The command line or the settings are wrong. */
    usage = 2
};

/** What a daemon's command line asks for. */
struct daemon_command_line
{
    QString config_file;
    /** Read the settings, say what is wrong, and exit. */
    bool is_check = false;
    /** Make a new replica's files, and exit; control daemon only. */
    bool is_initialize = false;
};

/** What a daemon's `--help` says of it. */
struct daemon_description
{
    std::string program;
    std::string purpose;
    bool has_initialize = false;
};

/** Reads a daemon's command line with getopt_long.

    @return the command line; or the exit code when the process is to end at
            once, its help, version or error having been printed
*/
struct command_line_result
{
    daemon_command_line command_line;
    std::optional<exit_code> exit;
};
command_line_result parse_daemon_command_line(int argc, char** argv,
                                              daemon_description const& of);

/** Returns the product's version, such as `0.1.0`. */
char const* product_version();

/** Loads a settings file and hands it to a parse function.

    @param use  called with the document; returns its errors
    @return false when there were errors, which have been printed
*/
bool load_settings(
    QString const& file,
    std::function<boost::leaf::result<void>(ini_document const&)> const& use);

} // namespace verbenacove

#endif
