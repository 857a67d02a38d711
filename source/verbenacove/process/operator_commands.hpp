#ifndef VERBENACOVE_PROCESS_OPERATOR_COMMANDS_HPP
#define VERBENACOVE_PROCESS_OPERATOR_COMMANDS_HPP

#include "verbenacove/process/operator_client.hpp"
#include "verbenacove/process/operator_command_line.hpp"

#include <QString>

#include <functional>

namespace verbenacove
{

/** Runs one command of an operator and prints what came of it. */
class operator_commands
{
public:
    /** Where a line or more of text goes. */
    using printer = std::function<void(QString const&)>;

    /** Creates a runner.

        @param client  must outlive the runner
        @param output  for what was asked for
        @param notes   for what goes beside it: the change id, and faults
    */
    operator_commands(operator_client& client, printer output, printer notes);

    /** Runs a command; returns the process's exit code. */
    operator_exit run(operator_command const& command);

private:
    boost::leaf::result<operator_exit>
    run_read(operator_command const& command);
    boost::leaf::result<operator_exit>
    run_list(operator_command const& command);
    boost::leaf::result<operator_exit>
    run_history(operator_command const& command);
    boost::leaf::result<operator_exit>
    run_status(operator_command const& command);
    boost::leaf::result<operator_exit>
    run_change(operator_command const& command);

    boost::leaf::result<config_change>
    change_of(operator_command const& command);
    boost::leaf::result<record_version>
    current_version(operator_command const& command);
    boost::leaf::result<operator_exit> answer(operator_command const& command,
                                              QString const& method,
                                              QJsonObject const& parameters);
    void print(operator_command const& command, QJsonObject const& object);
    void note_resend(operator_command const& command);

    operator_client& client_;
    printer output_;
    printer notes_;
    record_version sent_version_;
};

} // namespace verbenacove

#endif
