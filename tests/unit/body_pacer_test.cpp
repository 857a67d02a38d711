#include "verbenacove/connection/body_pacer.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace verbenacove;

namespace
{

/** A link of 3 Mbit/s that carries one body and a short message every 20 ms in
    the order in which they are written. */
struct link_fixture
{
    static constexpr double link_rate = 375000;
    static constexpr qint64 body_bytes = 60000;
    static constexpr double message_bytes = 500;

    /** Writes a part of the body or a message at this moment. */
    void write(double bytes)
    {
        auto const now = milliseconds_since_start();
        free_at = std::max(free_at, now) + bytes / link_rate * 1000;
    }

    double milliseconds_since_start() const
    {
        return std::chrono::duration<double, std::milli>(clock.now() - start)
            .count();
    }

    /** Sends the messages for half a second, and meanwhile the body as the
        function tells. Returns the longest wait of a message in ms. */
    template <class SendBody>
    double play(SendBody send_body)
    {
        double longest = 0;
        for (int now = 0; now < 500; ++now)
        {
            if (send_body())
            {
                body_end = free_at;
            }
            if (now % 20 == 10)
            {
                longest = std::max(longest, free_at - now);
                write(message_bytes);
            }
            clock.advance(milliseconds(1));
        }
        return longest;
    }

    manual_clock_source clock;
    monotonic_time start = clock.now();
    double free_at = 0;
    double body_end = 0;
};

} // namespace

TEST_CASE_FIXTURE(
    link_fixture,
    "body pacer: a body of 60 KB on 3 Mbit/s: short messages go between")
{
    body_pacer pacer(link_rate);
    qint64 left = body_bytes;
    auto const paced = play(
        [&]
        {
            auto const due = left > 0 ? pacer.take(left, clock.now()) : 0;
            left -= due;
            write(static_cast<double>(due));
            return due > 0;
        });
    CHECK(left == 0);
    CHECK(paced < 40);
    // The body takes little longer than the 160 ms that it needs by itself.
    CHECK(body_end < 220);

    link_fixture plain;
    bool is_written = false;
    auto const at_once = plain.play(
        [&]
        {
            bool const is_first = !is_written;
            plain.write(is_first ? body_bytes : 0);
            is_written = true;
            return is_first;
        });
    CHECK(at_once > 100);
}

TEST_CASE_FIXTURE(link_fixture,
                  "body pacer: a late timer: the pause is not made up at once")
{
    body_pacer pacer(link_rate);
    clock.advance(milliseconds(5000));
    CHECK(pacer.take(body_bytes, clock.now()) <= 2 * body_pacer::slice_bytes);
    CHECK(pacer.take(body_bytes, clock.now()) == 0);
}

TEST_CASE_FIXTURE(link_fixture, "body pacer: the rest of a body: sent whole")
{
    body_pacer pacer(link_rate);
    CHECK(pacer.take(10, clock.now()) == 10);
    CHECK(pacer.take(0, clock.now()) == 0);
}

TEST_CASE_FIXTURE(link_fixture,
                  "body pacer: a fast link: the timer stays at 1 ms or more")
{
    CHECK(body_pacer(1e9).slice_time() == milliseconds(1));
    CHECK(body_pacer(link_rate).slice_time() >= milliseconds(8));
}
