#include "verbenacove/process/grant_holder.hpp"
#include "verbenacove/process/grant_ledger.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <random>

using namespace verbenacove;

namespace
{

resource_name const link_name(QStringLiteral("link:wcape>gauteng"));

grant_limit limit_of(qint64 cap, qint64 highest_cap = 0)
{
    return {grant_amount(cap), grant_amount(std::max(cap, highest_cap)), 20};
}

entry_id holder_name(int number)
{
    return entry_id(QStringLiteral("e%1").arg(number));
}

/** A clock that runs at its own rate. */
class drifting_clock : public clock_source
{
public:
    monotonic_time now() const override
    {
        return monotonic_time(std::chrono::nanoseconds(
            qint64(double(microseconds) * 1000 * rate) + offset));
    }

    qint64 microseconds = 0;
    double rate = 1;
    qint64 offset = 0;
};

/** Holders, three control replicas and a network that does what it likes.

    Each replica that believes itself leader answers; what it may answer was
    confirmed by a majority at one moment between request and answer.
*/
class grant_simulation
{
public:
    static constexpr int holder_count = 5;
    static constexpr int replica_count = 3;

    explicit grant_simulation(unsigned seed, bool has_faults = true)
        : random_(seed)
        , has_faults_(has_faults)
    {
        is_near_ = seed % 2 == 0;
        // Fast growth lets whatever is free be used again at once.
        int const growth = has_faults && seed % 4 != 0 ? 100'000 : 20;
        for (int i = 0; i < replica_count; ++i)
        {
            auto& made = replicas_.at(std::size_t(i));
            made.ledger = grant_ledger({milliseconds(1000), 6, growth});
            made.ledger.set_limit(link_name, limit_of(cap_));
            set_rate(made.clock);
        }
        for (int i = 0; i < holder_count; ++i)
        {
            set_rate(holders_.at(std::size_t(i)).clock);
            restart(i);
            for (auto& made : replicas_)
            {
                made.ledger.admit(holder_name(i));
            }
        }
        elect(0);
    }

    void set_cap(qint64 cap, qint64 highest_cap)
    {
        cap_ = cap;
        for (auto& made : replicas_)
        {
            made.ledger.set_limit(link_name, limit_of(cap, highest_cap));
        }
    }

    void step()
    {
        now_ += below(2000) + 1;
        for (auto& holder : holders_)
        {
            holder.clock.microseconds = now_;
        }
        for (auto& made : replicas_)
        {
            made.clock.microseconds = now_;
        }
        if (has_faults_)
        {
            make_fault();
        }
        for (int i = 0; i < holder_count; ++i)
        {
            send_request(i);
        }
        deliver();
    }

    qint64 believed() const
    {
        qint64 sum = 0;
        for (auto const& holder : holders_)
        {
            sum += holder.state->usable(link_name).value();
        }
        for (auto const& left : left_behind_)
        {
            sum += left.state->usable(link_name).value() - left.floor;
        }
        return sum;
    }

    qint64 microseconds() const { return now_; }

private:
    struct holder_process
    {
        drifting_clock clock;
        std::unique_ptr<grant_holder> state;
        int process = 0;
        qint64 demand = 2000;
        qint64 next_request = 0;
        qint64 frozen_until = 0;
    };

    /** A replaced process that has not noticed; its floor is its VM's. */
    struct left_process
    {
        std::unique_ptr<grant_holder> state;
        qint64 floor = 0;
    };

    struct replica
    {
        drifting_clock clock;
        grant_ledger ledger;
        qint64 frozen_until = 0;
    };

    struct request_message
    {
        int replica = 0;
        grant_request request;
    };

    struct confirmed_request
    {
        int replica = 0;
        grant_request request;
        monotonic_time as_of;
    };

    struct answer_message
    {
        entry_id holder;
        grant_answer answer;
    };

    int below(int bound) { return int(random_() % unsigned(bound)); }

    bool one_in(int count) { return below(count) == 0; }

    void set_rate(drifting_clock& clock)
    {
        constexpr double rate_step = 0.00045;
        clock.rate = 1 + rate_step * (below(21) - 10);
        clock.offset = qint64(below(1'000'000)) * 1'000'000;
    }

