#ifndef VERBENACOVE_PROCESS_OPERATOR_CLIENT_HPP
#define VERBENACOVE_PROCESS_OPERATOR_CLIENT_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/process/operator_errors.hpp"
#include "verbenacove/process/operator_rpc_call.hpp"
#include "verbenacove/version/config_change.hpp"

#include <QJsonObject>

#include <boost/leaf/result.hpp>

#include <map>
#include <vector>

namespace verbenacove
{

/** Where and how long an operator_client asks. */
struct operator_client_settings
{
    /** The operators' addresses of control replicas; at least one. */
    std::vector<socket_address> controls;
    /** The longest time for one request, all tries together. */
    milliseconds timeout{15000};
    /** The longest time for one try. */
    milliseconds try_timeout{4000};
    /** The time between two rounds of tries. */
    milliseconds pause{200};
};

/** Asks control replicas on behalf of an operator.

    It tries each address in turn, follows to the leader, and goes on until
    there is an answer or the time is over. A change whose answer was lost is
    sent again with its change id, which makes that safe. Calls block.

    @see operator_service
*/
class operator_client
{
public:
    /** Creates a client. */
    explicit operator_client(operator_client_settings settings);

    /** Asks for a change, and for the same one again while its answer is
        lost.

        @return its result; or control_unreachable when it was surely not
                accepted, outcome_unknown when it may have been, or
                request_invalid
    */
    boost::leaf::result<change_result> change(config_change const& change);

    /** Asks a question.

        @param method      `read`, `list`, `history` or `status`
        @param parameters  as operator_service takes them
        @return the answer; or control_unreachable or request_invalid
    */
    boost::leaf::result<QJsonObject> query(QString const& method,
                                           QJsonObject const& parameters);

private:
    /** One request, over all its tries. */
    struct attempt
    {
        QString method;
        QJsonObject parameters;
        monotonic_time end;
        bool may_have_run = false;
        int follows = 0;
        std::map<QString, QString> reasons;
    };

    boost::leaf::result<QJsonObject> ask(attempt request);
    operator_rpc_answer try_once(attempt const& request,
                                 socket_address const& address) const;
    boost::leaf::result<QJsonObject> give_up(attempt const& request) const;
    bool note_failure(attempt& request, socket_address const& address,
                      operator_rpc_answer const& answer);
    socket_address next_address();

    operator_client_settings settings_;
    std::size_t next_ = 0;
    std::optional<socket_address> leader_;
    steady_clock_source clock_;
};

} // namespace verbenacove

#endif
