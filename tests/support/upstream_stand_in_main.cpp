#include "upstream_stand_in.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <array>
#include <cstdio>

#include <csignal>
#include <getopt.h>
#include <sys/signalfd.h>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int usage_exit_code = 2;
constexpr int unfinished_exit_code = 1;
constexpr milliseconds drain_limit{30000};

/** Takes the value of one command line option; false when it is wrong. */
using option_parser = bool (*)(stand_in_options&, QString const&);

template <auto Member>
bool take_text(stand_in_options& options, QString const& value)
{
    options.*Member = value;
    return !value.isEmpty();
}

template <auto Member>
bool take_number(stand_in_options& options, QString const& value)
{
    bool is_number = false;
    auto const number = value.toInt(&is_number);
    options.*Member = std::decay_t<decltype(options.*Member)>(number);
    return is_number && number >= 0;
}

template <auto Member>
bool take_address(stand_in_options& options, QString const& value)
{
    auto const address = parse_socket_address(value);
    options.*Member = address.value_or(socket_address{});
    return address.has_value();
}

bool take_entries(stand_in_options& options, QString const& value)
{
    for (auto const& text : value.split(u','))
    {
        auto const address = parse_socket_address(text.trimmed());
        if (!address)
        {
            return false;
        }
        options.entries.push_back(*address);
    }
    return true;
}

bool take_exponential(stand_in_options& options, QString const&)
{
    options.is_exponential = true;
    return true;
}

bool take_behaviour(stand_in_options& options, QString const& value)
{
    return apply_words(options.behaviour, value.toUtf8());
}

struct option_row
{
    char const* name;
    option_parser parser;
    int has_value = required_argument;
};

using so = stand_in_options;

constexpr std::array option_rows{
    option_row{"id", take_text<&so::id>},
    option_row{"service", take_text<&so::service>},
    option_row{"region", take_text<&so::region>},
    option_row{"zone", take_text<&so::zone>},
    option_row{"listen", take_address<&so::listen>},
    option_row{"announce-address", take_address<&so::announced>},
    option_row{"entries", take_entries},
    option_row{"slots", take_number<&so::slots_>},
    option_row{"connections", take_number<&so::connections>},
    option_row{"queue", take_number<&so::queue_limit>},
    option_row{"service-ms", take_number<&so::service_time>},
    option_row{"exponential", take_exponential, no_argument},
    option_row{"seed", take_number<&so::seed>},
    option_row{"incarnation", take_number<&so::incarnation>},
    option_row{"run-log", take_text<&so::run_log>},
    option_row{"linger-ms", take_number<&so::linger>},
    option_row{"behaviour", take_behaviour},
};

bool parse_command_line(int argc, char** argv, stand_in_options& options)
{
    std::array<option, option_rows.size() + 1> table{};
    for (std::size_t i = 0; i < option_rows.size(); ++i)
    {
        table[i] = {option_rows[i].name, option_rows[i].has_value, nullptr,
                    static_cast<int>(i)};
    }
    int row = 0;
    while ((row = ::getopt_long(argc, argv, "", table.data(), nullptr)) != -1)
    {
        if (row == '?')
        {
            return false;
        }
        auto const& [name, parser, has_value] =
            option_rows[static_cast<std::size_t>(row)];
        auto const value =
            QString::fromLocal8Bit(optarg != nullptr ? optarg : "");
        if (!parser(options, value))
        {
            std::fprintf(stderr, "--%s: not allowed: %s\n", name,
                         qPrintable(value));
            return false;
        }
    }
    return optind == argc && !options.id.isEmpty() && options.slots_ > 0 &&
           options.listen.port != 0;
}

int blocked_terminate_signal()
{
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGTERM);
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace

int main(int argc, char** argv)
{
    int const terminate_signal = blocked_terminate_signal();
    std::signal(SIGPIPE, SIG_IGN);
    QCoreApplication const application(argc, argv);
    stand_in_options options;
    if (!parse_command_line(argc, argv, options))
    {
        std::fputs("upstream_stand_in: usage: --id NAME --listen IP:PORT "
                   "[OPTION]...; see stand_in_options\n",
                   stderr);
        return usage_exit_code;
    }
    upstream_stand_in upstream(std::move(options));
    if (!upstream.is_listening())
    {
        std::fputs("upstream_stand_in: cannot listen\n", stderr);
        return unfinished_exit_code;
    }
    timer_service timers;
    timer_service::subscription limit;
    QSocketNotifier notifier(terminate_signal, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &notifier,
                     [&]
                     {
                         notifier.setEnabled(false);
                         upstream.drain([] { QCoreApplication::exit(0); });
                         limit = timers.call_after(
                             drain_limit, []
                             { QCoreApplication::exit(unfinished_exit_code); });
                     });
    return QCoreApplication::exec();
}