    void restart(int number)
    {
        auto& holder = holders_.at(std::size_t(number));
        if (holder.state)
        {
            auto const last = holder.state->next_request(
                link_name, grant_amount(0), grant_amount(0));
            left_behind_.push_back(
                {std::move(holder.state), last->floor.value()});
        }
        holder.state = std::make_unique<grant_holder>(
            holder_name(number), incarnation(++holder.process), holder.clock);
    }

    void elect(int number)
    {
        leader_ = number;
        auto& elected = replicas_.at(std::size_t(number));
        elected.ledger.start_term(elected.clock.now());
    }

    void make_fault()
    {
        if (one_in(5000) || (now_ < restless_until_ && one_in(300)))
        {
            elect(below(replica_count));
            restless_until_ = now_ + below(1'500'000);
        }
        if (one_in(1500))
        {
            holders_.at(std::size_t(below(holder_count))).frozen_until =
                now_ + below(3'000'000);
        }
        if (one_in(1000))
        {
            replicas_.at(std::size_t(below(replica_count))).frozen_until =
                now_ + below(3'000'000);
        }
        if (one_in(2000))
        {
            restart(below(holder_count));
        }
    }

    qint64 delay()
    {
        if (!has_faults_)
        {
            return 2000;
        }
        return one_in(10) ? below(2'500'000) : below(is_near_ ? 2'000 : 60'000);
    }

    template <class Message>
    void send(std::multimap<qint64, Message>& queue, Message const& message)
    {
        if (has_faults_ && one_in(10))
        {
            return;
        }
        queue.emplace(now_ + delay(), message);
        if (has_faults_ && one_in(10))
        {
            queue.emplace(now_ + delay(), message);
        }
    }

