#include "verbenacove/process/grant_service.hpp"

#include <utility>

namespace verbenacove
{

grant_service::grant_service(control_state const& state, raft_node& node,
                             clock_source const& clock)
    : state_(state)
    , node_(node)
    , clock_(clock)
{
}

void grant_service::answer(QCborArray const& requests, callback done)
{
    // Read before the question to the majority: whoever leads later has been
    // elected after this time.
    auto const as_of = clock_.now();
    node_.confirm_leadership(
        [this, requests, as_of, done = std::move(done)](bool is_confirmed)
        {
            if (!is_confirmed)
            {
                done(std::nullopt);
                return;
            }
            refresh();
            done(answers(requests, as_of));
        });
}

void grant_service::refresh()
{
    if (node_.term() != term_)
    {
        term_ = node_.term();
        ledger_.start_term(clock_.now());
        limits_version_ = config_version(-1);
    }
    for (auto const& holder : state_.holders())
    {
        ledger_.admit(holder);
    }
    if (limits_version_ != state_.config().version())
    {
        limits_version_ = state_.config().version();
        refresh_limits();
    }
}

void grant_service::refresh_limits()
{
    std::set<resource_name> current;
    for (auto const& [name, limit] : state_.limits())
    {
        ledger_.set_limit(name, limit);
        current.insert(name);
    }
    for (auto const& name : limited_)
    {
        if (current.count(name) == 0)
        {
            ledger_.remove_limit(name);
        }
    }
    limited_ = std::move(current);
}

QCborArray grant_service::answers(QCborArray const& requests,
                                  monotonic_time as_of)
{
    QCborArray result;
    for (auto const& value : requests)
    {
        auto const request = parse_grant_request(value.toMap());
        if (!request)
        {
            continue;
        }
        if (auto const answer = ledger_.answer(*request, as_of))
        {
            result.append(to_cbor(*answer));
        }
    }
    return result;
}

} // namespace verbenacove
