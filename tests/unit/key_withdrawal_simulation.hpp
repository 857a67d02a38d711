#ifndef VERBENACOVE_TESTS_KEY_WITHDRAWAL_SIMULATION_HPP
#define VERBENACOVE_TESTS_KEY_WITHDRAWAL_SIMULATION_HPP

#include "verbenacove/teams/key_confirmer.hpp"
#include "verbenacove/teams/key_lease.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

namespace verbenacove::support
{

/** Replicas, entries and an operator who withdraws keys, in simulated time.

    The decisions and the forms of messages are the real ones; the replicated
    log, the network, the clocks and the faults are models. Each revision of the
    routes withdraws one key.
*/
class key_withdrawal_simulation
{
public:
    /** What goes wrong at random. */
    enum class trouble
    {
        none,
        /** Frozen and suspended processes, cuts, lost and late messages,
            restarts, changes of leader. */
        all
    };

    /** How an entry dates a confirmation. */
    enum class dating
    {
        /** As the product does. */
        from_question,
        /** Wrong on purpose, to see that the check finds it. */
        from_answer
    };

    static constexpr int replica_count = 5;
    static constexpr int entry_count = 3;
    static constexpr milliseconds revocation{5000};
    static constexpr milliseconds step{10};

    explicit key_withdrawal_simulation(quint64 seed,
                                       dating used = dating::from_question)
        : random_(seed)
        , dating_(used)
    {
        processes_.resize(replica_count + entry_count);
        for (auto& each : processes_)
        {
            each.base = std::chrono::hours(uniform(1, 1000));
            each.rate = 1 + (chance(0.5) ? maximum_slew : -maximum_slew);
        }
        replicas_.resize(replica_count);
        entries_.resize(entry_count);
    }

    /** Runs for a while and checks each entry at each step. */
    void run(milliseconds span, trouble with);

    /** Ends all trouble. */
    void heal();

    /** Stops the leader, and elects no other one for a while. */
    void stop_leader(milliseconds without_leader);

    /** Number of times that an entry accepted a key too late. */
    int violations() const { return violations_; }

    /** Number of checks at which an entry accepted keys, and of all. */
    int accepting() const { return accepting_; }
    int checks() const { return checks_; }

    /** Number of withdrawn keys. */
    qint64 withdrawn() const { return committed_; }

    /** Returns the shortest remaining time of a lease, of all entries since the
        last call. */
    milliseconds take_shortest()
    {
        return std::exchange(shortest_, revocation);
    }

private:
    static constexpr double maximum_slew = 0.0005;
    static constexpr milliseconds election_timeout{600};
    static constexpr milliseconds hold{600};
    static constexpr milliseconds read_timeout{1100};
    static constexpr milliseconds tick{100};
    static constexpr milliseconds failure_retention{6000};
    static constexpr milliseconds pause{300};
    static constexpr int maximum_pause_factor = 4;

    struct process
    {
        milliseconds base{0};
        double rate = 1;
        milliseconds frozen_until{0};
        int group = 0;
    };

    struct waiting_poll
    {
        int entry = 0;
        qint64 number = 0;
        boot_time sent;
        boot_time received;
        milliseconds deadline{0};
        qint64 revision = 0;
        QCborMap request;
    };

    /** Replica that asked the leader. */
    struct waiting_replica
    {
        int number = 0;
        key_confirmer::question asked;
        boot_time received;
    };

    struct replica
    {
        key_confirmer confirmer;
        qint64 revision = 0;
        /** Whom it takes for the leader; -1 for nobody. */
        int leader = -1;
        milliseconds leader_heard{0};
        std::vector<waiting_poll> waiting;
        std::vector<waiting_replica> waiting_replicas;
    };

    struct entry
    {
        key_lease lease{revocation};
        qint64 table = -1;
        qint64 routes = -1;
        std::optional<key_confirmation> confirmation;
        int replica = 0;
        qint64 number = 0;
        bool is_reading = false;
        milliseconds read_started{0};
        /** The replica that did not answer last, and until when it is not
            chosen. */
        int silent = -1;
        milliseconds silent_until{0};
        /** Number of reads since one of a replica with a leader. */
        int failed_reads = 0;
        milliseconds next_read{0};
    };

    struct message
    {
        milliseconds due{0};
        int to = 0;
        std::function<void()> handle;
    };

    static std::size_t index(int number)
    {
        return static_cast<std::size_t>(number);
    }

    qint64 uniform(qint64 lowest, qint64 highest)
    {
        return std::uniform_int_distribution<qint64>(lowest, highest)(random_);
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    boot_time clock(int number) const
    {
        auto const& of = processes_[index(number)];
        auto const passed = static_cast<double>(now_.count()) * of.rate;
        return boot_time(of.base + std::chrono::nanoseconds(
                                       static_cast<qint64>(passed * 1e6)));
    }

    bool is_running(int number) const
    {
        return processes_[index(number)].frozen_until <= now_;
    }

    bool reaches(int a, int b) const
    {
        return processes_[index(a)].group == processes_[index(b)].group;
    }

    bool reaches_majority(int from) const;

    /** Sends a message; what a frozen process gets waits for it. */
    void send(int from, int to, std::function<void()> handle);

    void deliver();

    void make_trouble();

    void restart(int number);

    /** Models the election: only one that holds all changes leads. */
    void elect();

    void withdraw(trouble with);

    void run_replica(int number);

    /** Models the confirmation by a majority: true if this replica still led
        when the voters answered. */
    void ask_voters(int number, key_confirmer::question const& asked);

    void ask_leader(int number, key_confirmer::question const& asked);

    void answer_replicas(int number);

    void answer_polls(int number);

    void answer_poll(int number, waiting_poll const& poll, bool is_current);

    void take_reply(waiting_poll const& poll, QCborMap const& reply,
                    qint64 routes, bool is_current);

    /** Hands something to an entry's other thread, in any order. */
    void on_traffic(int number, std::function<void()> handle)
    {
        messages_.push_back(
            {now_ + milliseconds(uniform(0, 200)), number, std::move(handle)});
    }

    void run_entry(int which);

    /** Lets an entry pause between reads once all replicas have been asked in
        vain, as replica_link does. */
    void pause_between_reads(entry& of);

    /** Lets an entry read another replica, one that has answered lately if
        possible. */
    void choose_replica(entry& of);

    /** A key of the entry's table that was withdrawn longer ago than the
        revocation time must not be accepted. */
    void check(int which);

    std::mt19937_64 random_;
    dating dating_;
    milliseconds now_{0};
    bool is_troubled_ = false;
    std::vector<process> processes_;
    std::vector<replica> replicas_;
    std::vector<entry> entries_;
    std::vector<message> messages_;
    int leader_ = -1;
    milliseconds leader_since_alone_{0};
    milliseconds next_election_{0};
    qint64 committed_ = 0;
    /** The time at which each revision was accepted, from 1 on. */
    std::vector<milliseconds> accepted_;
    int violations_ = 0;
    int accepting_ = 0;
    int checks_ = 0;
    milliseconds shortest_ = revocation;
};

} // namespace verbenacove::support

#endif