    void send_request(int number)
    {
        auto& holder = holders_.at(std::size_t(number));
        if (now_ < holder.next_request || now_ < holder.frozen_until)
        {
            return;
        }
        holder.next_request =
            now_ + (has_faults_ ? below(is_near_ ? 30'000 : 150'000) : 100'000);
        if (has_faults_ && one_in(4))
        {
            holder.demand = one_in(2) ? 0 : below(int(2 * cap_));
        }
        auto const request = holder.state->next_request(
            link_name, grant_amount(0), grant_amount(holder.demand));
        bool const is_lost_way = has_faults_ && one_in(5);
        send(requests_,
             request_message{is_lost_way ? below(replica_count) : leader_,
                             *request});
    }

    template <class Message>
    std::optional<Message> take(std::multimap<qint64, Message>& queue)
    {
        if (queue.empty() || queue.begin()->first > now_)
        {
            return std::nullopt;
        }
        auto result = queue.begin()->second;
        queue.erase(queue.begin());
        return result;
    }

    void deliver()
    {
        while (auto const message = take(requests_))
        {
            auto& asked = replicas_.at(std::size_t(message->replica));
            // The majority confirms nobody but the leader.
            if (message->replica == leader_ && now_ >= asked.frozen_until)
            {
                confirmed_.emplace(now_ + (one_in(5) ? delay() : 0),
                                   confirmed_request{message->replica,
                                                     message->request,
                                                     asked.clock.now()});
            }
        }
        while (auto const confirmed = take(confirmed_))
        {
            auto& asked = replicas_.at(std::size_t(confirmed->replica));
            auto const answer =
                asked.ledger.answer(confirmed->request, confirmed->as_of);
            if (answer)
            {
                send(answers_,
                     answer_message{confirmed->request.holder, *answer});
            }
        }
        while (auto const message = take(answers_))
        {
            take_answer(*message);
        }
    }

    void take_answer(answer_message const& message)
    {
        for (int i = 0; i < holder_count; ++i)
        {
            auto& holder = holders_.at(std::size_t(i));
            if (holder_name(i) != message.holder)
            {
                continue;
            }
            if (now_ < holder.frozen_until)
            {
                answers_.emplace(holder.frozen_until, message);
                continue;
            }
            holder.state->take(message.answer);
        }
    }

    std::mt19937 random_;
    bool has_faults_;
    // Whether messages that are not delayed take little time.
    bool is_near_ = false;
    qint64 now_ = 0;
    qint64 cap_ = 1000;
    int leader_ = 0;
    // Until when elections follow each other quickly.
    qint64 restless_until_ = 0;
    std::array<holder_process, holder_count> holders_;
    std::array<replica, replica_count> replicas_;
    std::vector<left_process> left_behind_;
    std::multimap<qint64, request_message> requests_;
    std::multimap<qint64, confirmed_request> confirmed_;
    std::multimap<qint64, answer_message> answers_;
};

constexpr int seed_count = 60;
constexpr int steps = 12'000;

} // namespace

TEST_CASE("grants: random schedules: holders never believe more than the cap")
{
    qint64 highest = 0;
    for (unsigned seed = 1; seed <= seed_count; ++seed)
    {
        CAPTURE(seed);
        grant_simulation simulation(seed);
        qint64 excess = 0;
        for (int step = 0; step < steps; ++step)
        {
            simulation.step();
            highest = std::max(highest, simulation.believed());
            excess = std::max(excess, simulation.believed() - 1000);
        }
        CHECK(excess <= 0);
    }
    // The schedules come close to the cap, or they would prove nothing.
    CHECK(highest > 950);
}

TEST_CASE("grants: the cap lowered: the lower one holds a duration later")
{
    for (unsigned seed = 1; seed <= seed_count; ++seed)
    {
        CAPTURE(seed);
        grant_simulation simulation(seed);
        qint64 excess = 0;
        for (int change = 0; change < 3; ++change)
        {
            bool const is_lowered = change % 2 == 0;
            auto const cap = is_lowered ? 400 : 1000;
            simulation.set_cap(cap, 1000);
            auto const start = simulation.microseconds();
            for (int step = 0; step < steps / 3; ++step)
            {
                simulation.step();
                bool const is_settled =
                    simulation.microseconds() > start + 1'010'000;
                auto const bound = is_settled ? cap : 1000;
                excess = std::max(excess, simulation.believed() - bound);
            }
        }
        CHECK(excess <= 0);
    }
}

TEST_CASE("grants: no faults: demand gets the whole cap, and at a rate")
{
    grant_simulation simulation(1, false);
    qint64 steepest = 0;
    qint64 before = 0;
    qint64 before_time = 0;
    while (simulation.microseconds() < 7'000'000)
    {
        simulation.step();
        if (simulation.microseconds() > before_time + 1'000'000)
        {
            steepest = std::max(steepest, simulation.believed() - before);
            before = simulation.believed();
            before_time = simulation.microseconds();
        }
    }
    CHECK(simulation.believed() >= 960);
    // 20% of the cap in a second, one second saved up, and the floors.
    CHECK(steepest <= 200 + 200 + 170);
}

namespace
{

/** One ledger, two holders, and a clock that all share. */
struct grant_fixture
{
    manual_clock_source clock;
    grant_ledger ledger{{milliseconds(1000), 4, 100}};
    grant_holder first{holder_name(1), incarnation(1), clock};
    grant_holder second{holder_name(2), incarnation(1), clock};

    grant_fixture()
    {
        ledger.set_limit(link_name, limit_of(1000));
        ledger.admit(holder_name(1));
        ledger.admit(holder_name(2));
        ledger.start_term(clock.now());
    }

    std::optional<grant_answer> ask(grant_holder& holder, qint64 demand,
                                    qint64 in_use = 0)
    {
        auto const request = holder.next_request(
            link_name, grant_amount(in_use), grant_amount(demand));
        auto answer = ledger.answer(*request, clock.now());
        if (answer)
        {
            holder.take(*answer);
        }
        return answer;
    }

    void ask_for(milliseconds span, qint64 first_demand, qint64 second_demand,
                 qint64 first_in_use = 0)
    {
        for (milliseconds done(0); done < span; done += milliseconds(100))
        {
            clock.advance(milliseconds(100));
            ask(first, first_demand, first_in_use);
            ask(second, second_demand);
        }
    }

