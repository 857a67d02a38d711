#ifndef VERBENACOVE_BENCH_CAPACITY_MEASURE_HPP
#define VERBENACOVE_BENCH_CAPACITY_MEASURE_HPP

#include <QDir>
#include <QFile>
#include <QString>

#include <sys/types.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <vector>

/** What the capacity benchmarks share: processor time, memory and a line
    through measured points. */
namespace verbenacove::bench
{

/** Returns the processor time of the calling thread, in seconds. */
inline double thread_cpu_seconds()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return double(spent.tv_sec) + 1e-9 * double(spent.tv_nsec);
}

/** Returns the processor time of all threads of a process, in seconds. */
inline double process_cpu_seconds(pid_t pid)
{
    double nanoseconds = 0;
    QDir const tasks(QStringLiteral("/proc/%1/task").arg(pid));
    for (auto const& task : tasks.entryList(QDir::Dirs | QDir::NoDotAndDotDot))
    {
        QFile file(tasks.filePath(task + QStringLiteral("/schedstat")));
        if (file.open(QIODevice::ReadOnly))
        {
            nanoseconds += file.readAll().split(' ').value(0).toDouble();
        }
    }
    return 1e-9 * nanoseconds;
}

/** Returns a process's resident memory, in MB, or what else of its memory a
    line of its status tells. */
inline double process_megabytes(pid_t pid, QByteArray const& line = "VmRSS:")
{
    QFile file(QStringLiteral("/proc/%1/status").arg(pid));
    if (!file.open(QIODevice::ReadOnly))
    {
        return 0;
    }
    for (auto const& text : file.readAll().split('\n'))
    {
        if (text.startsWith(line))
        {
            return text.mid(line.size()).simplified().split(' ')[0].toDouble() /
                   1024;
        }
    }
    return 0;
}

/** Measures wall-clock time. */
class stopwatch
{
public:
    /** Returns the seconds since construction. */
    double seconds() const
    {
        std::chrono::duration<double> const span =
            std::chrono::steady_clock::now() - start_;
        return span.count();
    }

private:
    std::chrono::steady_clock::time_point start_ =
        std::chrono::steady_clock::now();
};

/** A line through points by least squares. */
class line_fit
{
public:
    /** Adds a point. */
    void add(double x, double y) { points_.push_back({x, y}); }

    /** Prints slope, intercept, and the largest distance of a point from the
        line as a share of the largest value. */
    void print(char const* what, char const* unit, char const* per) const
    {
        double const count = double(points_.size());
        double x = 0;
        double y = 0;
        for (auto const& at : points_)
        {
            x += at.x / count;
            y += at.y / count;
        }
        double across = 0;
        double along = 0;
        double largest = 0;
        for (auto const& at : points_)
        {
            across += (at.x - x) * (at.y - y);
            along += (at.x - x) * (at.x - x);
            largest = std::max(largest, std::abs(at.y));
        }
        double const slope = across / along;
        double const start = y - slope * x;
        double residual = 0;
        for (auto const& at : points_)
        {
            residual =
                std::max(residual, std::abs(at.y - start - slope * at.x));
        }
        std::printf("  fit: %s = %.4g + %.4g %s per %s; largest residual "
                    "%.3g (%.0f%% of the largest value), %zu points\n",
                    what, start, slope, unit, per, residual,
                    largest > 0 ? 100 * residual / largest : 0.0,
                    points_.size());
    }

private:
    struct point
    {
        double x;
        double y;
    };

    std::vector<point> points_;
};

} // namespace verbenacove::bench

#endif
