#include "verbenacove/process/daemon_command_line.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <getopt.h>

#include <array>
#include <iostream>

namespace verbenacove
{

namespace
{

void print_help(daemon_description const& of)
{
    std::cout << of.program << " - " << of.purpose << "\n\n"
              << "Usage: " << of.program << " --config FILE [OPTION]\n\n"
              << "  -c, --config FILE  read the settings from FILE\n"
              << "      --check        check the settings and exit\n";
    if (of.has_initialize)
    {
        std::cout << "      --initialize   make the files of a replica of a "
                     "new system and exit\n";
    }
    std::cout << "  -h, --help         print this and exit\n"
              << "  -V, --version      print the version and exit\n\n"
              << "Exit codes: 0 success, 1 failure, 2 wrong command line or "
                 "settings.\n";
}

command_line_result usage_error(daemon_description const& of,
                                char const* reason)
{
    std::cerr << of.program << ": " << reason << "; see --help\n";
    return {{}, exit_code::usage};
}

} // namespace

command_line_result parse_daemon_command_line(int argc, char** argv,
                                              daemon_description const& of)
{
    static std::array<option, 6> const options{
        {{"config", required_argument, nullptr, 'c'},
         {"check", no_argument, nullptr, 'k'},
         {"initialize", no_argument, nullptr, 'i'},
         {"help", no_argument, nullptr, 'h'},
         {"version", no_argument, nullptr, 'V'},
         {nullptr, 0, nullptr, 0}}};
    command_line_result result;
    opterr = 0;
    int option = 0;
    while ((option =
                getopt_long(argc, argv, "c:hV", options.data(), nullptr)) != -1)
    {
        switch (option)
        {
        case 'c':
            result.command_line.config_file = QString::fromLocal8Bit(optarg);
            break;
        case 'k':
            result.command_line.is_check = true;
            break;
        case 'i':
            if (!of.has_initialize)
            {
                return usage_error(of, "unknown option --initialize");
            }
            result.command_line.is_initialize = true;
            break;
        case 'h':
            print_help(of);
            return {{}, exit_code::success};
        case 'V':
            std::cout << of.program << ' ' << product_version() << '\n';
            return {{}, exit_code::success};
        default:
            return usage_error(of, "unknown option or missing value");
        }
    }
    if (optind < argc)
    {
        return usage_error(of, "unexpected argument");
    }
    if (result.command_line.config_file.isEmpty())
    {
        return usage_error(of, "--config is missing");
    }
    return result;
}

char const* product_version()
{
    return VERBENACOVE_VERSION;
}

bool load_settings(
    QString const& file,
    std::function<boost::leaf::result<void>(ini_document const&)> const& use)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool>
        {
            BOOST_LEAF_AUTO(document, load_ini(file));
            BOOST_LEAF_CHECK(use(document));
            return true;
        },
        [](setting_errors const& failures)
        {
            std::cerr << failures.text().toStdString() << '\n';
            return false;
        },
        [&file]
        {
            std::cerr << file.toStdString() << ": cannot be used\n";
            return false;
        });
}

} // namespace verbenacove
