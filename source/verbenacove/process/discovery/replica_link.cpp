#include "verbenacove/process/discovery/replica_link.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/distance.hpp"
#include "verbenacove/core/event_log.hpp"

#include <QDateTime>
#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

event_log const link_log{"link"};

constexpr milliseconds tick_interval{100};
/** How long a replica without news holds the answer back. */
constexpr milliseconds hold{600};
/** How long a replica may take beyond that before another one is read. */
constexpr milliseconds read_margin{500};
constexpr milliseconds tell_timeout{500};
/** A replica that failed is read again after so long at the earliest. */
constexpr milliseconds failure_memory{1500};
/** A nearer replica that failed is trusted again after so long. */
constexpr milliseconds return_delay{6000};
constexpr milliseconds pause_between_reads{150};
/** One step beyond all that are known. */
constexpr int farthest = static_cast<int>(network_distance::other_region) + 1;

qint64 no_stream()
{
    return 0;
}

bool is_answered(std::optional<QCborMap> const& reply)
{
    return reply && cbor_text(*reply, "status") == QLatin1String("ok");
}

} // namespace

replica_link::replica_link(replica_link_settings settings, listener calls)
    : settings_(std::move(settings))
    , calls_(std::move(calls))
    , board_(no_stream(), silence_judge::source, clock_,
             {[this](upstream_presence const&) { has_changes_ = true; },
              [this](entry_presence const&) { has_changes_ = true; },
              [](replica_presence const&) {
              }})
    , random_(QRandomGenerator::system()->generate64())
    , started_(QDateTime::currentMSecsSinceEpoch())
{
}

void replica_link::start()
{
    tick_ = timers_.call_every(tick_interval, [this] { act(); });
    act();
}

void replica_link::set_seeds(std::vector<socket_address> seeds)
{
    settings_.seeds = std::move(seeds);
}

void replica_link::set_phase(presence_phase phase)
{
    if (phase_ == phase)
    {
        return;
    }
    phase_ = phase;
    if (current_)
    {
        client_of(*current_).client->call(
            request(milliseconds(0)), tell_timeout,
            [](std::optional<QCborMap> const&) {});
    }
}

void replica_link::act()
{
    board_.expire();
    if (has_changes_)
    {
        has_changes_ = false;
        calls_.changed();
    }
    if (!is_reading_ && clock_.now() >= next_read_)
    {
        read();
    }
}

QCborMap replica_link::request(milliseconds hold_time)
{
    entry_presence self;
    self.id = settings_.name.value();
    self.started = started_;
    self.sequence = ++beats_;
    self.phase = phase_;
    self.content = settings_.self;
    self.heard = clock_.now();
    return {{QLatin1String("m"), QLatin1String("news")},
            {QLatin1String("position"), to_cbor(position_)},
            {QLatin1String("routes"), routes_revision_},
            {QLatin1String("current"), was_current_},
            {QLatin1String("hold"), qint64{hold_time.count()}},
            {QLatin1String("self"), to_cbor(self, self.heard)}};
}

void replica_link::read()
{
    if (!current_ || is_better_there())
    {
        choose_replica();
    }
    if (!current_)
    {
        return;
    }
    is_reading_ = true;
    auto const number = ++read_number_;
    auto question = request(hold);
    heard_crashes_.add_to(question);
    auto const told = add_crashes(question, own_, told_);
    client_of(*current_).client->call(std::move(question), hold + read_margin,
                                      [this, from = *current_, number, told](
                                          std::optional<QCborMap> const& reply)
                                      {
                                          if (is_answered(reply))
                                          {
                                              told_ = std::max(told_, told);
                                          }
                                          take_news(from, number, reply);
                                      });
}

