#include "capacity_measure.hpp"

#include "verbenacove/process/control_state.hpp"
#include "verbenacove/process/raft_storage.hpp"
#include "verbenacove/version/config_view.hpp"

#include <QJsonDocument>
#include <QTemporaryDir>

#include <malloc.h>

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>

// Usage: capacity_state_bench
// Prints what a control replica's state costs against its size: changes and
// deltas against the records, the pause of a snapshot against the claims, and
// the time and memory of a start against the log.

namespace
{

using namespace verbenacove;

constexpr qsizetype answer_bytes = 128;
constexpr int entries_in_append = 64;
constexpr qint64 log_bytes_until_snapshot = 32LL * 1024 * 1024;

double heap_megabytes()
{
    auto const info = mallinfo2();
    return 1e-6 * double(info.uordblks + info.hblkhd);
}

/** Ends the program when a step of its set-up fails. */
void require(bool is_done, char const* step)
{
    if (!is_done)
    {
        std::printf("Failed: %s\n", step);
        std::exit(1);
    }
}

QCborMap change(int number, int expected)
{
    auto const name = QStringLiteral("service-%1").arg(number);
    config_change result;
    result.id =
        change_id(QStringLiteral("change-%1-%2").arg(number).arg(expected));
    result.author = QStringLiteral("bench");
    result.name = name;
    result.expected = record_version(expected);
    result.record =
        QJsonObject{{QStringLiteral("name"), name},
                    {QStringLiteral("class"), QStringLiteral("interactive")},
                    {QStringLiteral("timeout_ms"), 2000},
                    {QStringLiteral("max_body_bytes"), 65536}};
    return change_to_cbor(result);
}

void measure_changes()
{
    std::printf("The configuration against its records\n"
                "%9s %9s %9s %9s %9s %9s %9s\n",
                "records", "us/change", "delta B", "whole KB", "whole ms",
                "view ms", "heap MB");
    bench::line_fit apply_fit;
    bench::line_fit whole_fit;
    bench::line_fit view_fit;
    for (int const count : {500, 1000, 2000, 5000, 10000, 20000})
    {
        auto const heap = heap_megabytes();
        config_store store;
        for (int i = 0; i < count; ++i)
        {
            auto const result = store.apply(change(i, 0), log_index(i + 1));
            require(result.value(QLatin1String("outcome")).toString() ==
                        QLatin1String("accepted"),
                    "a record was not accepted");
        }
        auto const used = heap_megabytes() - heap;
        auto view = config_view::empty()->apply_delta(
            store.delta_since(config_version(0)), log_term(1));
        require(bool(view), "the whole configuration was not taken");
        constexpr int changes = 100;
        double apply_time = 0;
        double view_time = 0;
        qsizetype delta_bytes = 0;
        for (int i = 0; i < changes; ++i)
        {
            auto const next = change(i, 1);
            bench::stopwatch const apply_watch;
            store.apply(next, log_index(count + i + 1));
            apply_time += apply_watch.seconds();
            auto const delta = store.delta_since((*view)->version());
            delta_bytes = delta.toCborValue().toCbor().size();
            bench::stopwatch const view_watch;
            view = (*view)->apply_delta(delta, log_term(1));
            require(bool(view), "a delta was not taken");
            view_time += view_watch.seconds();
        }
        bench::stopwatch const whole_watch;
        auto const whole =
            store.delta_since(config_version(0)).toCborValue().toCbor();
        auto const whole_time = whole_watch.seconds();
        std::printf("%9d %9.1f %9lld %9.1f %9.1f %9.3f %9.1f\n", count,
                    1e6 * apply_time / changes,
                    static_cast<long long>(delta_bytes),
                    1e-3 * double(whole.size()), 1e3 * whole_time,
                    1e3 * view_time / changes, used);
        apply_fit.add(count, 1e6 * apply_time / changes);
        whole_fit.add(count, 1e-3 * double(whole.size()));
        view_fit.add(count, 1e3 * view_time / changes);
    }
    apply_fit.print("change", "us", "record");
    whole_fit.print("whole configuration", "KB", "record");
    view_fit.print("taking a delta at an entry", "ms", "record");
}

claim_key key_of(int number)
{
    return {service_name(QStringLiteral("dispatch")),
            request_key(QStringLiteral("bale-2026-%1").arg(number, 8))};
}

/** Returns the command of a claim or of its outcome. */
QCborMap claim(int number, bool is_outcome)
{
    claim_holder const holder{
        entry_id(QStringLiteral("entry-%1").arg(number % 12)), incarnation(17),
        attempt_nonce(number)};
    claim_log_command command{log_time(number), {}};
    if (is_outcome)
    {
        claim_outcome const outcome{
            run_verdict::ran,
            200,
            {{QByteArray("content-type"), QByteArray("application/json")}},
            QByteArray(answer_bytes, 'x'),
            true};
        command.command = outcome_command{key_of(number), holder, outcome};
    }
    else
    {
        auto const print =
            fingerprint_of("POST", "/release", QByteArray::number(number));
        command.command = claim_command{key_of(number), print, holder};
    }
    return control_state::claim_command(to_cbor(command));
}

std::unique_ptr<raft_storage> open(QString const& folder)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::unique_ptr<raft_storage>>
        { return raft_storage::open(folder); },
        [] { return std::unique_ptr<raft_storage>(); });
}

