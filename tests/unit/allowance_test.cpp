#include "allowance_model.hpp"

#include <QCborArray>

#include <numeric>

#include <doctest/doctest.h>

using namespace verbenacove;
using verbenacove::test::allowance_model;

namespace
{

constexpr milliseconds window{5000};
/** What the rule permits beyond the allowance. */
constexpr double overage = 0.1;
constexpr double slack = 20;
/** Rate at which teams usually send, as part of their allowance. */
constexpr double usual_part = 1 / 1.6;
constexpr double hot_factor = 9;

team_record make_team(char const* name, double rate)
{
    team_record team;
    team.name = team_name(QLatin1String(name));
    team.allowance = {requests_per_second(rate), rate};
    return team;
}

double highest_count(team_record const& team)
{
    auto const seconds = std::chrono::duration<double>(window).count();
    auto const& allowance = team.allowance;
    return (allowance.rate.value() * seconds + allowance.burst) *
               (1 + overage) +
           slack;
}

/** Teams of the sizes that are usual, from the smallest to the largest. */
class allowance_fixture
{
public:
    std::vector<team_record> teams{
        make_team("tiny", 3.8), make_team("small", 20), make_team("middle", 90),
        make_team("large", 800)};

    /** Starts a model with the usual, uneven traffic and lets it settle. */
    allowance_model& start(allowance_model::options const& options)
    {
        model_ = std::make_unique<allowance_model>(options, teams);
        for (auto const& team : teams)
        {
            auto& load = model_->load(team.name);
            load.rate = team.allowance.rate.value() * usual_part;
            spread(team.name, 4);
        }
        model_->advance(milliseconds(4000));
        return *model_;
    }

    /** Spreads a team's requests over the entries unevenly.

        @param unevenness  ratio of the largest to the smallest weight
    */
    void spread(team_name const& team, double unevenness)
    {
        for (auto& weight : model_->load(team).weights)
        {
            weight = 1 + (unevenness - 1) * model_->fraction();
        }
    }

    void set_rate(team_record const& team, double factor)
    {
        model_->load(team.name).rate =
            team.allowance.rate.value() * usual_part * factor;
    }

    void check_bounds()
    {
        for (auto const& team : teams)
        {
            auto const most = model_->most_in_window(team.name, window);
            CAPTURE(team.name.value().toStdString());
            CHECK(static_cast<double>(most) <= highest_count(team));
        }
    }

    /** Numbers of requests of all teams together. */
    struct counts
    {
        qint64 sent = 0;
        qint64 refused = 0;
    };

    counts totals()
    {
        counts sum;
        for (auto const& team : teams)
        {
            sum.sent += model_->sent(team.name);
            sum.refused += model_->refused(team.name);
        }
        return sum;
    }

    void check_refused(counts const& before, double highest_fraction)
    {
        auto const now = totals();
        CHECK(static_cast<double>(now.refused - before.refused) <=
              highest_fraction * static_cast<double>(now.sent - before.sent));
    }

    /** Checks the part of each team; one refusal is always permitted, as the
        smallest team sends less than 100 requests. */
    void check_refused_of_each()
    {
        constexpr double highest_fraction = 0.05;
        for (auto const& team : teams)
        {
            auto const sent = static_cast<double>(model_->sent(team.name));
            CAPTURE(team.name.value().toStdString());
            CHECK(static_cast<double>(model_->refused(team.name)) <=
                  std::max(1.0, highest_fraction * sent));
        }
    }

protected:
    std::unique_ptr<allowance_model> model_;
};

} // namespace

TEST_CASE_FIXTURE(allowance_fixture,
                  "allowance: usual uneven traffic, at most one in a thousand "
                  "is refused")
{
    for (quint64 seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        auto& model = start(options);
        auto const before = totals();
        model.advance(milliseconds(10000));
        check_refused(before, 0.001);
    }
}

TEST_CASE_FIXTURE(allowance_fixture,
                  "allowance: traffic moves to a sixth of the entries, at most "
                  "1% of all and 5% of a team's are refused")
{
    for (quint64 seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        auto& model = start(options);
        for (auto const& team : teams)
        {
            auto& weights = model.load(team.name).weights;
            for (std::size_t index = 0; index < weights.size(); ++index)
            {
                weights[index] = index % 6 == 0 ? 1 : 0.1;
            }
        }
        model.advance(milliseconds(8000));
        check_refused({}, 0.01);
        check_refused_of_each();
    }
}

TEST_CASE_FIXTURE(
    allowance_fixture,
    "allowance: bursts within the burst, at most 1% of all and 5% of "
    "a team's are refused")
{
    for (quint64 seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        auto& model = start(options);
        for (int burst = 0; burst < 4; ++burst)
        {
            for (auto const& team : teams)
            {
                // 0.9 of the burst in 0.3 s.
                set_rate(team, (0.9 / 0.3) / usual_part);
            }
            model.advance(milliseconds(300));
            for (auto const& team : teams)
            {
                set_rate(team, 1);
            }
            model.advance(milliseconds(4000));
        }
        check_refused({}, 0.01);
        check_refused_of_each();
        check_bounds();
    }
}

