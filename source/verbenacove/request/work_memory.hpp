#ifndef VERBENACOVE_REQUEST_WORK_MEMORY_HPP
#define VERBENACOVE_REQUEST_WORK_MEMORY_HPP

#include "verbenacove/core/strong_type.hpp"

#include <QByteArray>
#include <QHash>

#include <array>
#include <cstddef>

namespace verbenacove
{

/** How long ago an upstream handled the same object, by the number of this
    entry's requests to it since; the last class is for objects that it has not
    handled, as far as is known. */
using work_class = strong_type<struct work_class_tag, std::size_t>;

/** The number of work classes: up to 7, 15, 31, 63 and 127 requests ago,
    longer ago, and never. */
constexpr std::size_t work_class_count = 7;

/** The class of objects that were never handled. */
inline work_class const unseen_work{work_class_count - 1};

/** Which objects an upstream has handled, by this entry's requests. */
class upstream_work_memory
{
public:
    /** The most objects that are remembered. */
    static constexpr qsizetype maximum_keys = 512;

    /** Notes that the upstream has handled an object. */
    void note(QByteArray const& key);

    /** Returns the class of a request; `unseen_work` for an empty key. */
    work_class classify(QByteArray const& key) const;

private:
    /** The number of the latest request for each object. */
    QHash<QByteArray, qint64> latest_;
    qint64 requests_ = 0;
};

/** The time that a service's requests take, by class; moving averages over
    all its upstreams. */
class service_work
{
public:
    /** Returns the average in milliseconds; never 0.

        @param fallback_ms  taken before the first answer; above 0
    */
    double average_ms(work_class kind, double fallback_ms) const;

    /** Returns the average over all classes, or the fallback. */
    double mean_ms(double fallback_ms) const
    {
        return mean_ms_ > 0 ? mean_ms_ : fallback_ms;
    }

    /** Takes in the time that an answer took, its queueing left out. */
    void add(work_class kind, double duration_ms);

    /** Returns the average size of a request and its answer, in KiB. */
    double average_kib() const { return average_kib_; }

    /** Takes in the size of a request and its answer, in bytes. */
    void add_size(qint64 bytes);

private:
    std::array<double, work_class_count> average_{};
    double mean_ms_ = 0;
    double average_kib_ = 1;
};

} // namespace verbenacove

#endif
