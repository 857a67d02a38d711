#include "verbenacove/version/claim_table.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

// Usage: claim_table_bench [BODY_BYTES]
// Prints, for tables of growing size, the time of a claim with its outcome,
// the heap per claim, and the size and time of a snapshot and of a restore.

namespace
{

using namespace verbenacove;

constexpr int claims_per_second = 100;

double seconds_since(std::chrono::steady_clock::time_point start)
{
    std::chrono::duration<double> const span =
        std::chrono::steady_clock::now() - start;
    return span.count();
}

qint64 heap_bytes()
{
    auto const info = mallinfo2();
    return qint64(info.uordblks) + qint64(info.hblkhd);
}

void fill(claim_table& table, int count, qsizetype body_bytes)
{
    for (int i = 0; i < count; ++i)
    {
        log_time const at(qint64(i) * 1000 / claims_per_second);
        auto const number = QByteArray::number(i);
        claim_key const key{
            service_name(QStringLiteral("dispatch")),
            request_key(QStringLiteral("bale-2026-%1").arg(i, 8))};
        claim_holder const holder{
            entry_id(QStringLiteral("entry-%1").arg(i % 12)), incarnation(17),
            attempt_nonce(i)};
        auto const print = fingerprint_of("POST", "/release", number);
        table.apply({at, claim_command{key, print, holder}});
        claim_outcome const outcome{
            run_verdict::ran,
            200,
            {{QByteArray("content-type"), QByteArray("application/json")}},
            QByteArray(body_bytes, 'x'),
            true};
        table.apply({at, outcome_command{key, holder, outcome}});
    }
}

void measure(int count, qsizetype body_bytes)
{
    claim_table table;
    auto const heap_before = heap_bytes();
    auto start = std::chrono::steady_clock::now();
    fill(table, count, body_bytes);
    auto const apply_time = seconds_since(start);
    auto const heap = heap_bytes() - heap_before;

    start = std::chrono::steady_clock::now();
    auto const bytes = table.snapshot();
    auto const snapshot_time = seconds_since(start);

    start = std::chrono::steady_clock::now();
    bool const is_same = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool>
        {
            BOOST_LEAF_AUTO(again, claim_table::restore(bytes));
            return again.claim_count() == table.claim_count();
        },
        [] { return false; });
    auto const restore_time = seconds_since(start);
    std::printf("%8d %6lld %9.2f %10.0f %10.1f %10.1f %10.1f %s\n", count,
                static_cast<long long>(body_bytes), 1e6 * apply_time / count,
                double(heap) / count, double(bytes.size()) / 1e6,
                1e3 * snapshot_time, 1e3 * restore_time,
                is_same ? "same" : "DIFFERENT");
}

} // namespace

int main(int argc, char** argv)
{
    qsizetype const body_bytes =
        argc > 1 ? std::strtoll(argv[1], nullptr, 10) : 128;
    std::printf("%8s %6s %9s %10s %10s %10s %10s\n", "claims", "body",
                "us/claim", "heap B/cl", "snap MB", "snap ms", "restore ms");
    for (int const count : {1'000, 10'000, 50'000, 200'000, 500'000})
    {
        measure(count, body_bytes);
    }
    return 0;
}
