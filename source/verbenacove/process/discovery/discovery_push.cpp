#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/discovery/discovery_service_detail.hpp"

#include <QDateTime>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace verbenacove
{

using namespace discovery_detail;

namespace
{

/** Below the 1 s for which an upstream waits for its acknowledgement. */
constexpr milliseconds push_timeout{800};
/** Time after which the end of a caller's connection has been read: a partition
    that has held up both lets the call through one round trip earlier. */
constexpr milliseconds caller_check_delay{100};
/** Age at which a departure on disk is restored: it may be of any time before
    this start. */
constexpr milliseconds restored_age{60000};

} // namespace

void discovery_service::handle_leave(upstream_id const& id,
                                     std::function<bool()> is_awaited,
                                     acknowledge_callback done)
{
    QTimer::singleShot(
        caller_check_delay, &context_,
        [this, id, is_awaited = std::move(is_awaited), done = std::move(done)]
        {
            if (!is_awaited())
            {
                discovery_log.note("departure.abandoned",
                                   {{"upstream", id.value()}});
                done(false);
                return;
            }
            leave(id, done);
        });
}

void discovery_service::leave(upstream_id const& id, acknowledge_callback done)
{
    auto const* known = membership_.upstreams().find(id.value());
    if (known != nullptr && !is_restored(*known))
    {
        membership_.mark_upstream_gone(id);
        push(*membership_.upstreams().find(id.value()), std::move(done));
        return;
    }
    // A replica that has just started does not know the upstream, or only an
    // earlier start of it, but others and entries may know more.
    upstream_member departed;
    departed.id = id.value();
    departed.started = incarnation(QDateTime::currentMSecsSinceEpoch());
    departed.phase = member_phase::gone;
    departed.last_heartbeat = clock_.now();
    departed.is_of_unknown_start = true;
    membership_.apply_relayed(departed);
    // It is not kept when too many upstreams are known.
    known = membership_.upstreams().find(id.value());
    push(known == nullptr ? departed : *known, std::move(done));
}

void discovery_service::restore_departures()
{
    auto const now = clock_.now();
    auto const wall_clock = QDateTime::currentMSecsSinceEpoch();
    for (auto& record : departures_.open(now))
    {
        // Its age on disk is that at the time of the write.
        record.last_heartbeat = now - restored_age;
        if (record.is_of_unknown_start)
        {
            auto const age = wall_clock - record.started.value();
            record.is_of_unknown_start = age >= 0;
            record.last_heartbeat =
                now - milliseconds(std::max(age, qint64{0}));
        }
        restored_departures_.insert(record.id, record.started);
        membership_.apply_relayed(std::move(record));
    }
}

bool discovery_service::is_restored(upstream_member const& record) const
{
    auto const found = restored_departures_.constFind(record.id);
    return record.phase == member_phase::gone &&
           found != restored_departures_.constEnd() && *found == record.started;
}

void discovery_service::store_departure(upstream_member const& record,
                                        acknowledge_callback done)
{
    if (departures_.has(record))
    {
        done(true);
        return;
    }
    unstored_departures_.push_back({record, std::move(done)});
    if (unstored_departures_.size() == 1)
    {
        // After the events at hand, so that they share one sync.
        QMetaObject::invokeMethod(
            &context_, [this] { flush_departures(); }, Qt::QueuedConnection);
    }
}

void discovery_service::flush_departures()
{
    auto const waiting = std::exchange(unstored_departures_, {});
    std::vector<upstream_member> records;
    for (auto const& each : waiting)
    {
        records.push_back(each.record);
    }
    auto const now = clock_.now();
    bool const is_stored = departures_.store(records, now);
    for (auto const& each : waiting)
    {
        each.done(is_stored);
    }
    if (departures_.is_rewrite_due())
    {
        departures_.rewrite(membership_.upstreams().select(
                                [](upstream_member const& each)
                                { return each.phase > member_phase::serving; }),
                            now);
    }
}

void discovery_service::handle_push(QCborMap const& request,
                                    reply_function const& reply)
{
    work_meter::scope const scope(server_.work(), work_kind::departures);
    auto const now = clock_.now();
    upstream_member record;
    if (!from_cbor(cbor_map(request, "upstream"), now, record))
    {
        reply({{QLatin1String("status"), QLatin1String("malformed")}});
        return;
    }
    // A replica of an earlier build does not name itself.
    record.receiver = cbor_text(request, "receiver");
    auto const stored = record;
    membership_.apply_relayed(std::move(record));
    // A later start is known here, which the sender does not know.
    bool const is_known = membership_.upstreams().find(stored.id) != nullptr;
    if (is_known && !stored.is_of_unknown_start && !membership_.holds(stored))
    {
        reply({{QLatin1String("status"), QLatin1String("not-held")}});
        return;
    }
    if (cbor_flag(request, "is_notice"))
    {
        reply({{QLatin1String("status"), QLatin1String("ok")}});
        return;
    }
    store_departure(stored,
                    [reply](bool is_stored)
                    {
                        reply({{QLatin1String("status"),
                                is_stored ? QLatin1String("ok")
                                          : QLatin1String("not-stored")}});
                    });
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
    work_meter::scope const scope(server_.work(), work_kind::departures);
    auto const members = server_.node().members();
    auto const pending = std::make_shared<pending_push>();
    pending->done = std::move(done);
    pending->needed = members.size() / 2 + 1;
    if (members.empty())
    {
        pending->done(false);
        return;
    }
    auto const count_reply = [this, pending, id = record.id,
                              phase = record.phase,
                              began = clock_.now()](bool is_ok)
    {
        --pending->outstanding;
        pending->needed -= is_ok && pending->needed > 0 ? 1 : 0;
        if (!pending->done || (pending->needed > 0 && pending->outstanding > 0))
        {
            return;
        }
        bool const has_majority = pending->needed == 0;
        discovery_log.note(
            "upstream.acknowledged",
            {{"upstream", id},
             {"phase", phase_name(phase)},
             {"majority", has_majority},
             {"took_ms", qint64{elapsed(began, clock_.now()).count()}}});
        std::exchange(pending->done, nullptr)(has_majority);
    };
    pending->outstanding = members.size();
    QCborMap request{
        {QLatin1String("m"), QLatin1String("push")},
        {QLatin1String("receiver"), settings_.self.address.text()},
        {QLatin1String("upstream"), to_cbor(record, clock_.now())}};
    for (auto const& member : members)
    {
        if (member.address == settings_.self.address)
        {
            store_departure(record, count_reply);
            continue;
        }
        server_.call(member.address, request, push_timeout,
                     [count_reply](std::optional<QCborMap> const& reply) {
                         count_reply(reply && cbor_text(*reply, "status") ==
                                                  QLatin1String("ok"));
                     });
    }
    // Others need not store it. A read of this replica would tell them, too,
    // but later, and not if this process ends before.
    request[QLatin1String("is_notice")] = true;
    for (auto const& replica : membership_.replicas().records())
    {
        auto const& address = replica.content.address;
        bool const is_voter =
            std::any_of(members.begin(), members.end(),
                        [&address](raft_member const& member)
                        { return member.address == address; });
        if (!is_voter && !replica.is_silent &&
            replica.phase == member_phase::serving &&
            address != settings_.self.address)
        {
            server_.call(address, request, push_timeout,
                         [](std::optional<QCborMap> const&) {});
        }
    }
}

} // namespace verbenacove
