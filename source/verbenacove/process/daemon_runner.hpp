#ifndef VERBENACOVE_PROCESS_DAEMON_RUNNER_HPP
#define VERBENACOVE_PROCESS_DAEMON_RUNNER_HPP

#include "verbenacove/core/log.hpp"
#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/process/daemon_command_line.hpp"
#include "verbenacove/process/process_signal.hpp"

#include <QCoreApplication>

#include <csignal>
#include <iostream>

namespace verbenacove
{

/** Runs a daemon until it is asked to stop and has stopped gracefully.

    @tparam Process  made from settings; `start` returns the reason of a
                     failure, or nothing; `stop` calls back when all is done
    @param greeting  logged once the daemon listens
    @return the process's exit code
*/
template <class Process, class Settings>
int run_daemon(int argc, char** argv, Settings const& settings,
               QString const& greeting)
{
    log_part const main_log{"main"};
    QCoreApplication application(argc, argv);
    start_logging(settings.log);
    Process process(settings);
    process_signal const signal(
        {SIGTERM, SIGINT},
        [&]
        {
            main_log.info(QStringLiteral("Asked to stop."));
            process.stop([] { QCoreApplication::quit(); });
        });
    auto const error = process.start();
    if (!error.isEmpty())
    {
        main_log.error(QStringLiteral("Cannot start: %1.").arg(error));
        return static_cast<int>(exit_code::failure);
    }
    timer_service timers;
    auto const flushing = timers.call_every(log_flush_interval, flush_log);
    main_log.info(greeting);
    auto const code = QCoreApplication::exec();
    main_log.info(QStringLiteral("Stopped."));
    return code;
}

/** Reads a daemon's settings into `settings`, and carries out `--check`.

    @param parse  the parse function of these settings
    @return the exit code when the process is to end at once
*/
template <class Settings>
std::optional<exit_code> read_daemon_settings(
    daemon_command_line const& command_line,
    boost::leaf::result<Settings> (*parse)(ini_document const&),
    Settings& settings)
{
    bool const is_right = load_settings(
        command_line.config_file,
        [&](ini_document const& document) -> boost::leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(settings, parse(document));
            return {};
        });
    if (!is_right)
    {
        return exit_code::usage;
    }
    if (command_line.is_check)
    {
        std::cout << "The settings are right.\n";
        return exit_code::success;
    }
    return std::nullopt;
}

} // namespace verbenacove

#endif
