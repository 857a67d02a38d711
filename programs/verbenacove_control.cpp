#include "verbenacove/process/control_process.hpp"
#include "verbenacove/process/daemon_runner.hpp"

using namespace verbenacove;

namespace
{

exit_code initialize(control_settings const& settings)
{
    auto const error = initialize_replica(settings);
    if (!error.isEmpty())
    {
        std::cerr << error.toStdString() << '\n';
        return exit_code::failure;
    }
    std::cout << "The replica's files are made.\n";
    return exit_code::success;
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
    auto const ended = read_daemon_settings(parsed.command_line,
                                            parse_control_settings, settings);
    if (ended)
    {
        return static_cast<int>(*ended);
    }
    if (parsed.command_line.is_initialize)
    {
        return static_cast<int>(initialize(settings));
    }
    return run_daemon<control_process>(
        argc, argv, settings,
        QStringLiteral("Control replica %1 listens at %2.")
            .arg(settings.name, settings.listen.text()));
}
