#ifndef VERBENACOVE_SUPPORT_CHILD_PROCESS_HPP
#define VERBENACOVE_SUPPORT_CHILD_PROCESS_HPP

#include "verbenacove/core/clock.hpp"

#include <QString>
#include <QStringList>

#include <optional>

#include <sys/types.h>

namespace verbenacove::support
{

/** One real process, which is killed and reaped by its own id at the latest
    when this object is destroyed.

    A process that is started on the program's first thread is also killed when
    that program dies. Not thread-safe.
*/
class child_process
{
public:
    child_process() = default;
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /** Starts a program; its output is appended to the log file.

        A child that still runs is killed first. A program that cannot be
        executed ends with exit code 127.

        @return false when no process could be created
    */
    bool start(QString const& program, QStringList const& arguments,
               QString const& log_file);

    /** Returns the process id, or 0 when none is running or unreaped. */
    pid_t pid() const { return pid_; }

    /** Returns true while the process lives, also when it is frozen. */
    bool is_running();

    /** Returns the exit code, or 128 and the signal that ended the process;
        nothing while it runs or before it was started. */
    std::optional<int> exit_code();

    /** Kills the process with SIGKILL and reaps it. */
    void kill_now();

    /** Stops the process with SIGSTOP; returns once it stands still.

        @see thaw
    */
    void freeze();

    /** Lets a frozen process go on. */
    void thaw();

    /** Sends SIGTERM and waits.

        @return the exit code, or nothing when the process still runs after
                this time
    */
    std::optional<int> stop_gracefully(milliseconds timeout);

    /** Returns the last bytes of the log file. */
    QString log_tail(qint64 bytes = 4096) const;

private:
    void reap(bool wait);

    pid_t pid_ = 0;
    std::optional<int> exit_code_;
    QString log_file_;
};

/** Returns a TCP and UDP port on 127.0.0.1 that nothing is bound to.

    No port is handed out twice in one process, and test programs that run at
    the same time take theirs from ranges of their own. All lie below the
    range from which the kernel takes ports. Thread-safe.

    @return the port, or 0 when all are taken
*/
quint16 free_port();

} // namespace verbenacove::support

#endif
