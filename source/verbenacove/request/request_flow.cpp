#include "verbenacove/request/request_flow.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr qint64 maximum_deadline_ms = 600000;
constexpr qsizetype maximum_key_bytes = 128;

/** Headers of the caller's request that are not passed on to upstreams. */
constexpr std::array<char const*, 5> dropped_headers{
    "Host", "Deadline-Ms", "Expect", "Run-Verdict", "traceparent"};

bool is_dropped(http_header const& header)
{
    return std::any_of(
        dropped_headers.begin(), dropped_headers.end(),
        [&header](char const* name)
        { return header.name.compare(name, Qt::CaseInsensitive) == 0; });
}

bool is_printable(QByteArray const& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character)
                       { return character > 0x20 && character < 0x7f; });
}

int status_for_code(QByteArray const& code)
{
    if (code == "deadline")
    {
        return 504;
    }
    if (code == "quarantined")
    {
        return 429;
    }
    return code == "upstream-failed" ? 502 : 503;
}

http_response with_verdict(http_response response, run_verdict verdict)
{
    std::erase_if(response.headers,
                  [](http_header const& header) {
                      return header.name.compare("Run-Verdict",
                                                 Qt::CaseInsensitive) == 0;
                  });
    response.headers.push_back({"Run-Verdict", verdict_word(verdict)});
    return response;
}

} // namespace

void request_flow::start(request_services const& services,
                         std::shared_ptr<http_exchange> exchange,
                         service_record const& service, QByteArray const& path,
                         std::shared_ptr<service_pool> pool)
{
    std::shared_ptr<request_flow> flow(new request_flow(
        services, std::move(exchange), service, path, std::move(pool)));
    flow->begin();
}

request_flow::request_flow(request_services const& services,
                           std::shared_ptr<http_exchange> exchange,
                           service_record service, QByteArray path,
                           std::shared_ptr<service_pool> pool)
    : services_(services)
    , exchange_(std::move(exchange))
    , service_(std::move(service))
    , path_(std::move(path))
    , pool_(std::move(pool))
{
}

void request_flow::begin()
{
    auto const& request = exchange_->request();
    start_time_ = services_.attempts.clock.now();
    span_ = trace_span::begin(QStringLiteral("request"),
                              parse_traceparent(request.header("traceparent")),
                              services_.sample_one_in);
    span_.note("service", service_.name.value());
    policy_ = policy_for(service_, request.method, path_);
    if (!read_deadline())
    {
        return;
    }
    if (request.body.size() > service_.max_body_bytes)
    {
        respond_error(413, "body-too-large",
                      "The body exceeds the service's size limit.",
                      run_verdict::not_run);
        return;
    }
    auto target = path_;
    if (!request.query.isEmpty())
    {
        target += '?' + request.query;
    }
    fingerprint_ = fingerprint_of(request.method, target, request.body);
    if (!needs_claim() || read_key())
    {
        request_admission();
    }
}

// Admission.

void request_flow::request_admission()
{
    if (!exchange_->check_caller())
    {
        return;
    }
    auto const entered = services_.admission_control.enter(
        service_.name, policy_.request_class, deadline_,
        [self = shared_from_this()](admission_decision decision)
        { self->handle_admission(decision); });
    ticket_ = entered.ticket;
    if (entered.decision == admission_decision::waiting)
    {
        exchange_->on_cancelled(
            [flow = weak_from_this()]
            {
                if (auto const waiting = flow.lock())
                {
                    waiting->leave_admission();
                }
            });
        return;
    }
    handle_admission(entered.decision);
}

void request_flow::handle_admission(admission_decision decision)
{
    switch (decision)
    {
    case admission_decision::admitted:
        if (needs_claim())
        {
            claim();
        }
        else
        {
            send_idempotent();
        }
        return;
    case admission_decision::deadline:
        respond_not_sent(504, "deadline", "The deadline has passed.");
        return;
    default:
        break;
    }
    respond_not_sent(503, "overloaded", "No upstream has a free slot.");
}

void request_flow::leave_admission()
{
    if (auto const ticket = std::exchange(ticket_, std::nullopt))
    {
        services_.admission_control.leave(*ticket);
    }
}

