#include "verbenacove/process/discovery/rate_limit_reporter.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/event_log.hpp"
#include "verbenacove/core/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

event_log const limit_log{"limit"};

/** Low bits of a sequence number, which hold the tag of the entry. */
constexpr int tag_bits = 16;
/** A smaller relative difference of two rates is ignored. */
constexpr double rate_tolerance = 0.01;

bool is_same_rate(std::optional<requests_per_second> const& a,
                  std::optional<requests_per_second> const& b)
{
    if (!a || !b)
    {
        return a.has_value() == b.has_value();
    }
    return std::abs(a->value() - b->value()) <=
           rate_tolerance * std::max(a->value(), b->value());
}

} // namespace

rate_limit_reporter::rate_limit_reporter(entry_id const& self,
                                         membership_view& membership,
                                         clock_source const& clock)
    : membership_(membership)
    , clock_(clock)
    , sequence_tag_(
          static_cast<qint64>(stable_hash(self.value().toUtf8(), "rate-limit") &
                              ((quint64{1} << tag_bits) - 1)))
{
}

bool rate_limit_reporter::record(rate_limit_report const& report)
{
    auto const* known = membership_.rate_limits().find(report.id.value());
    bool const is_known = known != nullptr && known->started >= report.started;
    auto const known_rate = is_known ? known->content.rate : std::nullopt;
    bool const is_outdated = is_known && known->started > report.started;
    if (is_outdated || is_same_rate(known_rate, report.rate))
    {
        return false;
    }
    rate_limit_record update;
    update.id = report.id.value();
    update.started = report.started;
    update.sequence = next_sequence(is_known ? known : nullptr);
    update.phase = member_phase::serving;
    update.content.rate = report.rate;
    update.last_heartbeat = clock_.now();
    limit_log.note("limit.observed",
                   {{"upstream", update.id},
                    {"started", update.started.value()},
                    {"rate", report.rate ? report.rate->value() : -1},
                    {"sequence", update.sequence}});
    unconfirmed_.insert(update.id, update.sequence);
    membership_.apply_rate_limit(std::move(update));
    return true;
}

qint64 rate_limit_reporter::next_sequence(rate_limit_record const* known) const
{
    auto const counter = known == nullptr ? 0 : known->sequence >> tag_bits;
    return ((counter + 1) << tag_bits) | sequence_tag_;
}

void rate_limit_reporter::add_to(QCborMap& request, qint64 view_id)
{
    auto const now = clock_.now();
    bool const is_new_view = view_id != confirmed_view_;
    QCborArray limits;
    sent_.clear();
    sent_view_ = view_id;
    for (auto const& limit : membership_.rate_limits().records())
    {
        if (is_new_view || unconfirmed_.contains(limit.id))
        {
            limits.append(to_cbor(limit, now));
            sent_.insert(limit.id, limit.sequence);
        }
    }
    if (!limits.isEmpty())
    {
        request[QLatin1String("rate_limits")] = limits;
    }
}

void rate_limit_reporter::confirm()
{
    confirmed_view_ = sent_view_;
    unconfirmed_.removeIf(
        [this](auto const& item)
        { return sent_.value(item.key(), -1) >= item.value(); });
}

void rate_limit_reporter::apply(QCborMap const& request,
                                membership_view& membership, monotonic_time now)
{
    for (auto const& item : cbor_array(request, "rate_limits"))
    {
        rate_limit_record limit;
        if (from_cbor(item.toMap(), now, limit))
        {
            membership.apply_rate_limit(std::move(limit));
        }
    }
}

} // namespace verbenacove