    static qint64 usable(grant_holder const& holder)
    {
        return holder.usable(link_name).value();
    }
};

} // namespace

TEST_CASE_FIXTURE(grant_fixture, "shares: unequal demands: max-min fair")
{
    ask_for(milliseconds(4000), 200, 5000);
    CHECK(usable(first) == 200);
    CHECK(usable(second) == 800);
    ask_for(milliseconds(4000), 5000, 5000);
    CHECK(usable(first) == 500);
    CHECK(usable(second) == 500);
}

TEST_CASE_FIXTURE(grant_fixture, "holder: cut off: falls back to its floor")
{
    ask_for(milliseconds(4000), 5000, 0);
    CHECK(usable(first) == 950);
    clock.advance(milliseconds(989));
    CHECK(usable(first) == 950);
    clock.advance(milliseconds(1));
    CHECK(usable(first) == 50);
    CHECK(usable(second) == 50);
}

TEST_CASE_FIXTURE(
    grant_fixture,
    "holder: running work beyond its grant: not granted to others")
{
    ask_for(milliseconds(4000), 5000, 0);
    ask_for(milliseconds(3000), 0, 5000, 700);
    CHECK(usable(first) == 50);
    CHECK(usable(second) == 300);
    ask_for(milliseconds(4000), 0, 5000, 0);
    CHECK(usable(second) == 950);
}

TEST_CASE_FIXTURE(grant_fixture,
                  "leader: newly elected: prolongs what is held, adds nothing")
{
    ask_for(milliseconds(4000), 500, 300);
    ledger.start_term(clock.now());
    ask_for(milliseconds(900), 5000, 300);
    CHECK(usable(first) == 500);
    CHECK(usable(second) == 300);
    ask_for(milliseconds(3000), 5000, 300);
    CHECK(usable(first) == 700);
}

TEST_CASE_FIXTURE(grant_fixture,
                  "leader: newly elected, asked late: prolongs no more than "
                  "is held by then")
{
    ask_for(milliseconds(4000), 5000, 0);
    auto const shrinking =
        first.next_request(link_name, grant_amount(0), grant_amount(0));
    auto const late =
        first.next_request(link_name, grant_amount(0), grant_amount(5000));
    first.take(*ledger.answer(*shrinking, clock.now()));
    auto const report =
        first.next_request(link_name, grant_amount(0), grant_amount(0));
    ledger.answer(*report, clock.now());
    ask(second, 5000);
    CHECK(usable(second) == 950);
    ledger.start_term(clock.now());
    first.take(*ledger.answer(*late, clock.now()));
    CHECK(usable(first) == 50);
}

TEST_CASE_FIXTURE(grant_fixture,
                  "leader: replaced before it answers: grants as of before")
{
    ask_for(milliseconds(4000), 5000, 0);
    auto const request =
        second.next_request(link_name, grant_amount(0), grant_amount(5000));
    auto const as_of = clock.now();
    grant_ledger next{{milliseconds(1000), 4, 100}};
    next.set_limit(link_name, limit_of(1000));
    next.admit(holder_name(1));
    next.start_term(clock.now());
    clock.advance(milliseconds(900));
    auto const renewal =
        first.next_request(link_name, grant_amount(0), grant_amount(5000));
    first.take(*next.answer(*renewal, clock.now()));
    clock.advance(milliseconds(101));
    CHECK(usable(first) == 950);
    CHECK(ledger.answer(*request, as_of)->amount == grant_amount(0));
}

TEST_CASE_FIXTURE(grant_fixture, "holder: answer after its time: not taken")
{
    auto const request =
        first.next_request(link_name, grant_amount(0), grant_amount(1));
    auto const answer = ledger.answer(*request, clock.now());
    clock.advance(milliseconds(990));
    CHECK_FALSE(first.take(*answer));
    CHECK(usable(first) == 0);
}

TEST_CASE_FIXTURE(grant_fixture,
                  "floors: the cap lowered, a holder cut off: its floor counts")
{
    ask_for(milliseconds(4000), 0, 5000);
    ledger.set_limit(link_name, limit_of(400, 1000));
    clock.advance(milliseconds(1000));
    for (int i = 0; i < 10; ++i)
    {
        clock.advance(milliseconds(100));
        ask(second, 5000);
    }
    CHECK(usable(first) == 50);
    CHECK(usable(second) == 350);
    ask_for(milliseconds(2000), 0, 5000);
    CHECK(usable(first) == 20);
    CHECK(usable(second) == 380);
}

TEST_CASE_FIXTURE(grant_fixture,
                  "floors: a higher one on its way: counts until replaced")
{
    ledger.set_limit(link_name, limit_of(400, 1000));
    ask_for(milliseconds(4000), 0, 5000);
    CHECK(usable(second) == 380);
    ledger.set_limit(link_name, limit_of(1000));
    auto const request =
        first.next_request(link_name, grant_amount(0), grant_amount(0));
    auto const on_its_way = ledger.answer(*request, clock.now());
    auto const after =
        first.next_request(link_name, grant_amount(0), grant_amount(0));
    ledger.answer(*after, clock.now());
    ledger.set_limit(link_name, limit_of(400, 1000));
    ask(second, 5000);
    first.take(*on_its_way);
    CHECK(usable(first) == 50);
    CHECK(usable(second) == 350);
}

TEST_CASE_FIXTURE(grant_fixture,
                  "floors: an earlier leader's answer on its way: counts")
{
    ask_for(milliseconds(2000), 0, 0);
    grant_ledger next{{milliseconds(1000), 4, 100}};
    next.set_limit(link_name, limit_of(400, 1000));
    next.admit(holder_name(1));
    next.admit(holder_name(2));
    auto const early =
        first.next_request(link_name, grant_amount(0), grant_amount(0));
    auto const old_request =
        first.next_request(link_name, grant_amount(0), grant_amount(0));
    auto const old_answer = ledger.answer(*old_request, clock.now());
    next.start_term(clock.now());
    first.take(*next.answer(*early, clock.now()));
    CHECK(usable(first) == 20);
    auto const report =
        first.next_request(link_name, grant_amount(0), grant_amount(0));
    first.take(*old_answer);
    CHECK(usable(first) == 50);
    clock.advance(milliseconds(1000));
    next.answer(*report, clock.now());
    CHECK(next.committed(link_name, clock.now()) == grant_amount(50 + 50));
}

TEST_CASE("clocks: rates apart by 0.9%: the holder stops before the grantor")
{
    constexpr double rate_error = 0.0045;
    drifting_clock slow;
    drifting_clock fast;
    slow.rate = 1 - rate_error;
    fast.rate = 1 + rate_error;
    grant_ledger ledger({milliseconds(1000), 2, 100});
    ledger.set_limit(link_name, limit_of(1000));
    ledger.admit(holder_name(1));
    ledger.start_term(fast.now());
    grant_holder holder(holder_name(1), incarnation(1), slow);
    qint64 end = 0;
    for (qint64 now = 0; now < 6'000'000; now += 100)
    {
        slow.microseconds = now;
        fast.microseconds = now;
        if (now % 100'000 == 0 && now <= 3'000'000)
        {
            auto const request = holder.next_request(link_name, grant_amount(0),
                                                     grant_amount(1000));
            holder.take(*ledger.answer(*request, fast.now()));
            end = now;
        }
        auto const counted = ledger.committed(link_name, fast.now());
        CHECK(holder.usable(link_name) <= counted);
    }
    CHECK(end == 3'000'000);
    CHECK(holder.usable(link_name) == grant_amount(100));
}

TEST_CASE_FIXTURE(grant_fixture, "ledger: request of a stranger: no answer")
{
    grant_holder stranger(holder_name(9), incarnation(1), clock);
    CHECK_FALSE(ask(stranger, 100));
    auto const request =
        first.next_request(link_name, grant_amount(0), grant_amount(1));
    CHECK(ledger.answer(*request, clock.now()));
    CHECK_FALSE(ledger.answer(*request, clock.now()));
}

TEST_CASE_FIXTURE(grant_fixture, "messages: through CBOR: the same; cut: error")
{
    auto const request =
        first.next_request(link_name, grant_amount(3), grant_amount(70));
    auto const answer = ledger.answer(*request, clock.now());
    auto const request_map = to_cbor(*request);
    auto const answer_map = to_cbor(*answer);
    auto const is_kept = [&](QCborMap const& asked, QCborMap const& answered)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_AUTO(a, parse_grant_request(asked));
                BOOST_LEAF_AUTO(b, parse_grant_answer(answered));
                return to_cbor(a) == request_map && to_cbor(b) == answer_map;
            },
            [] { return false; });
    };
    CHECK(is_kept(request_map, answer_map));
    for (auto const& field : request_map.keys())
    {
        auto wrong = request_map;
        wrong[field] = QCborValue(-1);
        CHECK_FALSE(is_kept(wrong, answer_map));
    }
    for (auto const& field : answer_map.keys())
    {
        auto wrong = answer_map;
        wrong[field] = QCborValue(-1);
        CHECK_FALSE(is_kept(request_map, wrong));
    }
}
