#include "verbenacove/process/control_process.hpp"
#include "verbenacove/process/daemon_command_line.hpp"
#include "verbenacove/process/shutdown_signal.hpp"

#include <QCoreApplication>

#include <iostream>

using namespace verbenacove;

namespace
{

log_part const main_log{"main"};

int run(int argc, char** argv, control_settings const& settings)
{
    QCoreApplication application(argc, argv);
    start_logging(settings.log);
    control_process control(settings);
    shutdown_signal const signal(
        [&control]
        {
            main_log.info(QStringLiteral("Asked to stop."));
            control.stop([] { QCoreApplication::quit(); });
        });
    auto const error = control.start();
    if (!error.isEmpty())
    {
        main_log.error(QStringLiteral("Cannot start: %1.").arg(error));
        return static_cast<int>(exit_code::failure);
    }
    main_log.info(QStringLiteral("Control replica %1 listens at %2.")
                      .arg(settings.name, settings.listen.text()));
    auto const code = QCoreApplication::exec();
    main_log.info(QStringLiteral("Stopped."));
    return code;
}

int initialize(control_settings const& settings)
{
    auto const error = initialize_replica(settings);
    if (!error.isEmpty())
    {
        std::cerr << error.toStdString() << '\n';
        return static_cast<int>(exit_code::failure);
    }
    std::cout << "The replica's files are made.\n";
    return static_cast<int>(exit_code::success);
}

} // namespace

int main(int argc, char** argv)
{
    auto const parsed = parse_daemon_command_line(
        argc, argv,
        {"verbenacove-control", "holds the configuration and the claims",
         true});
    if (parsed.exit)
    {
        return static_cast<int>(*parsed.exit);
    }
    control_settings settings;
    bool const is_right = load_settings(
        parsed.command_line.config_file,
        [&settings](ini_document const& document) -> boost::leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(settings, parse_control_settings(document));
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
    if (parsed.command_line.is_initialize)
    {
        return initialize(settings);
    }
    return run(argc, argv, settings);
}
