#include "verbenacove/process/control_client.hpp"

#include "verbenacove/core/cbor.hpp"

#include <QTimer>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr milliseconds try_timeout{500};
constexpr milliseconds pause_between_tries{30};

} // namespace

control_client::control_client(std::vector<socket_address> const& addresses)
{
    for (auto const& address : addresses)
    {
        clients_.push_back(std::make_unique<rpc_client>(address));
    }
}

void control_client::call_leader(QCborMap request, milliseconds time_left,
                                 callback done)
{
    auto const now = std::chrono::steady_clock::now();
    try_leader(std::make_shared<search>(
        search{std::move(request), now + time_left, std::move(done)}));
}

void control_client::call_any(QCborMap request, milliseconds timeout,
                              callback done)
{
    auto const asked = any_;
    clients_[asked]->call(
        std::move(request), timeout,
        [this, asked, done = std::move(done)](std::optional<QCborMap> reply)
        {
            bool const is_ok =
                reply && cbor_text(*reply, "status") == QLatin1String("ok");
            if (!is_ok && any_ == asked)
            {
                any_ = (asked + 1) % clients_.size();
            }
            done(is_ok ? std::move(reply) : std::nullopt);
        });
}

void control_client::try_leader(std::shared_ptr<search> const& wanted)
{
    auto const left =
        elapsed(std::chrono::steady_clock::now(), wanted->deadline);
    if (left <= milliseconds(0))
    {
        wanted->done(std::nullopt);
        return;
    }
    auto const asked = leader_;
    clients_[asked]->call(
        wanted->request, std::min(left, try_timeout),
        [this, wanted, asked](std::optional<QCborMap> const& reply)
        { take_reply(wanted, asked, reply); });
}

void control_client::take_reply(std::shared_ptr<search> const& wanted,
                                std::size_t asked,
                                std::optional<QCborMap> const& reply)
{
    if (reply && cbor_text(*reply, "status") == QLatin1String("ok"))
    {
        wanted->done(reply);
        return;
    }
    auto const named = reply ? parse_socket_address(cbor_text(*reply, "leader"))
                             : std::nullopt;
    auto const found =
        std::find_if(clients_.begin(), clients_.end(),
                     [&named](auto const& client)
                     { return named && client->address() == *named; });
    if (found != clients_.end() && leader_ == asked)
    {
        leader_ = static_cast<std::size_t>(found - clients_.begin());
    }
    else if (leader_ == asked)
    {
        leader_ = (asked + 1) % clients_.size();
    }
    try_again_later(wanted);
}

void control_client::try_again_later(std::shared_ptr<search> const& wanted)
{
    // A pause, so that an election is not met by a storm of calls.
    QTimer::singleShot(pause_between_tries, &context_,
                       [this, wanted] { try_leader(wanted); });
}

} // namespace verbenacove
