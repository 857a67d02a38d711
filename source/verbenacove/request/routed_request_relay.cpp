#include "verbenacove/request/routed_request_detail.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

using namespace routed_request_detail;

namespace
{

/** Maximum number of entries that one request is relayed to. */
constexpr std::size_t maximum_relays = 4;

} // namespace

bool routed_request::should_relay() const
{
    return !relayed_from_ && services_.reachability.is_cut_off() &&
           tried_entries_.size() < maximum_relays &&
           sent_attempts_ < route_.maximum_attempts;
}

bool routed_request::relay()
{
    auto const chosen = services_.relays.choose(route_.homes, tried_entries_);
    if (!chosen)
    {
        return false;
    }
    tried_entries_.push_back(chosen->id);
    running_attempt_ = services_.upstreams.start(
        make_relay_request(chosen->address),
        [self = shared_from_this(), id = chosen->id](attempt_result result)
        { self->handle_relay_result(id, std::move(result)); });
    return true;
}

attempt_request
routed_request::make_relay_request(socket_address const& address) const
{
    auto result = make_request(address);
    services_.header_codec.set_time_left(result.headers, time_left());
    set_relay_headers(
        result.headers,
        relay_request{route_.maximum_attempts - sent_attempts_, version_});
    result.is_own_response = [this](http_response const& head, connection_age)
    {
        return is_own_relay_response(head);
    };
    return result;
}

// A response that the upstream has given bears the id of its request. A refusal
// by the other entry bears none.
bool routed_request::is_own_relay_response(http_response const& head) const
{
    auto const information = read_relay_response(head.headers);
    auto const id = services_.header_codec.read_response(head).request_id;
    bool const may_lack_id =
        !information || information->verdict != run_verdict::ran;
    return id == metadata_.id || (may_lack_id && id.isEmpty());
}

void routed_request::handle_relay_result(entry_id const& entry,
                                         attempt_result result)
{
    running_attempt_.reset();
    if (has_ended_)
    {
        return;
    }
    log_relay(entry, result);
    auto const information = read_relay_response(result.response.headers);
    if (result.end == attempt_end::answered && information)
    {
        remove_relay_headers(result.response.headers);
        handle_relay_response(std::move(result), *information);
        return;
    }
    handle_relay_failure(entry, result);
}

void routed_request::handle_relay_response(attempt_result result,
                                           relay_response const& information)
{
    if (information.verdict == run_verdict::ran)
    {
        apply_relayed_signals(result, information);
        respond(std::move(result.response), run_verdict::ran, "relayed");
        return;
    }
    bool const is_lost = information.verdict == run_verdict::may_have_run;
    if (!is_lost && should_relay() && relay())
    {
        return;
    }
    if (is_lost || may_have_run_)
    {
        respond_may_have_run(result.response.status == gateway_timeout
                                 ? gateway_timeout
                                 : bad_gateway,
                             "relayed");
        return;
    }
    // Another status would be about the entry's configuration, which may be
    // older than the one that the request was accepted by.
    if (result.response.status == unavailable)
    {
        respond(std::move(result.response), run_verdict::not_run, "relayed");
        return;
    }
    respond_not_run("not relayed");
}

void routed_request::handle_relay_failure(entry_id const& entry,
                                          attempt_result const& result)
{
    bool const was_sent = may_have_been_sent(result.end);
    sent_attempts_ += was_sent ? 1 : 0;
    may_have_run_ = may_have_run_ || was_sent;
    if (!was_sent)
    {
        services_.relays.record_failure(entry);
    }
    if (can_retry(was_sent ? execution::may_have_run : execution::not_received))
    {
        try_next();
        return;
    }
    if (may_have_run_)
    {
        respond_may_have_run(result.end == attempt_end::timed_out_after_send
                                 ? gateway_timeout
                                 : bad_gateway,
                             "relay lost");
        return;
    }
    respond_not_run("not relayed");
}

// What an upstream says in a response binds each entry that passes it on.
void routed_request::apply_relayed_signals(attempt_result const& result,
                                           relay_response const& information)
{
    auto const metadata = services_.header_codec.read_response(result.response);
    auto const& members = pool_->upstreams.members();
    auto const member = std::find_if(members.begin(), members.end(),
                                     [&information](pool_member const& each) {
                                         return each.id == information.upstream;
                                     });
    if (metadata.is_leaving && member != members.end())
    {
        pool_->upstreams.mark_leaving(*member);
    }
}

void routed_request::log_relay(entry_id const& entry,
                               attempt_result const& result) const
{
    request_log.note("request.relayed",
                     {{"request", QString::fromLatin1(metadata_.id)},
                      {"entry", entry.value()},
                      {"status", result.response.status},
                      {"reason", result.reason},
                      {"sent", may_have_been_sent(result.end)},
                      {"took_ms", qint64{result.duration.count()}}});
}

} // namespace verbenacove