void measure_snapshots()
{
    std::printf("The pause of a snapshot against the claims\n"
                "%9s %9s %9s %9s %9s\n",
                "claims", "MB", "encode ms", "store ms", "restore ms");
    bench::line_fit pause_fit;
    bench::line_fit size_fit;
    bench::line_fit restore_fit;
    QTemporaryDir folder;
    for (int const count : {10000, 25000, 50000, 100000, 200000})
    {
        control_state state;
        for (int i = 0; i < count; ++i)
        {
            state.apply(claim(i, false), log_index(2 * i + 1));
            state.apply(claim(i, true), log_index(2 * i + 2));
        }
        auto const place = folder.filePath(QString::number(count));
        require(bool(raft_storage::create(
                    place, replica_id(QStringLiteral("one")), {})),
                "a data folder was not made");
        auto const storage = open(place);
        require(storage != nullptr, "a data folder was not opened");
        bench::stopwatch const encode_watch;
        auto const bytes = state.snapshot();
        auto const encode = encode_watch.seconds();
        bench::stopwatch const store_watch;
        require(bool(storage->save_snapshot(
                    {log_index(2 * count), log_term(1), {}, bytes})),
                "a snapshot was not stored");
        auto const store = store_watch.seconds();
        control_state again;
        bench::stopwatch const restore_watch;
        require(again.restore(bytes), "a snapshot was not read");
        auto const restore = restore_watch.seconds();
        std::printf("%9d %9.1f %9.0f %9.0f %9.0f\n", count,
                    1e-6 * double(bytes.size()), 1e3 * encode, 1e3 * store,
                    1e3 * restore);
        pause_fit.add(count, 1e3 * (encode + store));
        size_fit.add(count, 1e-6 * double(bytes.size()));
        restore_fit.add(count, 1e3 * restore);
    }
    pause_fit.print("pause", "ms", "claim");
    size_fit.print("snapshot", "MB", "claim");
    restore_fit.print("restore", "ms", "claim");
}

void write_log(raft_storage& storage, int claims)
{
    std::vector<raft_entry> batch;
    for (int i = 0; i < 2 * claims; ++i)
    {
        batch.push_back({log_index(i + 1), log_term(1),
                         raft_entry_kind::command, claim(i / 2, i % 2 == 1)});
        if (batch.size() == entries_in_append || i + 1 == 2 * claims)
        {
            require(bool(storage.append(batch)), "the log was not written");
            batch.clear();
        }
    }
}

void measure_replay()
{
    std::printf("A start against the log since the last snapshot\n"
                "%9s %9s %9s %9s %9s\n",
                "entries", "log MB", "open ms", "apply ms", "heap MB");
    bench::line_fit time_fit;
    bench::line_fit size_fit;
    bench::line_fit heap_fit;
    QTemporaryDir folder;
    for (int const claims : {2500, 5000, 10000, 20000})
    {
        auto const place = folder.filePath(QString::number(claims));
        require(bool(raft_storage::create(
                    place, replica_id(QStringLiteral("one")), {})),
                "a data folder was not made");
        write_log(*open(place), claims);
        auto const heap = heap_megabytes();
        bench::stopwatch const open_watch;
        auto const storage = open(place);
        auto const open_time = open_watch.seconds();
        require(storage != nullptr, "a log was not opened");
        auto const used = heap_megabytes() - heap;
        control_state state;
        bench::stopwatch const apply_watch;
        for (int i = 1; i <= 2 * claims; ++i)
        {
            state.apply(storage->entry_at(log_index(i)).content, log_index(i));
        }
        auto const apply_time = apply_watch.seconds();
        std::printf("%9d %9.2f %9.0f %9.0f %9.1f\n", 2 * claims,
                    1e-6 * double(storage->log_bytes()), 1e3 * open_time,
                    1e3 * apply_time, used);
        time_fit.add(2 * claims, 1e3 * (open_time + apply_time));
        size_fit.add(2 * claims, 1e-6 * double(storage->log_bytes()));
        heap_fit.add(1e-6 * double(storage->log_bytes()), used);
    }
    time_fit.print("replay", "ms", "entry");
    size_fit.print("log", "MB", "entry");
    heap_fit.print("heap", "MB", "MB of log");
    std::printf("  a snapshot replaces the log at %.1f MB\n",
                1e-6 * double(log_bytes_until_snapshot));
}

} // namespace

int main()
{
    measure_changes();
    measure_snapshots();
    measure_replay();
    return 0;
}
