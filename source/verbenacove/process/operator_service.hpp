#ifndef VERBENACOVE_PROCESS_OPERATOR_SERVICE_HPP
#define VERBENACOVE_PROCESS_OPERATOR_SERVICE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/process/operator_connector.hpp"
#include "verbenacove/process/operator_errors.hpp"

#include <QCborMap>

#include <boost/leaf/result.hpp>
#include <jsonrpccpp/server/abstractserver.h>

namespace verbenacove
{

/** What the operators' door asks of its control replica.

    Called on many threads at the same time; each call may block, for at most
    its timeout. Errors are made on the calling thread.
*/
class control_backend
{
public:
    virtual ~control_backend() = default;

    /** Has a change committed and applied.

        @param change  as parse_change reads it
        @return what config_store::apply returned; or not_leader, no_quorum,
                or outcome_unknown when the time ran out after the change was
                proposed
    */
    virtual boost::leaf::result<QCborMap> submit(QCborMap const& change,
                                                 milliseconds timeout) = 0;

    /** Answers a question from state that holds all that was accepted before
        it was asked.

        @param question  as config_store::query reads it, or `{what:
                         "status"}`
        @return the answer; or not_leader or no_quorum
    */
    virtual boost::leaf::result<QCborMap> query(QCborMap const& question,
                                                milliseconds timeout) = 0;
};

/** The operators' door of a control replica: JSON-RPC 2.0 over HTTP.

    Each method takes named parameters, and `timeout_ms` beside them:

    - `change`: `change`, as parse_change reads it.
    - `drain`, `undrain`: `scope`, `target`, `change_id`, `author`,
      `expected_version`.
    - `read`, `list`, `history`: as config_store::query reads them, without
      `what`.
    - `status`: none.

    @see operator_client
*/
class operator_service : public jsonrpc::AbstractServer<operator_service>
{
public:
    /** Creates a service; the connector and the backend must outlive it. */
    operator_service(operator_connector& connector, control_backend& backend);

    operator_service(operator_service const&) = delete;
    operator_service& operator=(operator_service const&) = delete;

private:
    void change(Json::Value const& parameters, Json::Value& answer);
    void drain(Json::Value const& parameters, Json::Value& answer);
    void undrain(Json::Value const& parameters, Json::Value& answer);
    void read(Json::Value const& parameters, Json::Value& answer);
    void list(Json::Value const& parameters, Json::Value& answer);
    void history(Json::Value const& parameters, Json::Value& answer);
    void status(Json::Value const& parameters, Json::Value& answer);

    Json::Value submit(QCborMap change, milliseconds timeout);
    Json::Value query(QString const& what, Json::Value const& parameters);

    control_backend& backend_;
};

} // namespace verbenacove

#endif
