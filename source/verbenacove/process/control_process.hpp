#ifndef VERBENACOVE_PROCESS_CONTROL_PROCESS_HPP
#define VERBENACOVE_PROCESS_CONTROL_PROCESS_HPP

#include "verbenacove/connection/http_server.hpp"
#include "verbenacove/process/control_server.hpp"
#include "verbenacove/process/metrics.hpp"
#include "verbenacove/process/operator_backend.hpp"
#include "verbenacove/process/operator_connector.hpp"
#include "verbenacove/process/operator_service.hpp"

#include <functional>
#include <memory>

namespace verbenacove
{

/** Makes the files of a replica of a new system, whose first voting replicas
    are all those that the settings name.

    Do it once for each replica before the first start. A replica that has
    lost its disk must not be initialised: started on an empty folder, it
    learns from the others first.

    @return the reason when that failed, else empty
*/
QString initialize_replica(control_settings const& settings);

/** A control daemon: its files, its replica, and its doors. */
class control_process
{
public:
    explicit control_process(control_settings settings);
    ~control_process();
    control_process(control_process const&) = delete;
    control_process& operator=(control_process const&) = delete;

    /** Opens the files and the doors; the reason when that failed. */
    QString start();

    /** Hands leadership over, ends what is in hand, and calls back. */
    void stop(std::function<void()> stopped);

private:
    QString open_files();
    QString open_doors();
    void finish_operators(std::function<void()> const& stopped);
    void handle_http(std::shared_ptr<http_exchange> const& exchange);
    QByteArray status_body() const;
    QByteArray metrics_body();

    control_settings settings_;
    std::unique_ptr<raft_storage> storage_;
    std::unique_ptr<control_server> server_;
    std::unique_ptr<operator_backend> backend_;
    std::unique_ptr<operator_connector> operators_;
    std::unique_ptr<operator_service> service_;
    std::unique_ptr<http_server> http_;
    control_metrics metrics_;
    timer_service timers_;
    timer_service::subscription stop_timer_;
};

} // namespace verbenacove

#endif
