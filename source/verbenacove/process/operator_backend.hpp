#ifndef VERBENACOVE_PROCESS_OPERATOR_BACKEND_HPP
#define VERBENACOVE_PROCESS_OPERATOR_BACKEND_HPP

#include "verbenacove/process/control_server.hpp"
#include "verbenacove/process/operator_service.hpp"

#include <QObject>

namespace verbenacove
{

/** Answers the operators' door from a control replica: it carries each
    question from the door's threads to the control thread and back.

    Create it on the control thread.
*/
class operator_backend : public control_backend
{
public:
    /** The server must outlive the backend. */
    explicit operator_backend(control_server& server);

    boost::leaf::result<QCborMap> submit(QCborMap const& change,
                                         milliseconds timeout) override;
    boost::leaf::result<QCborMap> query(QCborMap const& question,
                                        milliseconds timeout) override;

private:
    control_server& server_;
    QObject context_;
};

} // namespace verbenacove

#endif
