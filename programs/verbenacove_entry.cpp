#include "verbenacove/process/daemon_runner.hpp"
#include "verbenacove/process/entry_process.hpp"

using namespace verbenacove;

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
    auto const ended = read_daemon_settings(parsed.command_line,
                                            parse_entry_settings, settings);
    if (ended)
    {
        return static_cast<int>(*ended);
    }
    return run_daemon<entry_process>(
        argc, argv, settings,
        QStringLiteral("Entry %1 listens at %2.")
            .arg(settings.name.value(), settings.http.text()));
}