void replica_link::take_news(socket_address const& from, quint64 number,
                             std::optional<QCborMap> const& reply)
{
    if (number != read_number_)
    {
        return;
    }
    is_reading_ = false;
    auto& asked = client_of(from);
    if (!is_answered(reply))
    {
        asked.failed = clock_.now();
        asked.has_failed = true;
        leave_replica("no answer");
        read();
        return;
    }
    position_ = board_.merge(*reply);
    take_crashes(*reply);
    was_current_ = cbor_flag(*reply, "current");
    if (was_current_)
    {
        asked.has_failed = false;
        has_changes_ = has_changes_ || !has_read_;
        has_read_ = true;
        take_routes(*reply);
    }
    if (std::exchange(has_changes_, false))
    {
        calls_.changed();
    }
    if (!was_current_)
    {
        asked.failed = clock_.now();
        asked.has_failed = true;
        leave_replica("hears of no leader");
        next_read_ = clock_.now() + pause_between_reads;
        return;
    }
    read();
}

void replica_link::take_crashes(QCborMap const& reply)
{
    auto news = crashes_in(reply);
    heard_crashes_.move(position_.stream, news);
    if (news)
    {
        calls_.crashed(std::move(*news));
    }
}

void replica_link::take_routes(QCborMap const& reply)
{
    auto const revision = cbor_number(reply, "routes_revision", -1);
    if (revision <= routes_revision_)
    {
        return;
    }
    auto parsed = parse_route_configuration(cbor_map(reply, "routes"));
    if (!parsed)
    {
        link_log.note("routes.unreadable", {{"revision", revision}});
        return;
    }
    routes_revision_ = revision;
    evacuated_.clear();
    for (auto const& zone : cbor_array(reply, "evacuated"))
    {
        evacuated_.insert(zone_name(zone.toString()));
    }
    if (parsed->version.value() > 0)
    {
        routes_ =
            std::make_shared<route_configuration const>(std::move(*parsed));
    }
    has_changes_ = true;
    link_log.note("routes.in_force",
                  {{"revision", revision},
                   {"version", routes_ ? routes_->version.value() : 0},
                   {"evacuated", evacuated_.size()}});
}

// The choice of a replica.

void replica_link::leave_replica(char const* reason)
{
    link_log.note("replica.lost",
                  {{"replica", current_ ? current_->text() : QString()},
                   {"reason", QLatin1String(reason)}});
    current_.reset();
}

int replica_link::distance_of(socket_address const& address) const
{
    auto const* known = board_.replicas().find(address.text());
    return known == nullptr ? farthest
                            : static_cast<int>(distance_between(
                                  settings_.self, known->content));
}

bool replica_link::is_better_there() const
{
    auto const now = clock_.now();
    auto const distance = distance_of(*current_);
    for (auto const& known : board_.replicas().records())
    {
        auto const& address = known.content.address;
        auto const tried = replicas_.value(address);
        bool const is_trusted = !tried || !tried->has_failed ||
                                elapsed(tried->failed, now) > return_delay;
        if (is_trusted && !known.is_silent && distance_of(address) < distance)
        {
            return true;
        }
    }
    return false;
}

void replica_link::choose_replica()
{
    struct candidate
    {
        socket_address address;
        int order = 0;
    };
    auto const now = clock_.now();
    std::vector<candidate> candidates;
    auto const add = [&](socket_address const& address, int penalty)
    {
        auto const tried = replicas_.value(address);
        bool const has_failed = tried && tried->has_failed &&
                                elapsed(tried->failed, now) < failure_memory;
        candidates.push_back({address, distance_of(address) + penalty +
                                           (has_failed ? 2 * farthest : 0)});
    };
    for (auto const& known : board_.replicas().records())
    {
        add(known.content.address, known.is_silent ? farthest : 0);
    }
    for (auto const& seed : settings_.seeds)
    {
        if (board_.replicas().find(seed.text()) == nullptr)
        {
            add(seed, 0);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random_);
    auto const best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](candidate const& a, candidate const& b)
                         { return a.order < b.order; });
    if (best == candidates.end() || (current_ && best->address == *current_))
    {
        return;
    }
    current_ = best->address;
    link_log.note("replica.chosen", {{"replica", current_->text()},
                                     {"distance", distance_of(*current_)}});
}

replica_link::replica& replica_link::client_of(socket_address const& address)
{
    auto& known = replicas_[address];
    if (!known)
    {
        known = std::make_shared<replica>();
        known->client = std::make_unique<rpc_client>(address);
    }
    return *known;
}

} // namespace verbenacove
