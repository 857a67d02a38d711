#include "key_withdrawal_simulation.hpp"

#include <utility>

namespace verbenacove::support
{

void key_withdrawal_simulation::run(milliseconds span, trouble with)
{
    for (auto const end = now_ + span; now_ < end; now_ += step)
    {
        if (with == trouble::all)
        {
            make_trouble();
        }
        elect();
        withdraw(with);
        deliver();
        for (int i = 0; i < replica_count; ++i)
        {
            run_replica(i);
        }
        for (int i = 0; i < entry_count; ++i)
        {
            run_entry(i);
            check(i);
        }
    }
}

void key_withdrawal_simulation::heal()
{
    is_troubled_ = false;
    for (auto& each : processes_)
    {
        each.frozen_until = now_;
        each.group = 0;
    }
}

void key_withdrawal_simulation::stop_leader(milliseconds without_leader)
{
    if (leader_ >= 0)
    {
        processes_[index(leader_)].frozen_until = now_ + without_leader * 2;
    }
    leader_ = -1;
    next_election_ = now_ + without_leader;
}

bool key_withdrawal_simulation::reaches_majority(int from) const
{
    int count = 0;
    for (int i = 0; i < replica_count; ++i)
    {
        count += is_running(i) && reaches(from, i) ? 1 : 0;
    }
    return count * 2 > replica_count;
}

void key_withdrawal_simulation::send(int from, int to,
                                     std::function<void()> handle)
{
    bool const is_late = is_troubled_ && chance(0.02);
    bool const is_lost = !reaches(from, to) || (is_troubled_ && chance(0.03));
    if (!is_lost)
    {
        auto const delay = uniform(1, is_late ? 8000 : 40);
        messages_.push_back(
            {now_ + milliseconds(delay), to, std::move(handle)});
    }
}

void key_withdrawal_simulation::deliver()
{
    std::vector<message> due;
    std::erase_if(messages_,
                  [&](message& each)
                  {
                      bool const is_due =
                          each.due <= now_ && is_running(each.to);
                      if (is_due)
                      {
                          due.push_back(std::move(each));
                      }
                      return is_due;
                  });
    std::shuffle(due.begin(), due.end(), random_);
    for (auto const& each : due)
    {
        each.handle();
    }
}

void key_withdrawal_simulation::make_trouble()
{
    is_troubled_ = true;
    for (int i = 0; i < replica_count + entry_count; ++i)
    {
        if (chance(0.001))
        {
            processes_[index(i)].frozen_until =
                now_ + milliseconds(uniform(50, 9000));
        }
        if (chance(0.0005))
        {
            restart(i);
        }
    }
    if (chance(0.002))
    {
        bool const is_cut = chance(0.6);
        for (auto& each : processes_)
        {
            each.group = is_cut ? static_cast<int>(uniform(0, 1)) : 0;
        }
    }
}

void key_withdrawal_simulation::restart(int number)
{
    if (number >= replica_count)
    {
        entries_[index(number - replica_count)] = entry();
        return;
    }
    auto& of = replicas_[index(number)];
    auto const revision = of.revision;
    of = replica();
    // Some have lost their disk.
    of.revision = chance(0.5) ? revision : 0;
    leader_ = leader_ == number ? -1 : leader_;
}

void key_withdrawal_simulation::elect()
{
    if (leader_ >= 0 && is_running(leader_) && reaches_majority(leader_))
    {
        leader_since_alone_ = now_;
    }
    else if (leader_ >= 0 && now_ - leader_since_alone_ > election_timeout)
    {
        leader_ = -1;
        next_election_ = now_ + milliseconds(uniform(100, 900));
    }
    if (leader_ >= 0 || now_ < next_election_)
    {
        return;
    }
    auto const candidate = static_cast<int>(uniform(0, replica_count - 1));
    if (is_running(candidate) && reaches_majority(candidate))
    {
        leader_ = candidate;
        leader_since_alone_ = now_;
        replicas_[index(candidate)].revision = committed_;
    }
}

void key_withdrawal_simulation::withdraw(trouble with)
{
    bool const can_commit =
        leader_ >= 0 && is_running(leader_) && reaches_majority(leader_);
    if (can_commit && chance(with == trouble::all ? 0.02 : 0.005))
    {
        accepted_.push_back(now_);
        ++committed_;
        replicas_[index(leader_)].revision = committed_;
    }
}

void key_withdrawal_simulation::run_replica(int number)
{
    if (!is_running(number))
    {
        return;
    }
    auto& of = replicas_[index(number)];
    bool const hears_leader = leader_ >= 0 && is_running(leader_) &&
                              reaches(leader_, number) &&
                              reaches_majority(leader_);
    if (hears_leader && (leader_ == number || chance(0.15)))
    {
        of.leader = leader_;
        of.leader_heard = now_;
        of.revision = replicas_[index(leader_)].revision;
    }
    else if (now_ - of.leader_heard > election_timeout)
    {
        of.leader = -1;
    }
    // The phases of the replicas differ.
    bool const is_tick = (now_.count() + number * 30) % tick.count() == 0;
    auto const whom = of.leader < 0 ? QString() : QString::number(of.leader);
    auto const due = is_tick ? of.confirmer.start_due(true, whom, clock(number))
                             : std::nullopt;
    if (due)
    {
        of.leader == number ? ask_voters(number, *due)
                            : ask_leader(number, *due);
    }
    if (is_tick && of.leader != number)
    {
        answer_replicas(number);
    }
    answer_polls(number);
}

void key_withdrawal_simulation::ask_voters(int number,
                                           key_confirmer::question const& asked)
{
    auto const answered = now_ + milliseconds(uniform(2, 80));
    messages_.push_back({answered, number,
                         [this, number, asked]
                         {
                             bool const is_confirmed =
                                 leader_ == number && reaches_majority(number);
                             auto& of = replicas_[index(number)];
                             of.confirmer.finish(
                                 asked, is_confirmed
                                            ? std::optional(key_confirmation{
                                                  asked.asked, of.revision})
                                            : std::nullopt);
                             answer_replicas(number);
                         }});
}

void key_withdrawal_simulation::ask_leader(int number,
                                           key_confirmer::question const& asked)
{
    auto const leader = replicas_[index(number)].leader;
    QCborMap request;
    add_age_to(request, replicas_[index(number)].confirmer.latest(),
               asked.asked);
    send(number, leader,
         [this, number, leader, asked, request]
         {
             auto& of = replicas_[index(leader)];
             of.waiting_replicas.push_back({number, asked, clock(leader)});
             auto const& known = of.confirmer.latest();
             if (of.leader != leader || !known ||
                 is_wanted_at_once(request, *known, clock(leader)))
             {
                 answer_replicas(leader);
             }
         });
}

void key_withdrawal_simulation::answer_replicas(int number)
{
    auto& of = replicas_[index(number)];
    for (auto const& each : std::exchange(of.waiting_replicas, {}))
    {
        QCborMap reply;
        if (auto const& known = of.confirmer.latest())
        {
            add_to(reply, *known, each.received);
        }
        send(number, each.number,
             [this, each, reply]
             {
                 replicas_[index(each.number)].confirmer.finish(
                     each.asked, parse_key_confirmation(reply, each.asked.asked,
                                                        clock(each.number)));
             });
    }
}

void key_withdrawal_simulation::answer_polls(int number)
{
    auto& of = replicas_[index(number)];
    std::erase_if(of.waiting,
                  [&](waiting_poll const& poll)
                  {
                      auto const& known = of.confirmer.latest();
                      bool const is_current = of.leader >= 0;
                      bool const is_due =
                          !is_current || now_ >= poll.deadline ||
                          poll.revision < of.revision ||
                          (known && is_wanted_at_once(poll.request, *known,
                                                      poll.received));
                      if (is_due)
                      {
                          answer_poll(number, poll, is_current);
                      }
                      return is_due;
                  });
}

void key_withdrawal_simulation::answer_poll(int number,
                                            waiting_poll const& poll,
                                            bool is_current)
{
    auto const& of = replicas_[index(number)];
    QCborMap reply;
    if (auto const& known = of.confirmer.latest())
    {
        add_to(reply, *known, poll.received);
    }
    auto const routes = is_current ? of.revision : qint64{-1};
    send(number, replica_count + poll.entry,
         [this, poll, reply, routes, is_current]
         { take_reply(poll, reply, routes, is_current); });
}

void key_withdrawal_simulation::take_reply(waiting_poll const& poll,
                                           QCborMap const& reply, qint64 routes,
                                           bool is_current)
{
    auto& of = entries_[index(poll.entry)];
    auto const number = replica_count + poll.entry;
    if (poll.number != of.number || !of.is_reading)
    {
        return;
    }
    of.is_reading = false;
    if (is_current)
    {
        of.failed_reads = 0;
    }
    else
    {
        choose_replica(of);
        pause_between_reads(of);
    }
    if (routes > of.routes)
    {
        of.routes = routes;
        on_traffic(number,
                   [&of, routes]
                   {
                       of.table = std::max(of.table, routes);
                       of.lease.set_revision(of.table);
                   });
    }
    auto const now = clock(number);
    auto const sent = dating_ == dating::from_question ? poll.sent : now;
    auto const received = parse_key_confirmation(reply, sent, now);
    if (received && advance(of.confirmation, *received))
    {
        on_traffic(number, [&of, received] { of.lease.confirm(*received); });
    }
}

void key_withdrawal_simulation::pause_between_reads(entry& of)
{
    ++of.failed_reads;
    auto const rounds = of.failed_reads / replica_count;
    of.next_read =
        now_ + pause * std::min(rounds, maximum_pause_factor) / replica_count;
}

void key_withdrawal_simulation::choose_replica(entry& of)
{
    auto const former = of.replica;
    auto const is_excluded = [&]
    {
        return of.replica == former ||
               (of.replica == of.silent && now_ < of.silent_until);
    };
    while (is_excluded())
    {
        of.replica = static_cast<int>(uniform(0, replica_count - 1));
    }
}

void key_withdrawal_simulation::run_entry(int which)
{
    auto const number = replica_count + which;
    auto& of = entries_[index(which)];
    if (!is_running(number))
    {
        return;
    }
    if (of.is_reading && now_ - of.read_started > read_timeout)
    {
        of.is_reading = false;
        of.silent = of.replica;
        of.silent_until = now_ + failure_retention;
        choose_replica(of);
        pause_between_reads(of);
    }
    if (of.is_reading || now_ < of.next_read)
    {
        return;
    }
    of.is_reading = true;
    of.read_started = now_;
    waiting_poll poll;
    poll.entry = which;
    poll.number = ++of.number;
    poll.sent = clock(number);
    poll.revision = of.routes;
    add_age_to(poll.request, of.confirmation, poll.sent);
    send(number, of.replica,
         [this, poll, to = of.replica]() mutable
         {
             poll.received = clock(to);
             poll.deadline = now_ + hold;
             replicas_[index(to)].waiting.push_back(poll);
         });
}

void key_withdrawal_simulation::check(int which)
{
    auto const number = replica_count + which;
    auto const& of = entries_[index(which)];
    if (!is_running(number))
    {
        return;
    }
    ++checks_;
    shortest_ = std::min(shortest_, of.lease.remaining(clock(number)));
    if (!of.lease.is_valid(clock(number)))
    {
        return;
    }
    ++accepting_;
    bool const is_outdated = of.table < committed_;
    if (is_outdated &&
        now_ >= accepted_[index(static_cast<int>(of.table))] + revocation)
    {
        ++violations_;
    }
}

} // namespace verbenacove::support