TEST_CASE_FIXTURE(allowance_fixture,
                  "allowance: hot team that moves between entries, bound holds "
                  "in every window and the rate is used")
{
    for (quint64 seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        options.loss = 0.01;
        options.not_run = 0.03;
        auto& model = start(options);
        std::map<team_name, qint64> before;
        for (auto const& team : teams)
        {
            set_rate(team, hot_factor);
            before[team.name] =
                model.sent(team.name) - model.refused(team.name);
        }
        for (int part = 0; part < 8; ++part)
        {
            for (auto const& team : teams)
            {
                spread(team.name, 30);
            }
            model.advance(milliseconds(1000));
        }
        for (auto const& team : teams)
        {
            CAPTURE(team.name.value().toStdString());
            auto const admitted = model.sent(team.name) -
                                  model.refused(team.name) - before[team.name];
            CHECK(static_cast<double>(admitted) >=
                  0.8 * 8 * team.allowance.rate.value());
        }
        for (auto const& team : teams)
        {
            set_rate(team, 1);
        }
        model.advance(milliseconds(6000));
        check_bounds();
    }
}

TEST_CASE_FIXTURE(allowance_fixture,
                  "allowance: cut-off entries while a team is hot, bound holds "
                  "in every window")
{
    for (quint64 seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        options.loss = 0.02;
        auto& model = start(options);
        auto const is_hot_first = seed % 2 == 0;
        auto const heat = [&]
        {
            for (auto const& team : teams)
            {
                set_rate(team, hot_factor);
            }
        };
        if (is_hot_first)
        {
            heat();
            model.advance(milliseconds(100 * static_cast<int>(seed)));
        }
        for (std::size_t index = 0; index < model.entry_count(); ++index)
        {
            model.cut_off(index, index % 6 == 0);
        }
        model.advance(milliseconds(200 * static_cast<int>(seed)));
        heat();
        model.advance(milliseconds(5500 - 200 * static_cast<int>(seed)));
        for (std::size_t index = 0; index < model.entry_count(); ++index)
        {
            model.cut_off(index, false);
        }
        model.advance(milliseconds(5000));
        check_bounds();
    }
}

TEST_CASE_FIXTURE(allowance_fixture,
                  "allowance: change of leader beside a hot team, bound holds "
                  "in every window")
{
    for (quint64 seed = 1; seed <= 24; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        options.loss = 0.01;
        auto& model = start(options);
        // The team turns hot from 1 s before the loss to 1.4 s after it.
        auto const offset = milliseconds(static_cast<int>(seed) * 100 - 1000);
        auto const vacancy = milliseconds(model.uniform(600, 4000));
        auto const heat = [&]
        {
            for (auto const& team : teams)
            {
                set_rate(team, hot_factor);
            }
        };
        if (offset.count() < 0)
        {
            heat();
            model.advance(-offset);
        }
        model.lose_leader(vacancy);
        if (offset.count() >= 0)
        {
            model.advance(offset);
            heat();
        }
        model.advance(milliseconds(8000));
        check_bounds();
    }
}

TEST_CASE_FIXTURE(allowance_fixture,
                  "allowance: change of leader with usual traffic, at most 2% "
                  "is refused within 10 s")
{
    for (quint64 seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        auto& model = start(options);
        model.advance(milliseconds(10000));
        auto const before = totals();
        model.lose_leader(milliseconds(1200));
        model.advance(milliseconds(10000));
        check_refused(before, 0.02);
    }
}

TEST_CASE_FIXTURE(allowance_fixture,
                  "allowance: freezes, restarts, duplicated names and losses, "
                  "bound holds in every window")
{
    for (quint64 seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        options.loss = 0.05;
        options.not_run = 0.05;
        options.has_duplicated_names = seed % 2 == 0;
        auto& model = start(options);
        for (int event = 0; event < 40; ++event)
        {
            auto const index = static_cast<std::size_t>(
                model.uniform(0, static_cast<int>(model.entry_count()) - 1));
            auto const& team = teams[static_cast<std::size_t>(
                model.uniform(0, static_cast<int>(teams.size()) - 1))];
            switch (model.uniform(0, 4))
            {
            case 0:
                model.freeze(index, milliseconds(model.uniform(100, 6000)));
                break;
            case 1:
                model.restart(index);
                break;
            case 2:
                model.freeze_replica(static_cast<std::size_t>(model.uniform(
                                         0, options.replicas - 1)),
                                     milliseconds(model.uniform(100, 4000)));
                break;
            case 3:
                set_rate(team, model.uniform(0, 1) == 0 ? 1 : hot_factor);
                break;
            default:
                spread(team.name, model.uniform(1, 50));
                break;
            }
            model.advance(milliseconds(model.uniform(50, 1000)));
        }
        check_bounds();
    }
}

