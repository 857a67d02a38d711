#include "verbenacove/connection/http_exchange.hpp"

#include "verbenacove/connection/http_connection.hpp"
#include "verbenacove/core/verdict.hpp"

#include <utility>

namespace verbenacove
{

namespace
{

http_response unanswered_response()
{
    auto result =
        not_run_response(500, "internal", "The request got no answer.");
    result.headers.back().value = verdict_word(run_verdict::may_have_run);
    return result;
}

} // namespace

http_exchange::http_exchange(http_request request, http_connection* connection,
                             quint64 sequence)
    : request_(std::move(request))
    , connection_(connection)
    , sequence_(sequence)
{
}

http_exchange::~http_exchange()
{
    if (!is_answered_ && connection_)
    {
        respond(unanswered_response());
    }
}

http_request const& http_exchange::request() const
{
    return request_;
}

void http_exchange::respond(http_response const& response)
{
    if (is_answered_ || !connection_)
    {
        return;
    }
    is_answered_ = true;
    cancel_calls_.clear();
    connection_->answer(sequence_, response);
}

bool http_exchange::is_cancelled() const
{
    return is_cancelled_;
}

bool http_exchange::check_caller()
{
    if (connection_ && connection_->has_caller_left())
    {
        connection_->abort();
    }
    return !is_cancelled_;
}

void http_exchange::on_cancelled(std::function<void()> call)
{
    if (is_cancelled_)
    {
        call();
    }
    else if (!is_answered_)
    {
        cancel_calls_.push_back(std::move(call));
    }
}

void http_exchange::cancel()
{
    forget_connection();
    auto const calls = std::exchange(cancel_calls_, {});
    for (auto const& call : calls)
    {
        call();
    }
}

void http_exchange::forget_connection()
{
    connection_.clear();
    is_cancelled_ = true;
}

} // namespace verbenacove
