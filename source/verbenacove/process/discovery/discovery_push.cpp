#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/discovery/discovery_service_detail.hpp"

#include <utility>

namespace verbenacove
{

using namespace discovery_detail;

namespace
{

/** Below the 1 s for which an upstream waits for its acknowledgement. */
constexpr milliseconds push_timeout{800};

} // namespace

void discovery_service::handle_push(QCborMap const& request,
                                    reply_function const& reply)
{
    auto const now = clock_.now();
    upstream_member record;
    if (!from_cbor(cbor_map(request, "upstream"), now, record))
    {
        reply({{QLatin1String("status"), QLatin1String("malformed")}});
        return;
    }
    upstream_id const id(record.id);
    if (record.started.value() == 0 && record.phase == member_phase::gone)
    {
        membership_.mark_upstream_gone(id);
    }
    else
    {
        membership_.apply_relayed(std::move(record));
    }
    reply({{QLatin1String("status"), QLatin1String("ok")}});
}

void discovery_service::push(upstream_member const& record,
                             acknowledge_callback done)
{
    struct pending_push
    {
        std::size_t needed = 0;
        std::size_t outstanding = 0;
        acknowledge_callback done;
    };
    auto const members = server_.node().members();
    auto const pending = std::make_shared<pending_push>();
    pending->done = std::move(done);
    pending->needed = members.size() / 2 + 1;
    if (members.empty())
    {
        pending->done(false);
        return;
    }
    auto const count_reply = [pending, id = record.id](bool is_ok)
    {
        --pending->outstanding;
        pending->needed -= is_ok && pending->needed > 0 ? 1 : 0;
        if (!pending->done || (pending->needed > 0 && pending->outstanding > 0))
        {
            return;
        }
        bool const has_majority = pending->needed == 0;
        discovery_log.note("upstream.acknowledged",
                           {{"upstream", id}, {"majority", has_majority}});
        std::exchange(pending->done, nullptr)(has_majority);
    };
    pending->outstanding = members.size();
    QCborMap const request{
        {QLatin1String("m"), QLatin1String("push")},
        {QLatin1String("upstream"), to_cbor(record, clock_.now())}};
    for (auto const& member : members)
    {
        if (member.address == settings_.self.address)
        {
            count_reply(true);
            continue;
        }
        server_.call(member.address, request, push_timeout,
                     [count_reply](std::optional<QCborMap> const& reply) {
                         count_reply(reply && cbor_text(*reply, "status") ==
                                                  QLatin1String("ok"));
                     });
    }
}

} // namespace verbenacove
