#include "verbenacove/process/daemon_command_line.hpp"
#include "verbenacove/process/entry_process.hpp"
#include "verbenacove/process/shutdown_signal.hpp"

#include <QCoreApplication>

#include <iostream>

using namespace verbenacove;

namespace
{

log_part const main_log{"main"};

int run(int argc, char** argv, entry_settings const& settings)
{
    QCoreApplication application(argc, argv);
    start_logging(settings.log);
    entry_process entry(settings);
    shutdown_signal const signal(
        [&entry]
        {
            main_log.info(QStringLiteral("Asked to stop."));
            entry.stop([] { QCoreApplication::quit(); });
        });
    auto const error = entry.start();
    if (!error.isEmpty())
    {
        main_log.error(QStringLiteral("Cannot start: %1.").arg(error));
        return static_cast<int>(exit_code::failure);
    }
    main_log.info(QStringLiteral("Entry %1 listens at %2.")
                      .arg(settings.name.value(), settings.http.text()));
    auto const code = QCoreApplication::exec();
    main_log.info(QStringLiteral("Stopped."));
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    auto const parsed = parse_daemon_command_line(
        argc, argv,
        {"verbenacove-entry", "answers look-ups and carries requests to "
                              "upstreams"});
    if (parsed.exit)
    {
        return static_cast<int>(*parsed.exit);
    }
    entry_settings settings;
    bool const is_right = load_settings(
        parsed.command_line.config_file,
        [&settings](ini_document const& document) -> boost::leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(settings, parse_entry_settings(document));
            return {};
        });
    if (!is_right)
    {
        return static_cast<int>(exit_code::usage);
    }
    if (parsed.command_line.is_check)
    {
        std::cout << "The settings are right.\n";
        return static_cast<int>(exit_code::success);
    }
    return run(argc, argv, settings);
}
