#ifndef VERBENACOVE_SUPPORT_CLUSTER_FIXTURE_HPP
#define VERBENACOVE_SUPPORT_CLUSTER_FIXTURE_HPP

#include "child_process.hpp"

#include "verbenacove/core/socket_address.hpp"

#include <QTemporaryDir>

#include <map>
#include <memory>
#include <vector>

namespace verbenacove::support
{

/** The addresses that a process of a cluster_fixture can have. */
enum class door
{
    /** Callers, metrics and health; an upstream's only one. */
    http,
    /** A control replica's address for replicas and entries. */
    internal,
    /** A control replica's address for operators. */
    operators,
    /** An entry's UDP address for other entries. */
    peer
};

/** Where a process runs. */
struct place
{
    QString region;
    QString zone;
};

/** A cluster of real processes in a temporary folder.

    Declare every process first, for the settings of each name the others;
    then put proxies in between with `advertise`, and start them. Logs,
    settings and data lie in the folder, which goes with the fixture unless
    VERBENACOVE_KEEP is set in the environment.
*/
class cluster_fixture
{
public:
    /** Takes the daemons from this folder and the stand-in from its `tests`
        folder. */
    explicit cluster_fixture(QString binaries);
    ~cluster_fixture();
    cluster_fixture(cluster_fixture const&) = delete;
    cluster_fixture& operator=(cluster_fixture const&) = delete;

    /** Declares a control replica. */
    void add_control(QString const& name, place const& where);

    /** Declares an entry. */
    void add_entry(QString const& name, place const& where);

    /** Declares an upstream stand-in.

        @param arguments  further options, as `--slots`, `3`
    */
    void add_upstream(QString const& name, QString const& service,
                      place const& where, QStringList const& arguments = {});

    /** Adds lines to a process's settings; sections may come again. */
    void add_settings(QString const& name, QString const& lines);

    /** Lets others reach an address through another one, such as a proxy's.

        @param viewer  the process whose settings name it; empty for all
                       that have no address of their own for it
    */
    void advertise(QString const& name, door which,
                   socket_address const& address, QString const& viewer = {});

    /** Returns the address at which a process listens itself. */
    socket_address address(QString const& name, door which) const;

    /** Returns the address at which a viewer's settings show it. */
    socket_address advertised(QString const& name, door which,
                              QString const& viewer = {}) const;

    /** Writes the settings and starts a process, also one that has ended. */
    bool start(QString const& name);

    /** Empties a control replica's data folder, as a lost disk does; the
        process must not run. The next start does not initialise it. */
    void lose_disk(QString const& name);

    /** What a run of the operators' client gave. */
    struct client_result
    {
        int exit_code = -1;
        QByteArray output;
        QByteArray errors;
    };

    /** Runs the operators' client with the addresses of all replicas, and
        waits for its end; `input` is what it reads from `--file -`. */
    client_result run_client(QStringList const& arguments,
                             QByteArray const& input = {}) const;

    /** Starts all that do not run: control replicas, entries, upstreams. */
    bool start_all();

    /** Waits until `/readyz` answers 200, or an upstream `/health`. */
    bool wait_ready(QString const& name,
                    milliseconds bound = milliseconds(10000));

    /** Returns a declared process. */
    child_process& process(QString const& name);

    /** Returns a file or folder of a process: `ini`, `log`, `runs`, `data`. */
    QString path(QString const& name, QString const& kind) const;

    /** Returns the end of every process's log, for a failure's message. */
    QString log_tails() const;

private:
    enum class kind
    {
        control,
        entry,
        upstream
    };
    struct member
    {
        QString name;
        kind what;
        place where;
        QString service;
        QStringList arguments;
        QString settings;
        std::map<door, socket_address> addresses;
        child_process process;
        bool is_initialized = false;
    };

    member& add(QString const& name, kind what, place const& where,
                std::vector<door> const& doors);
    member& find(QString const& name) const;
    QString list(kind what, door which, QString const& viewer,
                 bool is_named) const;
    bool initialize(member& of, QString const& settings_file) const;
    QString control_settings(member const& of) const;
    QString entry_settings(member const& of) const;
    QStringList upstream_arguments(member const& of) const;

    QString binaries_;
    QTemporaryDir folder_;
    std::vector<std::unique_ptr<member>> members_;
    /** By name, door and viewer. */
    std::map<std::tuple<QString, door, QString>, socket_address> advertised_;
};

} // namespace verbenacove::support

#endif