TEST_CASE_FIXTURE(allowance_fixture,
                  "allowance: lowered, new bound holds one window later and a "
                  "raised one is used within 1 s")
{
    for (quint64 seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        allowance_model::options options;
        options.seed = seed;
        auto& model = start(options);
        auto lowered = teams;
        for (auto& team : lowered)
        {
            team.allowance.rate =
                requests_per_second(team.allowance.rate.value() / 3);
            team.allowance.burst /= 3;
        }
        model.set_teams(lowered);
        model.advance(window);
        auto const start_of_window = model.runs(teams[0].name).size();
        model.advance(milliseconds(6000));
        for (auto const& team : lowered)
        {
            auto const& runs = model.runs(team.name);
            auto const length =
                static_cast<std::size_t>(window / allowance_model::step);
            for (auto at = start_of_window; at + length <= runs.size(); ++at)
            {
                auto const first =
                    runs.begin() + static_cast<std::ptrdiff_t>(at);
                auto const sum = std::accumulate(
                    first, first + static_cast<std::ptrdiff_t>(length), 0);
                REQUIRE(sum <= highest_count(team));
            }
        }
        model.set_teams(teams);
        model.advance(milliseconds(1000));
        auto const before = totals();
        model.advance(milliseconds(4000));
        check_refused(before, 0.005);
    }
}

TEST_CASE("allowance: hot team, retry delays are true and spread")
{
    allowance_gate gate(1);
    QMap<QString, team_record> teams;
    auto const team = make_team("hot", 100);
    teams.insert(team.name.value(), team);
    monotonic_time const now{std::chrono::hours(1)};
    gate.set_teams(teams, 1, now);
    REQUIRE_FALSE(gate.admit(team.name, 0, now));
    auto const report = gate.take_report(now);
    REQUIRE(report);
    gate.confirm(report->number, {{{team.name, 0, milliseconds(1500)}}, true},
                 now);
    auto const earliest = gate.admit(team.name, 0, now);
    auto const latest = gate.admit(team.name, 65535, now);
    REQUIRE(earliest);
    REQUIRE(latest);
    CHECK(*earliest >= milliseconds(1500));
    CHECK(*latest - *earliest >= milliseconds(1000));
    CHECK(gate.restricted_teams() == 1);
}

TEST_CASE("allowance: teams without limit, admitted without reports")
{
    allowance_gate gate(1);
    QMap<QString, team_record> teams;
    teams.insert(QStringLiteral("free"), make_team("free", 0));
    monotonic_time const now{std::chrono::hours(1)};
    gate.set_teams(teams, 70, now);
    for (int request = 0; request < 10000; ++request)
    {
        REQUIRE_FALSE(gate.admit(team_name(QStringLiteral("free")), 1, now));
    }
    CHECK_FALSE(gate.has_allowances());
    CHECK_FALSE(gate.take_report(now));
}

TEST_CASE("allowance message: written and read, same")
{
    std::vector<allowance_use> const uses{
        {team_name(QStringLiteral("a")), 3, 1},
        {team_name(QStringLiteral("b")), -2, 0}};
    auto const read = parse_allowance_uses(to_cbor(uses));
    REQUIRE(read.size() == 2);
    CHECK(read[0].admitted == 3);
    CHECK(read[0].refused == 1);
    CHECK(read[1].admitted == -2);
    allowance_answer const answer{
        {{team_name(QStringLiteral("a")), 0.25, milliseconds(700)}}, true};
    auto const back = parse_allowance_answer(to_cbor(answer));
    REQUIRE(back);
    REQUIRE(back->restrictions.size() == 1);
    CHECK(back->restrictions[0].fraction == doctest::Approx(0.25));
    CHECK(back->restrictions[0].debt_time == milliseconds(700));
    CHECK(back->is_settled);
}

TEST_CASE("allowance message: reply of an earlier build or malformed, no "
          "answer")
{
    CHECK_FALSE(parse_allowance_answer(
        {{QLatin1String("status"), QLatin1String("unknown-method")}}));
    CHECK_FALSE(parse_allowance_answer(
        {{QLatin1String("status"), QLatin1String("ok")}}));
    CHECK(parse_allowance_uses({{QLatin1String("uses"), 5}}).empty());
    QCborArray const list{1, 2, 3, QLatin1String("a"), QLatin1String("x"), -7};
    auto const uses = parse_allowance_uses({{QLatin1String("uses"), list}});
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].admitted == 0);
    CHECK(uses[0].refused == 0);
}

TEST_CASE("allowance message: typical report and answer, small")
{
    // An entry that serves 28 requests per second of 80 teams has requests of
    // about 7 of them within 250 ms.
    std::vector<allowance_use> uses;
    allowance_answer answer;
    answer.is_settled = true;
    for (int index = 0; index < 7; ++index)
    {
        team_name const team(QStringLiteral("team-%1").arg(index, 6));
        uses.push_back({team, 1 + index % 2, 0});
        if (index < 2)
        {
            answer.restrictions.push_back({team, 0.3, milliseconds(300)});
        }
    }
    auto const report_bytes = QCborValue(to_cbor(uses)).toCbor().size();
    auto const answer_bytes = QCborValue(to_cbor(answer)).toCbor().size();
    CHECK(report_bytes <= 160);
    CHECK(answer_bytes <= 100);
}