bool request_flow::needs_claim() const
{
    return policy_.request_class == request_class::non_idempotent;
}

bool request_flow::read_deadline()
{
    auto left = service_.timeout;
    auto const& request = exchange_->request();
    if (request.has_header("Deadline-Ms"))
    {
        bool is_number = false;
        auto const value = request.header("Deadline-Ms").toLongLong(&is_number);
        if (!is_number || value < 1 || value > maximum_deadline_ms)
        {
            respond_error(400, "bad-deadline",
                          "Deadline-Ms must be a whole number from 1 to "
                          "600000.",
                          run_verdict::not_run);
            return false;
        }
        left = milliseconds(value);
    }
    deadline_ = services_.attempts.clock.now() + left;
    return true;
}

bool request_flow::read_key()
{
    auto const& request = exchange_->request();
    QByteArray key;
    if (policy_.key.segment > 0)
    {
        key = path_segments(path_).value(policy_.key.segment - 1);
    }
    else
    {
        key = request.header(policy_.key.header.toLatin1());
    }
    if (key.isEmpty() || key.size() > maximum_key_bytes || !is_printable(key))
    {
        respond_error(400, "key-required",
                      "A non-idempotent request needs a key of 1 to 128 "
                      "printable characters.",
                      run_verdict::not_run);
        return false;
    }
    key_ = {service_.name, request_key(QString::fromLatin1(key))};
    return true;
}

outgoing_request request_flow::make_outgoing_request() const
{
    auto const& request = exchange_->request();
    outgoing_request out;
    out.kind = policy_.request_class;
    out.fingerprint = fingerprint_;
    out.method = request.method;
    out.target = path_.isEmpty() ? QByteArray("/") : path_;
    if (!request.query.isEmpty())
    {
        out.target += '?' + request.query;
    }
    for (auto const& header : end_to_end_headers(request.headers))
    {
        if (!is_dropped(header))
        {
            out.headers.push_back(header);
        }
    }
    out.body = request.body;
    out.deadline = deadline_;
    out.connect_timeout = services_.connect_timeout;
    out.trace = span_.context();
    out.may_reuse_connection = services_.keeps_connections && !needs_claim();
    out.may_run_again = !needs_claim() && service_.retry;
    return out;
}

// Idempotent requests.

void request_flow::send_idempotent()
{
    if (!exchange_->check_caller())
    {
        leave_admission();
        return;
    }
    auto const loop = attempt_loop::start(
        make_outgoing_request(), pool_, services_.attempts,
        [self = shared_from_this()](attempt_loop_result const& result)
        { self->handle_idempotent_result(result); });
    exchange_->on_cancelled(
        [loop = std::weak_ptr(loop)]
        {
            if (auto const running = loop.lock())
            {
                running->cancel();
            }
        });
}

void request_flow::handle_idempotent_result(attempt_loop_result const& result)
{
    services_.on_attempts_ended(service_.name, result.sent);
    respond_with_result(result);
}

// Responses to all requests.

void request_flow::respond_with_result(attempt_loop_result const& result)
{
    if (result.response)
    {
        respond(*result.response, result.verdict);
        return;
    }
    respond_error(status_for_code(result.code), result.code, result.message,
                  result.verdict);
}

void request_flow::respond_error(int status, QByteArray const& code,
                                 QByteArray const& message, run_verdict verdict)
{
    // `respond` replaces the verdict that `not_run_response` sets.
    respond(not_run_response(status, code, message), verdict);
}

void request_flow::respond(http_response response, run_verdict verdict)
{
    span_.note("verdict", QString::fromLatin1(verdict_word(verdict)));
    span_.note("status", QString::number(response.status));
    span_.end();
    leave_admission();
    services_.on_response(service_.name, verdict, response.status,
                          std::chrono::duration_cast<std::chrono::microseconds>(
                              services_.attempts.clock.now() - start_time_));
    exchange_->respond(with_verdict(std::move(response), verdict));
}

milliseconds request_flow::time_left() const
{
    return elapsed(services_.attempts.clock.now(), deadline_);
}

} // namespace verbenacove
