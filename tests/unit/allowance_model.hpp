#ifndef VERBENACOVE_TESTS_ALLOWANCE_MODEL_HPP
#define VERBENACOVE_TESTS_ALLOWANCE_MODEL_HPP

#include "verbenacove/teams/allowance_gate.hpp"
#include "verbenacove/teams/allowance_ledger.hpp"
#include "verbenacove/teams/allowance_relay.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace verbenacove::test
{

/** Entries, replicas and a leader that exchange reports of allowances over
    links with delays and losses, in steps of 10 ms. Only the traffic and the
    messages are modelled; all decisions are the product's. */
class allowance_model
{
public:
    static constexpr milliseconds step{10};

    struct options
    {
        int entries = 70;
        int replicas = 11;
        /** Part of the messages that are lost. */
        double loss = 0;
        milliseconds shortest_delay{2};
        milliseconds longest_delay{40};
        /** Part of the admitted requests that are not run. */
        double not_run = 0;
        /** Whether every second entry has the name of another one, so that
            half as many are known. */
        bool has_duplicated_names = false;
        quint64 seed = 1;
    };

    /** Requests per second of one team, and where they arrive. */
    struct traffic
    {
        double rate = 0;
        /** Weight of each entry. */
        std::vector<double> weights;
    };

    allowance_model(options chosen, std::vector<team_record> const& teams)
        : options_(chosen)
        , random_(chosen.seed)
    {
        set_records(teams);
        for (int index = 0; index < chosen.entries; ++index)
        {
            auto one = std::make_unique<entry>(random_());
            one->next_report = now_ + milliseconds(uniform(0, 250));
            one->replica = uniform(0, chosen.replicas - 1);
            entries_.push_back(std::move(one));
        }
        for (int index = 0; index < chosen.replicas; ++index)
        {
            auto one = std::make_unique<replica>();
            replicas_.push_back(std::move(one));
        }
        // Elected long before the traffic starts.
        ledger_.start_term(now_ - milliseconds(20000));
        ledger_.set_teams(records_, now_ - milliseconds(10000));
        apply_records();
        for (auto const& team : records_)
        {
            load_[team.name].weights.assign(entries_.size(), 1);
        }
    }

    traffic& load(team_name const& team) { return load_[team]; }
    std::size_t entry_count() const { return entries_.size(); }

    /** Puts another table into force everywhere at once. */
    void set_teams(std::vector<team_record> const& teams)
    {
        set_records(teams);
        ledger_.set_teams(records_, now_);
        apply_records();
    }

    void cut_off(std::size_t index, bool is_cut_off)
    {
        entries_[index]->is_cut_off = is_cut_off;
    }

    void freeze(std::size_t index, milliseconds duration)
    {
        entries_[index]->frozen_until = now_ + duration;
    }

    void freeze_replica(std::size_t index, milliseconds duration)
    {
        replicas_[index]->frozen_until = now_ + duration;
    }

    /** Ends a process and starts it again. */
    void restart(std::size_t index)
    {
        auto one = std::make_unique<entry>(random_());
        one->next_report = now_;
        one->replica = entries_[index]->replica;
        entries_[index] = std::move(one);
        apply_records();
    }

    /** Ends the leader; another one is elected after a while. */
    void lose_leader(milliseconds vacancy)
    {
        ++term_;
        leader_from_ = now_ + vacancy;
        is_term_started_ = false;
    }

    /** Moves on by one step. */
    void advance()
    {
        now_ += step;
        ++steps_;
        start_term();
        deliver();
        send_reports();
        arrive();
    }

    void advance(milliseconds duration)
    {
        for (auto left = duration; left.count() > 0; left -= step)
        {
            advance();
        }
    }

    /** Returns the number of requests of a team that ran in each step. */
    std::vector<int> const& runs(team_name const& team)
    {
        runs_[team].resize(steps_);
        return runs_[team];
    }

    /** Returns the most that ran in any window. */
    qint64 most_in_window(team_name const& team, milliseconds window)
    {
        auto const& each = runs(team);
        auto const length = static_cast<std::size_t>(window / step);
        qint64 sum = 0;
        qint64 most = 0;
        for (std::size_t at = 0; at < each.size(); ++at)
        {
            sum += each[at];
            sum -= at >= length ? each[at - length] : 0;
            most = std::max(most, sum);
        }
        return most;
    }

    qint64 sent(team_name const& team) { return sent_[team]; }
    qint64 refused(team_name const& team) { return refused_[team]; }

    int uniform(int lowest, int highest)
    {
        return std::uniform_int_distribution<int>(lowest, highest)(random_);
    }

    double fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

private:
    struct entry
    {
        explicit entry(quint64 seed)
            : gate(seed)
        {
        }

        allowance_gate gate;
        monotonic_time next_report{};
        monotonic_time frozen_until{};
        /** Time until which an answer is waited for. */
        monotonic_time waiting_until{};
        int replica = 0;
        bool is_cut_off = false;
    };

    struct replica
    {
        allowance_relay relay;
        monotonic_time next_report{};
        monotonic_time frozen_until{};
        bool is_waiting = false;
        monotonic_time waiting_until{};
        quint64 number = 0;
    };

    void set_records(std::vector<team_record> const& teams)
    {
        records_.clear();
        for (auto const& team : teams)
        {
            records_.insert(team.name.value(), team);
        }
    }

    void apply_records()
    {
        auto const known = options_.has_duplicated_names ? options_.entries / 2
                                                         : options_.entries;
        for (auto& each : entries_)
        {
            each->gate.set_teams(records_, known, now_);
        }
    }

    void start_term()
    {
        if (!is_term_started_ && now_ >= leader_from_)
        {
            is_term_started_ = true;
            ledger_.start_term(now_);
        }
    }

    /** Calls a function after the delay of a link, unless it is lost. */
    void send(std::function<void()> call)
    {
        if (fraction() < options_.loss)
        {
            return;
        }
        auto const delay = milliseconds(
            uniform(static_cast<int>(options_.shortest_delay.count()),
                    static_cast<int>(options_.longest_delay.count())));
        messages_.emplace(now_ + delay, std::move(call));
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_)
        {
            auto const call = std::move(messages_.begin()->second);
            messages_.erase(messages_.begin());
            call();
        }
    }

    void send_reports()
    {
        for (std::size_t index = 0; index < entries_.size(); ++index)
        {
            send_entry_report(index);
        }
        for (std::size_t index = 0; index < replicas_.size(); ++index)
        {
            send_replica_report(index);
        }
    }

    void send_entry_report(std::size_t index)
    {
        auto& from = *entries_[index];
        if (now_ < from.frozen_until || now_ < from.next_report)
        {
            return;
        }
        from.next_report = now_ + milliseconds(250);
        if (now_ < from.waiting_until)
        {
            return;
        }
        auto const report = from.gate.take_report(now_);
        if (!report)
        {
            return;
        }
        from.waiting_until = now_ + milliseconds(400);
        if (from.is_cut_off)
        {
            return;
        }
        auto const to = static_cast<std::size_t>(from.replica);
        send([this, index, to, report = *report]
             { handle_entry_report(index, to, report); });
    }

    void handle_entry_report(std::size_t index, std::size_t to,
                             allowance_report const& report)
    {
        auto& at = *replicas_[to];
        if (now_ < at.frozen_until)
        {
            // The entry reads another replica when this one does not answer.
            entries_[index]->replica = uniform(0, options_.replicas - 1);
            return;
        }
        at.relay.add(report.uses,
                     [this, index, number = report.number](
                         std::optional<allowance_answer> const& answer)
                     { answer_entry(index, number, answer); });
    }

    void answer_entry(std::size_t index, allowance_report_number number,
                      std::optional<allowance_answer> const& answer)
    {
        send(
            [this, index, number, answer]
            {
                auto& back = *entries_[index];
                if (back.is_cut_off || now_ < back.frozen_until)
                {
                    return;
                }
                back.waiting_until = now_;
                if (answer)
                {
                    back.gate.confirm(number, *answer, now_);
                }
            });
    }

    void send_replica_report(std::size_t index)
    {
        auto& from = *replicas_[index];
        if (now_ < from.frozen_until)
        {
            return;
        }
        if (from.is_waiting && now_ >= from.waiting_until)
        {
            from.is_waiting = false;
            from.relay.finish(std::nullopt);
        }
        if (now_ < from.next_report || !from.relay.is_due())
        {
            return;
        }
        from.next_report = now_ + milliseconds(120);
        from.waiting_until = now_ + milliseconds(300);
        from.is_waiting = true;
        auto const number = ++from.number;
        send([this, index, number, term = term_, uses = from.relay.take()]
             { handle_replica_report(index, number, term, uses); });
    }

    void handle_replica_report(std::size_t index, quint64 number, int term,
                               std::vector<allowance_use> const& uses)
    {
        if (!is_term_started_ || term != term_)
        {
            return;
        }
        for (auto const& use : uses)
        {
            ledger_.record(use, now_);
        }
        send(
            [this, index, number, answer = ledger_.answer(now_)]
            {
                auto& back = *replicas_[index];
                if (number == back.number && back.is_waiting &&
                    now_ >= back.frozen_until)
                {
                    back.is_waiting = false;
                    back.relay.finish(answer);
                }
            });
    }

    void arrive()
    {
        constexpr double step_seconds =
            std::chrono::duration<double>(step).count();
        for (auto& [team, load] : load_)
        {
            std::poisson_distribution<int> requests(load.rate * step_seconds);
            std::discrete_distribution<std::size_t> place(load.weights.begin(),
                                                          load.weights.end());
            for (int left = load.rate > 0 ? requests(random_) : 0; left > 0;
                 --left)
            {
                request(team, place(random_));
            }
        }
    }

    void request(team_name const& team, std::size_t index)
    {
        auto& at = *entries_[index];
        if (now_ < at.frozen_until)
        {
            return;
        }
        ++sent_[team];
        auto const delay = at.gate.admit(team, random_(), now_);
        if (delay)
        {
            ++refused_[team];
            return;
        }
        if (fraction() < options_.not_run)
        {
            auto const end = now_ + milliseconds(uniform(0, 800));
            messages_.emplace(end, [this, index, team]
                              { entries_[index]->gate.refund(team, now_); });
            return;
        }
        auto& counts = runs_[team];
        counts.resize(steps_);
        ++counts[steps_ - 1];
    }

    options options_;
    std::mt19937_64 random_;
    monotonic_time now_{std::chrono::hours(1)};
    std::size_t steps_ = 0;
    QMap<QString, team_record> records_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<std::unique_ptr<replica>> replicas_;
    allowance_ledger ledger_;
    int term_ = 1;
    bool is_term_started_ = true;
    monotonic_time leader_from_{};
    std::multimap<monotonic_time, std::function<void()>> messages_;
    std::map<team_name, traffic> load_;
    std::map<team_name, std::vector<int>> runs_;
    std::map<team_name, qint64> sent_;
    std::map<team_name, qint64> refused_;
};

} // namespace verbenacove::test

#endif
