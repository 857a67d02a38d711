#include "verbenacove/process/daemon_command_line.hpp"
#include "verbenacove/process/operator_commands.hpp"
#include "verbenacove/process/request_trail.hpp"

#include <QFile>

#include <boost/leaf/handle_errors.hpp>

#include <iostream>

using namespace verbenacove;

namespace
{

operator_exit run(operator_command const& command)
{
    operator_client_settings settings;
    settings.controls = command.controls;
    settings.timeout = command.timeout;
    operator_client client(settings);
    operator_commands commands(
        client, [](QString const& text) { std::cout << text.toStdString(); },
        [](QString const& text)
        { std::cerr << "verbenactl: " << text.toStdString() << '\n'; });
    return commands.run(command);
}

/** Tells the way of one request by the processes' logs. */
operator_exit explain(QString const& id, QStringList const& files)
{
    request_trail trail(id);
    using step = void (request_trail::*)(QIODevice&);
    for (step const read :
         {&request_trail::add, &request_trail::add_neighbours})
    {
        for (auto const& name : files)
        {
            QFile file(name);
            if (!file.open(QIODevice::ReadOnly))
            {
                std::cerr << "verbenactl: " << name.toStdString()
                          << ": cannot be read\n";
                return operator_exit::usage;
            }
            (trail.*read)(file);
        }
    }
    if (!trail.is_found())
    {
        std::cerr << "verbenactl: no line names this request\n";
        return operator_exit::refused;
    }
    std::cout << trail.text().toStdString();
    return operator_exit::success;
}

boost::leaf::result<operator_exit> run_command_line(int argc, char** argv)
{
    BOOST_LEAF_AUTO(line, parse_operator_command_line(argc, argv));
    if (line.is_help)
    {
        std::cout << operator_help();
        return operator_exit::success;
    }
    if (line.is_version)
    {
        std::cout << "verbenactl " << product_version() << '\n';
        return operator_exit::success;
    }
    return run(line.command);
}

} // namespace

int main(int argc, char** argv)
{
    // Control replicas are IP numbers, never behind a proxy of the user's.
    qputenv("no_proxy", "*");
    constexpr int fewest_explain_words = 4;
    if (argc >= fewest_explain_words && qstrcmp(argv[1], "explain") == 0)
    {
        QStringList files;
        for (int word = 3; word < argc; ++word)
        {
            files += QString::fromLocal8Bit(argv[word]);
        }
        return static_cast<int>(
            explain(QString::fromLocal8Bit(argv[2]), files));
    }
    auto const code = boost::leaf::try_handle_all(
        [&] { return run_command_line(argc, argv); },
        [](command_line_error const& error)
        {
            std::cerr << "verbenactl: " << error.text.toStdString() << '\n';
            return operator_exit::usage;
        },
        [] { return operator_exit::usage; });
    return static_cast<int>(code);
}
