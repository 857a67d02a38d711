#include "verbenacove/process/operator_backend.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/operator_errors.hpp"

#include <QMetaObject>

#include <future>
#include <memory>

namespace verbenacove
{

namespace
{

/** How a question to the control thread ended. */
enum class answer_end
{
    answered,
    other_leads,
    nobody_leads,
    unknown
};

struct control_answer
{
    answer_end end = answer_end::unknown;
    QCborMap content;
};

using answer_promise = std::shared_ptr<std::promise<control_answer>>;

answer_end refusal_of(control_server const& server)
{
    bool const is_elsewhere =
        !server.node().is_leader() && server.node().leader().has_value();
    return is_elsewhere ? answer_end::other_leads : answer_end::nobody_leads;
}

boost::leaf::result<QCborMap> wait_for(std::future<control_answer> future,
                                       milliseconds timeout, answer_end late)
{
    control_answer answer;
    answer.end = late;
    if (future.wait_for(timeout) == std::future_status::ready)
    {
        answer = future.get();
    }
    switch (answer.end)
    {
    case answer_end::answered:
        return answer.content;
    case answer_end::other_leads:
        return boost::leaf::new_error(not_leader{});
    case answer_end::nobody_leads:
        return boost::leaf::new_error(no_quorum{});
    case answer_end::unknown:
        break;
    }
    return boost::leaf::new_error(outcome_unknown{});
}

} // namespace

operator_backend::operator_backend(control_server& server)
    : server_(server)
{
}

boost::leaf::result<QCborMap> operator_backend::submit(QCborMap const& change,
                                                       milliseconds timeout)
{
    auto const promise = std::make_shared<std::promise<control_answer>>();
    auto future = promise->get_future();
    QMetaObject::invokeMethod(
        &context_,
        [this, change, promise]
        {
            server_.submit_change(
                change,
                [this, promise](raft_node::proposal_end end,
                                QCborMap const& result)
                {
                    switch (end)
                    {
                    case raft_node::proposal_end::committed:
                        promise->set_value({answer_end::answered, result});
                        return;
                    case raft_node::proposal_end::not_taken:
                        promise->set_value({refusal_of(server_), {}});
                        return;
                    case raft_node::proposal_end::unknown:
                        break;
                    }
                    promise->set_value({answer_end::unknown, {}});
                });
        },
        Qt::QueuedConnection);
    return wait_for(std::move(future), timeout, answer_end::unknown);
}

boost::leaf::result<QCborMap> operator_backend::query(QCborMap const& question,
                                                      milliseconds timeout)
{
    auto const promise = std::make_shared<std::promise<control_answer>>();
    auto future = promise->get_future();
    QMetaObject::invokeMethod(
        &context_,
        [this, question, promise]
        {
            server_.confirm_current(
                [this, question, promise](bool is_confirmed)
                {
                    if (!is_confirmed)
                    {
                        promise->set_value({refusal_of(server_), {}});
                        return;
                    }
                    bool const is_status =
                        cbor_text(question, "what") == QLatin1String("status");
                    promise->set_value(
                        {answer_end::answered,
                         is_status ? server_.status()
                                   : server_.state().config().query(question)});
                });
        },
        Qt::QueuedConnection);
    return wait_for(std::move(future), timeout, answer_end::nobody_leads);
}

} // namespace verbenacove
