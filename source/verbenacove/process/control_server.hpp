#ifndef VERBENACOVE_PROCESS_CONTROL_SERVER_HPP
#define VERBENACOVE_PROCESS_CONTROL_SERVER_HPP

#include "verbenacove/connection/rpc_server.hpp"
#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/process/control_settings.hpp"
#include "verbenacove/process/control_state.hpp"
#include "verbenacove/process/entry_reports.hpp"
#include "verbenacove/process/grant_service.hpp"
#include "verbenacove/process/raft_node.hpp"
#include "verbenacove/process/raft_rpc_transport.hpp"
#include "verbenacove/process/work_meter.hpp"

#include <functional>
#include <memory>

namespace verbenacove
{

/** A control replica at work: the log, the state that it drives, and the door
    for entries and other replicas. It lives on the control thread.

    @see operator_backend
*/
class control_server
{
public:
    using reply_function = rpc_server::reply_function;

    /** Handles the calls of one name. */
    using call_handler =
        std::function<void(QCborMap const&, reply_function const&)>;

    /** The storage must outlive the server. */
    control_server(control_settings settings, raft_storage& storage);
    control_server(control_server const&) = delete;
    control_server& operator=(control_server const&) = delete;

    /** Opens the door; false when the address cannot be had. */
    bool start();

    /** Returns why `start` failed. */
    QString error_text() const { return rpc_.error_text(); }

    /** Hands leadership over and calls back when it is gone, or when that
        took too long. */
    void stop(std::function<void()> stopped);

    /** Hands the calls of a name to another part, which must outlive the
        server; set before `start`. */
    void add_handler(QString const& name, call_handler handle);

    /** Proposes a command of control_state.
        @see raft_node::propose */
    void submit(QCborMap command, raft_node::proposal_callback done);

    /** On the leader, puts a form into use if all replicas that answer can read
        it; for a change that cannot be proposed in an earlier one.
        @see raft_node::answering_form */
    void request_form(control_state::form wanted);

    /** Calls another replica. */
    void call(socket_address const& to, QCborMap request, milliseconds timeout,
              raft_transport::callback done);

    /** Calls another replica with what may be large; see
        raft_transport::send_bulk. */
    void call_bulk(socket_address const& to, QCborMap request,
                   milliseconds timeout, raft_transport::callback done);

    /** Sets where a replica without a vote asks to be taken in. */
    void set_known_addresses(std::vector<socket_address> addresses);

    /** Sets where the locations of replicas are looked up.
        @see raft_node::set_location_lookup */
    void set_location_lookup(voter_placement::location_lookup lookup);

    /** Proposes an operator's change; the result is that of config_store.
        @see raft_node::propose */
    void submit_change(QCborMap const& change,
                       raft_node::proposal_callback done);

    /** Calls back with true when this replica's state holds all that was
        accepted before the question. */
    void confirm_current(raft_node::confirm_callback done);

    control_settings const& settings() const { return settings_; }
    raft_node const& node() const { return node_; }
    control_state const& state() const { return state_; }

    /** Returns the meter of the control thread's work. */
    work_meter& work() { return work_; }

    /** Returns the name of the leader, or an empty one. */
    QString leader_name() const;

    /** Returns the replicas, entries and upstreams for operators, as the
        leader knows them: `{leader, term, config_version, claims, replicas,
        entries, upstreams}`. */
    QCborMap status() const;

private:
    using handler = void (control_server::*)(QCborMap const&,
                                             reply_function const&);

    void handle(QCborMap const& request, reply_function const& reply);
    void handle_sync(QCborMap const& request, reply_function const& reply);
    void handle_claim(QCborMap const& request, reply_function const& reply);
    void answer_sync(QCborMap const& request, reply_function const& reply);
    void handle_report(QCborMap const& request, reply_function const& reply);
    void send_report();
    /** On the leader, puts the latest form into use that all replicas can
        read. */
    void raise_form();
    void raise_form_to(int common);
    void handle_grants(QCborMap const& request, reply_function const& reply);
    void abandon_former(QCborMap const& request);
    void schedule_flush();
    QCborMap refusal() const;
    /** Returns the log time of a command that is proposed now: what the log
        held last, and what the monotonic clock has counted since. */
    qint64 next_log_time();

    control_settings settings_;
    QHash<QString, call_handler> handlers_;
    steady_clock_source clock_;
    work_meter work_;
    control_state state_;
    raft_rpc_transport transport_{work_};
    raft_node node_;
    rpc_server rpc_;
    timer_service timers_;
    timer_service::subscription tick_;
    timer_service::subscription stopping_;
    timer_service::subscription report_;
    log_time log_time_;
    monotonic_time log_time_seen_{};
    entry_reports reports_;
    grant_service grants_;
    bool is_flush_due_ = false;
    bool is_raising_form_ = false;
    QObject context_;
};

} // namespace verbenacove

#endif
