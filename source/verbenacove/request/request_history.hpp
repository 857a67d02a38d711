#ifndef VERBENACOVE_REQUEST_REQUEST_HISTORY_HPP
#define VERBENACOVE_REQUEST_REQUEST_HISTORY_HPP

#include "verbenacove/core/strong_type.hpp"

#include <QByteArray>
#include <QHash>

#include <array>
#include <cstddef>

namespace verbenacove
{

/** The recency class of an object, identified by its affinity key, at an
    upstream: how many of this entry's requests for objects the upstream has
    handled since the last one for this object. A lower class is more recent;
    the last class is for objects that are not in the history. */
using recency_class = strong_type<struct recency_class_tag, std::size_t>;

/** The number of recency classes: up to 7, 15, 31, 63 and 127 requests ago,
    longer ago, and never. */
constexpr std::size_t recency_class_count = 7;

/** The class of objects that an upstream has never handled. */
inline recency_class const never_handled{recency_class_count - 1};

/** Records which objects an upstream has handled recently, as far as this
    entry's requests show. Holds a digest of each key, as callers choose how
    long keys are. */
class object_history
{
public:
    /** The maximum number of objects that are kept. When it is exceeded,
        objects that were not handled within the latest `maximum_keys / 2`
        requests are dropped. */
    static constexpr qsizetype maximum_keys = 512;

    /** Records that the upstream has handled an object. Does nothing for an
        empty key. */
    void record(QByteArray const& key);

    /** Returns the recency class of an object; `never_handled` for an empty
        key. */
    recency_class classify(QByteArray const& key) const;

private:
    /** The sequence number of the latest request for each object, by the digest
        of its key. */
    QHash<quint64, qint64> latest_;
    qint64 requests_ = 0;
};

/** Keeps moving averages of the processing time of a service's requests, by
    recency class, and of their size, over all upstreams of the service. */
class service_cost_averages
{
public:
    /** Returns the average for a class in milliseconds; never 0. A class
        without responses so far gets the average of a class that has some.

        @param fallback_ms  returned before the first response; above 0
    */
    double average_ms(recency_class recency, double fallback_ms) const;

    /** Returns the average over all classes in milliseconds, or the fallback
        before the first response. */
    double mean_ms(double fallback_ms) const
    {
        return mean_ms_ > 0 ? mean_ms_ : fallback_ms;
    }

    /** Records how long a response took.

        @param duration_ms  in milliseconds, adjusted for the round trip and
                            the upstream's slowness
    */
    void record_duration(recency_class recency, double duration_ms);

    /** Returns the average size of a request plus its response, in KiB. */
    double average_kib() const { return average_kib_; }

    /** Records the size of a request plus its response, in bytes. */
    void record_size(qint64 bytes);

private:
    std::array<double, recency_class_count> averages_{};
    double mean_ms_ = 0;
    double average_kib_ = 1;
};

} // namespace verbenacove

#endif
